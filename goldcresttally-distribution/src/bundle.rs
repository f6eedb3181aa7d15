//! The manifest and section bodies of one version, complete and verified against its digest.

use std::sync::Arc;

use goldcresttally_config::{Digest, Manifest, SectionEntry};
use goldcresttally_core::{Map, SectionName, Version};

use crate::update::{ChangedSection, VersionUpdate};

/// A complete version: its manifest and the body of every section.
#[derive(Debug, Clone, Default)]
pub struct Bundle {
    manifest: Manifest,
    digest: Option<Digest>,
    bodies: Map<Digest, Arc<str>>,
}

impl Bundle {
    /// Returns the version.
    pub fn version(&self) -> Version {
        self.manifest.version
    }

    /// Returns the manifest.
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// Returns the section body with the given digest, if the version contains it.
    pub fn body(&self, digest: Digest) -> Option<&Arc<str>> {
        self.bodies.get(&digest)
    }

    /// Returns all sections with their bodies, ordered by name.
    pub fn sections(&self) -> Vec<(SectionName, Arc<str>)> {
        let section = |e: &SectionEntry| Some((e.name.clone(), Arc::clone(self.body(e.digest)?)));
        self.manifest.sections.iter().filter_map(section).collect()
    }

    /// Returns this version with `update` applied, or `None` if the update has another base, is not
    /// newer, or does not match its digest.
    pub fn patched(&self, update: &VersionUpdate) -> Option<Self> {
        let empty = Self::default();
        let base = if update.base == Version(0) { &empty } else { self };
        if update.base != base.version() || update.version <= update.base {
            return None;
        }
        let changed: Vec<_> = update.changed.iter().map(ChangedSection::entry).collect();
        let manifest = base.manifest.patched(update.version, &changed, &update.removed);
        if manifest.digest() != update.manifest {
            return None;
        }
        let mut known = base.bodies.clone();
        let changed_bodies = changed.iter().zip(&update.changed);
        known.extend(
            changed_bodies.map(|(entry, section)| (entry.digest, Arc::clone(&section.body))),
        );
        let body = |e: &SectionEntry| Some((e.digest, Arc::clone(known.get(&e.digest)?)));
        let bodies = manifest.sections.iter().map(body).collect::<Option<_>>()?;
        Some(Self { digest: Some(update.manifest), manifest, bodies })
    }

    /// Returns the update that leads from the version of `base` to this one.
    pub fn update_from(&self, base: &Manifest) -> VersionUpdate {
        let section = |e: SectionEntry| {
            let body = Arc::clone(self.body(e.digest)?);
            Some(ChangedSection { name: e.name, body })
        };
        VersionUpdate {
            version: self.version(),
            base: base.version,
            manifest: self.digest.unwrap_or_else(|| self.manifest.digest()),
            changed: self.manifest.changed_since(base).into_iter().filter_map(section).collect(),
            removed: self.manifest.removed_since(base),
        }
    }
}
