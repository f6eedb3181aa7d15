//! The manifest: the list of section digests that makes up one version.

use goldcresttally_core::{SectionName, Version};
use serde::{Deserialize, Serialize};

use crate::digest::Digest;

/// One section of a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionEntry {
    /// The name of the section.
    pub name: SectionName,
    /// The digest of the section body.
    pub digest: Digest,
}

/// The sections of a version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The version that the manifest describes.
    pub version: Version,
    /// The sections, ordered by name; names are unique.
    pub sections: Vec<SectionEntry>,
}

impl Manifest {
    /// Creates the manifest of `version` and sorts `sections` by name.
    pub fn new(version: Version, mut sections: Vec<SectionEntry>) -> Self {
        sections.sort_by(|a, b| a.name.cmp(&b.name));
        Self { version, sections }
    }

    /// Computes the digest of the manifest, which covers its version and all entries.
    pub fn digest(&self) -> Digest {
        let mut text = format!("{}\n", self.version);
        for entry in &self.sections {
            text.push_str(&format!("{} {}\n", entry.digest, entry.name));
        }
        Digest::of(text.as_bytes())
    }

    /// Returns the digest of the section `name`, if the manifest lists it.
    pub fn get(&self, name: &SectionName) -> Option<Digest> {
        let index = self.sections.binary_search_by(|e| e.name.cmp(name)).ok()?;
        Some(self.sections[index].digest)
    }

    /// Returns the entries that are missing from `base` or have another digest there.
    pub fn changed_since(&self, base: &Self) -> Vec<SectionEntry> {
        let is_changed = |e: &&SectionEntry| base.get(&e.name) != Some(e.digest);
        self.sections.iter().filter(is_changed).cloned().collect()
    }

    /// Returns the names that are in `base` but not in `self`.
    pub fn removed_since(&self, base: &Self) -> Vec<SectionName> {
        let is_removed = |e: &&SectionEntry| self.get(&e.name).is_none();
        base.sections.iter().filter(is_removed).map(|e| e.name.clone()).collect()
    }

    /// Applies changed and removed sections to `self` and returns the manifest of `version`.
    #[must_use]
    pub fn patched(
        &self,
        version: Version,
        changed: &[SectionEntry],
        removed: &[SectionName],
    ) -> Self {
        let is_unchanged = |e: &&SectionEntry| {
            !removed.contains(&e.name) && !changed.iter().any(|c| c.name == e.name)
        };
        let mut sections: Vec<_> = self.sections.iter().filter(is_unchanged).cloned().collect();
        sections.extend_from_slice(changed);
        Self::new(version, sections)
    }
}
