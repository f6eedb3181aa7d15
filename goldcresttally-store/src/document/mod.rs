//! The document in the platform: drafts, accepted versions and their history.
//!
//! Bodies are written before any row points at them. Every change is one conditional
//! transaction, so racing operators get a conflict and never a lost edit.

mod accept;
mod cache;
mod drafts;
mod rows;

use std::sync::Arc;

use bytes::Bytes;
use goldcresttally_config::{Digest, Manifest, SectionEntry};

use goldcresttally_core::{SectionName, Version};

use crate::errors::{Result, corrupt, missing};
use crate::object::ObjectStore;
use crate::table::TableStore;
pub use accept::{Accepted, SectionBodies};
use cache::BodyCache;
pub use drafts::DraftInfo;
pub use rows::{Head, HistoryEntry};

/// The document of one deployment.
#[derive(Debug, Clone)]
pub struct Document {
    table: Arc<dyn TableStore>,
    objects: Arc<dyn ObjectStore>,
    bodies: Arc<BodyCache>,
}

impl Document {
    /// Returns the document kept in `table` and `objects`.
    pub fn new(table: Arc<dyn TableStore>, objects: Arc<dyn ObjectStore>) -> Self {
        Self { table, objects, bodies: Arc::default() }
    }

    /// Reads the head: the newest accepted version.
    pub async fn head(&self) -> Result<Head> {
        Ok(self.head_row().await?.0)
    }

    async fn head_row(&self) -> Result<(Head, u64)> {
        match self.table.read(rows::HEAD_KEY).await? {
            Some(row) => Ok((rows::decode(rows::HEAD_KEY, &row.value)?, row.revision)),
            None => Ok((Head::default(), 0)),
        }
    }

    /// Reads the manifest named `digest`.
    pub async fn manifest(&self, digest: Digest) -> Result<Manifest> {
        let key = rows::manifest_key(digest);
        let body = self.objects.get(&key).await?.ok_or_else(|| missing(&key))?;
        let manifest: Manifest = serde_json::from_slice(&body).map_err(|e| corrupt(&key, &e))?;
        match manifest.digest() == digest {
            true => Ok(manifest),
            false => Err(corrupt(&key, &"digest does not match")),
        }
    }

    /// Reads the section body named `digest`.
    pub async fn section_body(&self, digest: Digest) -> Result<Arc<str>> {
        if let Some(body) = self.bodies.get(digest) {
            return Ok(body);
        }
        let key = rows::section_object_key(digest);
        let body = self.objects.get(&key).await?.ok_or_else(|| missing(&key))?;
        if Digest::of(&body) != digest {
            return Err(corrupt(&key, &"digest does not match"));
        }
        let text = std::str::from_utf8(&body).map_err(|e| corrupt(&key, &e))?;
        let body = Arc::from(text);
        self.bodies.put(digest, &body);
        Ok(body)
    }

    /// Reads the newest `limit` versions, the newest first.
    pub async fn history(&self, limit: usize) -> Result<Vec<HistoryEntry>> {
        let rows = self.table.scan(rows::HISTORY_PREFIX).await?;
        let newest = rows.iter().rev().take(limit);
        newest.map(|row| rows::decode(&row.key, &row.value)).collect()
    }

    /// Reads the body that the section `name` had in an accepted version.
    pub async fn section_at(&self, version: Version, name: &SectionName) -> Result<Arc<str>> {
        let key = rows::history_key(version);
        let row = self.table.read(&key).await?;
        let row = row.ok_or_else(|| missing(format!("version {version}")))?;
        let entry: HistoryEntry = rows::decode(&key, &row.value)?;
        let digest = self.manifest(entry.manifest).await?.get(name);
        let digest =
            digest.ok_or_else(|| missing(format!("section {name} in version {version}")))?;
        self.section_body(digest).await
    }

    async fn write_section_body(&self, text: &str) -> Result<Digest> {
        let digest = Digest::of(text.as_bytes());
        let body = Bytes::copy_from_slice(text.as_bytes());
        self.objects.put(&rows::section_object_key(digest), body).await?;
        Ok(digest)
    }

    async fn write_manifest(&self, manifest: &Manifest) -> Result<Digest> {
        let digest = manifest.digest();
        let body = serde_json::to_vec(manifest).map_err(|e| corrupt("manifest", &e))?;
        self.objects.put(&rows::manifest_key(digest), body.into()).await?;
        Ok(digest)
    }

    async fn bodies(&self, entries: &[SectionEntry]) -> Result<Vec<(SectionName, Arc<str>)>> {
        let reads = entries.iter().map(|e| async {
            let body = self.section_body(e.digest).await?;
            Ok((e.name.clone(), body))
        });
        futures::future::try_join_all(reads).await
    }
}
