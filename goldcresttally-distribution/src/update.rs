//! What one version changes against another: only changed sections travel.

use std::sync::Arc;

use goldcresttally_config::{Digest, SectionEntry};
use goldcresttally_core::{SectionName, Version};

/// A section that a version holds and its base does not, or holds otherwise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangedSection {
    /// The section's name.
    pub name: SectionName,
    /// The section's text.
    pub body: Arc<str>,
}

impl ChangedSection {
    /// Returns the section's manifest entry.
    pub fn entry(&self) -> SectionEntry {
        SectionEntry { name: self.name.clone(), digest: Digest::of(self.body.as_bytes()) }
    }
}

/// What `version` changes against `base`; a base of 0 means that it is complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionUpdate {
    /// The version that the update leads to.
    pub version: Version,
    /// The version that it starts from.
    pub base: Version,
    /// The digest of the manifest that it leads to.
    pub manifest: Digest,
    /// The sections that are new or changed.
    pub changed: Vec<ChangedSection>,
    /// The sections that are gone.
    pub removed: Vec<SectionName>,
}
