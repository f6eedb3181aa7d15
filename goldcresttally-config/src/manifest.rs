//! The ordered list of section digests that makes up one version.

use goldcresttally_core::{SectionName, Version};
use serde::{Deserialize, Serialize};

use crate::digest::Digest;

/// One section of a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionEntry {
    /// The section's name.
    pub name: SectionName,
    /// The digest of its body.
    pub digest: Digest,
}

/// Lists the sections of a version, ordered by name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The version that the manifest belongs to.
    pub version: Version,
    /// The sections, ordered by name, each name once.
    pub sections: Vec<SectionEntry>,
}

impl Manifest {
    /// Makes the manifest of `version`, ordering `sections` by name.
    pub fn new(version: Version, mut sections: Vec<SectionEntry>) -> Self {
        sections.sort_by(|a, b| a.name.cmp(&b.name));
        Self { version, sections }
    }

    /// Computes the digest that names the manifest, over its version and entries.
    pub fn digest(&self) -> Digest {
        let mut text = format!("{}\n", self.version);
        for entry in &self.sections {
            text.push_str(&format!("{} {}\n", entry.digest, entry.name));
        }
        Digest::of(text.as_bytes())
    }

    /// Returns the digest of the section `name`.
    pub fn get(&self, name: &SectionName) -> Option<Digest> {
        let at = self.sections.binary_search_by(|e| e.name.cmp(name)).ok()?;
        Some(self.sections[at].digest)
    }

    /// Returns the entries of `self` that `base` lacks or holds with another digest.
    pub fn changed_since(&self, base: &Self) -> Vec<SectionEntry> {
        let differs = |e: &&SectionEntry| base.get(&e.name) != Some(e.digest);
        self.sections.iter().filter(differs).cloned().collect()
    }

    /// Returns the names that `base` holds and `self` does not.
    pub fn removed_since(&self, base: &Self) -> Vec<SectionName> {
        let gone = |e: &&SectionEntry| self.get(&e.name).is_none();
        base.sections.iter().filter(gone).map(|e| e.name.clone()).collect()
    }

    /// Applies a difference to `self`, giving the manifest of `version`.
    #[must_use]
    pub fn patched(
        &self,
        version: Version,
        changed: &[SectionEntry],
        removed: &[SectionName],
    ) -> Self {
        let replaced = |e: &&SectionEntry| {
            !removed.contains(&e.name) && !changed.iter().any(|c| c.name == e.name)
        };
        let mut sections: Vec<_> = self.sections.iter().filter(replaced).cloned().collect();
        sections.extend_from_slice(changed);
        Self::new(version, sections)
    }
}
