//! Validating, comparing and accepting the document, and watching a version take hold.

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

/// Versions listed when none is asked for.
const HISTORY_DEFAULT: usize = 20;

#[derive(Debug, Deserialize)]
pub(super) struct Operation {
    /// Names the accept, so that repeating it makes no second version.
    operation: Option<OperationId>,
}

#[derive(Debug, Deserialize)]
pub(super) struct Limit {
    limit: Option<usize>,
}

#[derive(Debug, Deserialize)]
pub(super) struct Watched {
    version: Option<Version>,
}

type Asked<T> = Result<Query<T>, QueryRejection>;

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
    asked: Asked<Operation>,
    headers: HeaderMap,
) -> Result<Json<Accepted>, Problem> {
    let team = operator.team(&headers)?;
    let Query(asked) = asked.map_err(|e| Problem::bad_request(e.body_text()))?;
    let operation = asked.operation.unwrap_or_else(|| OperationId(fastrand::u128(..)));
    let (accepted, content) = operator.document.accept(operation, &team, wall_ms()).await?;
    emit(events::VERSION_ACCEPTED, format_args!("version {} by {team}", accepted.version));
    // The pollers would find it too; this node need not wait for them, nor read it back.
    if let Some(content) = content {
        let update = Arc::new(complete_update(&accepted, content));
        let _ = operator.commands.send(Command::VersionAccepted(update)).await;
    }
    Ok(Json(accepted))
}

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
    asked: Asked<Limit>,
) -> Result<Json<Vec<HistoryEntry>>, Problem> {
    let Query(asked) = asked.map_err(|e| Problem::bad_request(e.body_text()))?;
    Ok(Json(operator.document.history(asked.limit.unwrap_or(HISTORY_DEFAULT)).await?))
}

pub(super) async fn rollout(
    State(operator): State<Shared>,
    asked: Asked<Watched>,
) -> Result<Json<Rollout>, Problem> {
    let Query(asked) = asked.map_err(|e| Problem::bad_request(e.body_text()))?;
    let version = match asked.version {
        Some(version) => version,
        None => operator.document.head().await?.version,
    };
    Ok(Json(operator.ask(|reply| Command::Rollout(version, reply)).await?))
}
