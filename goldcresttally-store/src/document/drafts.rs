//! Drafts: the sections as teams have written them, to be accepted as the next version.

use std::sync::Arc;

use goldcresttally_config::{Digest, SectionEntry, Snapshot, parse_section};
use goldcresttally_core::{OperationId, SectionName, TeamName, Version};
use serde::{Deserialize, Serialize};

use super::{Document, rows};
use crate::errors::{Error, Result, missing};
use crate::table::{Change, Expected, Row, Transaction, Write};

/// Metadata of a draft.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DraftInfo {
    /// The name of the section.
    pub name: SectionName,
    /// The team that owns the section and may change it.
    pub owner: TeamName,
    /// The current revision, on which the next edit must be based.
    pub revision: u64,
    /// The digest of the section body.
    pub digest: Digest,
}

impl Document {
    /// Lists all drafts, ordered by name.
    pub async fn drafts(&self) -> Result<Vec<DraftInfo>> {
        let rows = self.table.scan(rows::DRAFT_PREFIX).await?;
        rows.iter().map(draft_info).collect()
    }

    /// Reads a draft with its body; returns [`Error::Missing`] if there is none.
    pub async fn draft(&self, name: &SectionName) -> Result<(DraftInfo, Arc<str>)> {
        let info = self.find_draft(name).await?;
        let info = info.ok_or_else(|| missing(format!("section {name}")))?;
        let body = self.section_body(info.digest).await?;
        Ok((info, body))
    }

    /// Writes a draft if its revision is still `expected` (0 for a new section).
    ///
    /// The section is parsed first; nothing is written if that fails. Returns [`Error::NotOwner`]
    /// if another team owns the section, [`Error::Stale`] if its revision is another one, and
    /// [`Error::AnswerLost`] if it is unknown whether the write took effect.
    pub async fn put_draft(
        &self,
        operation: OperationId,
        team: &TeamName,
        name: &SectionName,
        expected: u64,
        text: &str,
    ) -> Result<DraftInfo> {
        parse_section(name, text)?;
        self.check_owner(team, name, expected).await?;
        let digest = self.write_section_body(text).await?;
        let draft = rows::Draft { owner: team.clone(), digest };
        let change = Change::Put(rows::encode(&draft)?);
        let revision = self.write_draft(operation, name, expected, change, Some(digest)).await?;
        Ok(DraftInfo { name: name.clone(), owner: team.clone(), revision, digest })
    }

    /// Removes a draft if its revision is still `expected`. The section stays in the accepted
    /// version until the next accept.
    pub async fn remove_draft(
        &self,
        operation: OperationId,
        team: &TeamName,
        name: &SectionName,
        expected: u64,
    ) -> Result<()> {
        self.check_owner(team, name, expected).await?;
        self.write_draft(operation, name, expected, Change::Delete, None).await?;
        Ok(())
    }

    /// Validates all drafts as one document and returns the snapshot that accepting them would
    /// give, with version 0.
    pub async fn validate_drafts(&self) -> Result<(Vec<DraftInfo>, Snapshot)> {
        let drafts = self.drafts().await?;
        let bodies = self.bodies(&entries_of(&drafts)).await?;
        let snapshot = Snapshot::build(Version(0), &bodies)?;
        Ok((drafts, snapshot))
    }

    async fn find_draft(&self, name: &SectionName) -> Result<Option<DraftInfo>> {
        let row = self.table.read(&draft_key(name)).await?;
        row.as_ref().map(draft_info).transpose()
    }

    async fn check_owner(&self, team: &TeamName, name: &SectionName, expected: u64) -> Result<()> {
        let found = self.find_draft(name).await?;
        if let Some(info) = found.as_ref().filter(|info| info.owner != *team) {
            let owner = info.owner.to_string();
            return Err(Error::NotOwner { section: name.to_string(), owner });
        }
        let current = found.map_or(0, |info| info.revision);
        match current == expected {
            true => Ok(()),
            false => Err(Error::Stale { section: name.to_string(), expected, current }),
        }
    }

    async fn write_draft(
        &self,
        operation: OperationId,
        name: &SectionName,
        expected: u64,
        change: Change,
        digest: Option<Digest>,
    ) -> Result<u64> {
        let precondition = match expected {
            0 => Expected::Absent,
            revision => Expected::Revision(revision),
        };
        let write = Write { key: draft_key(name), expected: precondition, change };
        let transaction = Transaction { operation, writes: vec![write] };
        match self.table.transact(&transaction).await {
            Ok(revision) => Ok(revision),
            Err(Error::Conflict { .. } | Error::AnswerLost { .. }) => {
                self.settle_draft(name, expected, digest).await
            }
            Err(e) => Err(e),
        }
    }

    /// Finds out whether a write whose answer was lost has taken effect. If it has, the row has a new
    /// revision and the written digest.
    ///
    /// Returns the new revision, or [`Error::AnswerLost`] if the row is unchanged, because the write
    /// may still arrive.
    async fn settle_draft(
        &self,
        name: &SectionName,
        expected: u64,
        digest: Option<Digest>,
    ) -> Result<u64> {
        let found = self.find_draft(name).await?;
        let current = found.as_ref().map_or(0, |info| info.revision);
        if current != expected && found.map(|info| info.digest) == digest {
            return Ok(current);
        }
        match current == expected {
            true => Err(Error::AnswerLost {
                cause: "the write is not visible yet and may still take effect".to_owned(),
            }),
            false => Err(Error::Stale { section: name.to_string(), expected, current }),
        }
    }
}

pub(super) fn draft_key(name: &SectionName) -> String {
    format!("{}{name}", rows::DRAFT_PREFIX)
}

pub(super) fn entries_of(drafts: &[DraftInfo]) -> Vec<SectionEntry> {
    drafts.iter().map(|d| SectionEntry { name: d.name.clone(), digest: d.digest }).collect()
}

fn draft_info(row: &Row) -> Result<DraftInfo> {
    let draft: rows::Draft = rows::decode(&row.key, &row.value)?;
    let name = row.key.trim_start_matches(rows::DRAFT_PREFIX);
    let name = name.parse().map_err(|e| crate::errors::corrupt(&row.key, &e))?;
    Ok(DraftInfo { name, owner: draft.owner, revision: row.revision, digest: draft.digest })
}
