//! Fetches a version from the platform: its manifest and the bodies of the changed sections.

use std::rc::Rc;
use std::sync::Arc;

use futures::stream::{StreamExt, TryStreamExt};
use goldcresttally_config::{Digest, SectionEntry};
use goldcresttally_distribution::{ChangedSection, VersionUpdate};

use super::driver::Control;

/// Maximum number of section bodies read concurrently.
const MAX_CONCURRENT_READS: usize = 8;

impl Control {
    /// Fetches the version with the given manifest as an update to the version in force.
    ///
    /// # Errors
    ///
    /// Returns a message if there is no manifest or a read from the platform fails.
    pub(super) async fn fetch_from_platform(
        self: &Rc<Self>,
        manifest: Option<Digest>,
    ) -> Result<VersionUpdate, String> {
        let digest = manifest.ok_or("the table names no manifest for the version")?;
        let manifest = self.source.manifest(digest).await.map_err(|e| e.to_string())?;
        let current = Arc::clone(self.machines.borrow().distribution.bundle());
        let changed = manifest.changed_since(current.manifest());
        let sections = futures::stream::iter(changed)
            .map(|entry| self.read_section(entry))
            .buffered(MAX_CONCURRENT_READS)
            .try_collect()
            .await
            .map_err(|e| e.to_string())?;
        Ok(VersionUpdate {
            version: manifest.version,
            base: current.version(),
            manifest: digest,
            changed: sections,
            removed: manifest.removed_since(current.manifest()),
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
