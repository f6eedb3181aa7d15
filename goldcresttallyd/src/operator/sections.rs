//! Handlers for section drafts.

use axum::Json;
use axum::extract::rejection::{QueryRejection, StringRejection};
use axum::extract::{Path, Query, State};
use axum::http::{HeaderMap, StatusCode};
use goldcresttally_core::{OperationId, SectionName, Version};
use goldcresttally_store::DraftInfo;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::Shared;
use super::problem::Problem;
use crate::events::{self, emit};

/// A draft with its body.
#[derive(Debug, Serialize)]
pub(super) struct DraftBody {
    #[serde(flatten)]
    info: DraftInfo,
    body: String,
}

#[derive(Debug, Deserialize)]
pub(super) struct RevisionParams {
    /// The revision that the edit is based on; 0 for a new section.
    #[serde(default)]
    revision: u64,
}

pub(super) async fn list(State(operator): State<Shared>) -> Result<Json<Vec<DraftInfo>>, Problem> {
    Ok(Json(operator.document.drafts().await?))
}

#[derive(Debug, Deserialize)]
pub(super) struct VersionParams {
    /// The accepted version to read the section from; the draft when absent.
    version: Option<Version>,
}

pub(super) async fn show(
    State(operator): State<Shared>,
    Path(name): Path<String>,
    query: Result<Query<VersionParams>, QueryRejection>,
) -> Result<Json<Value>, Problem> {
    let name = section_name(&name)?;
    let Query(params) = query.map_err(|e| Problem::bad_request(e.body_text()))?;
    if let Some(version) = params.version {
        let body = operator.document.section_at(version, &name).await?;
        return Ok(Json(json!({ "name": name, "version": version, "body": body })));
    }
    let (info, body) = operator.document.draft(&name).await?;
    Ok(Json(json!(DraftBody { info, body: body.as_ref().to_owned() })))
}

pub(super) async fn write(
    State(operator): State<Shared>,
    Path(name): Path<String>,
    query: Result<Query<RevisionParams>, QueryRejection>,
    headers: HeaderMap,
    body: Result<String, StringRejection>,
) -> Result<Json<DraftInfo>, Problem> {
    let team = operator.authenticate(&headers)?;
    let name = section_name(&name)?;
    let Query(params) = query.map_err(|e| Problem::bad_request(e.body_text()))?;
    let body = body.map_err(|e| Problem::new(e.status(), "bad-body", e.body_text()))?;
    let operation = OperationId(fastrand::u128(..));
    let written =
        operator.document.put_draft(operation, &team, &name, params.revision, &body).await?;
    emit(events::SECTION_WRITTEN, format_args!("{name} by {team}, revision {}", written.revision));
    Ok(Json(written))
}

pub(super) async fn remove(
    State(operator): State<Shared>,
    Path(name): Path<String>,
    query: Result<Query<RevisionParams>, QueryRejection>,
    headers: HeaderMap,
) -> Result<StatusCode, Problem> {
    let team = operator.authenticate(&headers)?;
    let name = section_name(&name)?;
    let Query(params) = query.map_err(|e| Problem::bad_request(e.body_text()))?;
    let operation = OperationId(fastrand::u128(..));
    operator.document.remove_draft(operation, &team, &name, params.revision).await?;
    emit(events::SECTION_WRITTEN, format_args!("{name} removed by {team}"));
    Ok(StatusCode::NO_CONTENT)
}

fn section_name(text: &str) -> Result<SectionName, Problem> {
    text.parse().map_err(|e: goldcresttally_core::Error| Problem::bad_request(e.to_string()))
}
