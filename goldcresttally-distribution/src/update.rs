//! The difference between two versions; only changed sections are transferred.

use std::sync::Arc;

use goldcresttally_config::{Digest, SectionEntry};
use goldcresttally_core::{SectionName, Version};

/// A section that is new or changed in a version relative to its base.
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

/// The difference between `base` and `version`; with a base of 0 it is the complete version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionUpdate {
    /// The resulting version.
    pub version: Version,
    /// The version that the update applies to.
    pub base: Version,
    /// The digest of the resulting manifest.
    pub manifest: Digest,
    /// The sections that are new or changed.
    pub changed: Vec<ChangedSection>,
    /// The sections that were removed.
    pub removed: Vec<SectionName>,
}
