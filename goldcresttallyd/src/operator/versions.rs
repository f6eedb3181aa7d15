//! Handlers to validate, diff and accept the document, list its history and show rollouts.

use std::sync::Arc;

use axum::Json;
use axum::extract::rejection::QueryRejection;
use axum::extract::{Query, State};
use axum::http::HeaderMap;
use goldcresttally_config::{Manifest, SectionEntry};
use goldcresttally_core::{OperationId, Version};
use goldcresttally_distribution::{ChangedSection, VersionUpdate};
use goldcresttally_proxy::clock::wall_ms;
use goldcresttally_store::{Accepted, HistoryEntry, SectionBodies};
use serde::Deserialize;
use serde_json::{Value, json};

use super::Shared;
use super::problem::Problem;
use crate::control::{Command, Rollout};
use crate::events::{self, emit};

/// Default number of versions in the history.
const DEFAULT_HISTORY_LIMIT: usize = 20;

#[derive(Debug, Deserialize)]
pub(super) struct AcceptParams {
    /// Idempotency key of the request: repeating it creates no second version.
    operation: Option<OperationId>,
}

#[derive(Debug, Deserialize)]
pub(super) struct HistoryParams {
    limit: Option<usize>,
}

#[derive(Debug, Deserialize)]
pub(super) struct RolloutParams {
    version: Option<Version>,
}

type QueryResult<T> = Result<Query<T>, QueryRejection>;

pub(super) async fn validate(State(operator): State<Shared>) -> Result<Json<Value>, Problem> {
    let (drafts, snapshot) = operator.document.validate_drafts().await?;
    Ok(Json(json!({
        "sections": drafts.len(),
        "services": snapshot.services().count(),
        "ranks": snapshot.ranks().len(),
        "routes": snapshot.route_count(),
    })))
}

pub(super) async fn diff(State(operator): State<Shared>) -> Result<Json<Value>, Problem> {
    let head = operator.document.head().await?;
    let accepted = match head.manifest {
        Some(digest) => operator.document.manifest(digest).await?,
        None => Manifest::default(),
    };
    let drafts = operator.document.drafts().await?;
    let entry = |d: &goldcresttally_store::DraftInfo| SectionEntry {
        name: d.name.clone(),
        digest: d.digest,
    };
    let drafted = Manifest::new(Version(0), drafts.iter().map(entry).collect());
    let mut changes = Vec::new();
    for entry in drafted.changed_since(&accepted) {
        let old = match accepted.get(&entry.name) {
            Some(digest) => Some(operator.document.section_body(digest).await?),
            None => None,
        };
        let new = operator.document.section_body(entry.digest).await?;
        let change = if old.is_some() { "changed" } else { "added" };
        changes.push(json!({ "section": entry.name, "change": change, "old": old, "new": new }));
    }
    for name in drafted.removed_since(&accepted) {
        changes.push(json!({ "section": name, "change": "removed" }));
    }
    Ok(Json(json!({ "version": head.version, "changes": changes })))
}

pub(super) async fn accept(
    State(operator): State<Shared>,
    query: QueryResult<AcceptParams>,
    headers: HeaderMap,
) -> Result<Json<Accepted>, Problem> {
    let team = operator.authenticate(&headers)?;
    let Query(params) = query.map_err(|e| Problem::bad_request(e.body_text()))?;
    let operation = params.operation.unwrap_or_else(|| OperationId(fastrand::u128(..)));
    let (accepted, content) = operator.document.accept(operation, &team, wall_ms()).await?;
    emit(events::VERSION_ACCEPTED, format_args!("version {} by {team}", accepted.version));
    // Pollers would find the version too, but this node already has its content.
    if let Some(content) = content {
        let update = Arc::new(complete_update(&accepted, content));
        let _ = operator.commands.send(Command::VersionAccepted(update)).await;
    }
    Ok(Json(accepted))
}

/// Returns an update that contains all sections of an accepted version.
fn complete_update(accepted: &Accepted, content: SectionBodies) -> VersionUpdate {
    let section = |(name, body)| ChangedSection { name, body };
    VersionUpdate {
        version: accepted.version,
        base: Version(0),
        manifest: accepted.manifest,
        changed: content.into_iter().map(section).collect(),
        removed: Vec::new(),
    }
}

pub(super) async fn history(
    State(operator): State<Shared>,
    query: QueryResult<HistoryParams>,
) -> Result<Json<Vec<HistoryEntry>>, Problem> {
    let Query(params) = query.map_err(|e| Problem::bad_request(e.body_text()))?;
    Ok(Json(operator.document.history(params.limit.unwrap_or(DEFAULT_HISTORY_LIMIT)).await?))
}

pub(super) async fn rollout(
    State(operator): State<Shared>,
    query: QueryResult<RolloutParams>,
) -> Result<Json<Rollout>, Problem> {
    let Query(params) = query.map_err(|e| Problem::bad_request(e.body_text()))?;
    let version = match params.version {
        Some(version) => version,
        None => operator.document.head().await?.version,
    };
    Ok(Json(operator.send_command(|reply| Command::Rollout(version, reply)).await?))
}
