//! Fetches a version from the platform: its manifest, and the bodies that are not at hand.

use std::rc::Rc;
use std::sync::Arc;

use futures::stream::{StreamExt, TryStreamExt};
use goldcresttally_config::{Digest, SectionEntry};
use goldcresttally_distribution::{ChangedSection, VersionUpdate};

use super::driver::Control;

/// Bodies that are read at once.
const READS_IN_FLIGHT: usize = 8;

impl Control {
    pub(super) async fn fetch_from_platform(
        self: &Rc<Self>,
        manifest: Option<Digest>,
    ) -> Result<VersionUpdate, String> {
        let digest = manifest.ok_or("the table names no manifest")?;
        let manifest = self.source.manifest(digest).await.map_err(|e| e.to_string())?;
        let held = Arc::clone(self.machines.borrow().distribution.bundle());
        let changed = manifest.changed_since(held.manifest());
        let sections = futures::stream::iter(changed)
            .map(|entry| self.read_section(entry))
            .buffered(READS_IN_FLIGHT)
            .try_collect()
            .await
            .map_err(|e| e.to_string())?;
        Ok(VersionUpdate {
            version: manifest.version,
            base: held.version(),
            manifest: digest,
            changed: sections,
            removed: manifest.removed_since(held.manifest()),
        })
    }

    async fn read_section(
        &self,
        entry: SectionEntry,
    ) -> goldcresttally_store::Result<ChangedSection> {
        let body = self.source.section_body(entry.digest).await?;
        Ok(ChangedSection { name: entry.name, body })
    }
}
