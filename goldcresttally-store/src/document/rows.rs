//! The rows and objects that hold the document.

use goldcresttally_config::Digest;
use goldcresttally_core::{OperationId, TeamName, Version};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::errors::{Result, corrupt};

/// The row that holds the newest accepted version.
pub(super) const HEAD_KEY: &str = "head";

/// The prefix of rows that hold accepted versions.
pub(super) const HISTORY_PREFIX: &str = "history/";

/// The prefix of rows that hold drafts.
pub(super) const DRAFT_PREFIX: &str = "section/";

/// The newest accepted version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The version; 0 when none was accepted yet.
    pub version: Version,
    /// The digest of its manifest.
    pub manifest: Option<Digest>,
    /// The newest accepts, by which one whose answer was lost finds itself.
    pub operations: Vec<(OperationId, Version)>,
}

/// One accepted version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The version.
    pub version: Version,
    /// The digest of its manifest.
    pub manifest: Digest,
    /// The team that accepted it.
    pub accepted_by: TeamName,
    /// Wall-clock time of the accept, in milliseconds since the Unix epoch.
    pub accepted_at_ms: u64,
}

/// One team's draft of a section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Draft {
    pub owner: TeamName,
    pub digest: Digest,
}

pub(super) fn history_key(version: Version) -> String {
    format!("{HISTORY_PREFIX}{:020}", version.0)
}

pub(super) fn manifest_key(digest: Digest) -> String {
    format!("manifests/{digest}")
}

pub(super) fn section_object_key(digest: Digest) -> String {
    format!("sections/{digest}")
}

pub(super) fn decode<T: DeserializeOwned>(key: &str, value: &str) -> Result<T> {
    serde_json::from_str(value).map_err(|e| corrupt(key, &e))
}

pub(super) fn encode<T: Serialize>(value: &T) -> Result<String> {
    serde_json::to_string(value).map_err(|e| corrupt("row", &e))
}
