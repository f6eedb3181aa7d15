//! Keys and encoding of the rows and objects in which the document is stored.

use goldcresttally_config::Digest;
use goldcresttally_core::{OperationId, TeamName, Version};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::errors::{Result, corrupt};

/// The key of the row with the newest accepted version.
pub(super) const HEAD_KEY: &str = "head";

/// The key prefix of rows with accepted versions.
pub(super) const HISTORY_PREFIX: &str = "history/";

/// The key prefix of rows with drafts.
pub(super) const DRAFT_PREFIX: &str = "section/";

/// The newest accepted version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The version; 0 before the first one is accepted.
    pub version: Version,
    /// The digest of the version's manifest.
    pub manifest: Option<Digest>,
    /// The most recent accepts, newest first. An accept whose answer was lost looks up its operation
    /// here to find out whether it took effect.
    pub operations: Vec<(OperationId, Version)>,
}

/// An accepted version in the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The version.
    pub version: Version,
    /// The digest of the version's manifest.
    pub manifest: Digest,
    /// The team that accepted it.
    pub accepted_by: TeamName,
    /// Wall-clock time of the accept, in milliseconds since the Unix epoch.
    pub accepted_at_ms: u64,
}

/// The draft of a section.
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
