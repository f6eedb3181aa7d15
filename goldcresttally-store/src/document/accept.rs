//! Accepts all drafts as the next version, exactly once even when the answer is lost.

use std::sync::Arc;

use goldcresttally_config::{Digest, Manifest, Snapshot};
use goldcresttally_core::{OperationId, SectionName, TeamName, Version};
use serde::{Deserialize, Serialize};

use super::drafts::{DraftInfo, draft_key, entries_of};
use super::{Document, Head, HistoryEntry, rows};
use crate::errors::{Error, Result};
use crate::table::{Expected, Transaction, Write};

/// Most recent accepts that the head remembers.
const HEAD_OPERATION_LIMIT: usize = 32;

/// Attempts to get a definite answer to one accept.
const SETTLE_ATTEMPTS: usize = 4;

/// The sections of an accepted version, ordered by name.
pub type SectionBodies = Vec<(SectionName, Arc<str>)>;

/// The outcome of an accept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The version that was made.
    pub version: Version,
    /// The digest of its manifest.
    pub manifest: Digest,
}

impl Document {
    /// Validates the drafts as one document and makes them the next version.
    ///
    /// Repeating the call with the same `operation` never makes a second version. Returns the
    /// content too, unless an earlier call made the version: the accepting node then need not read
    /// it back from a platform that may just have failed.
    pub async fn accept(
        &self,
        operation: OperationId,
        team: &TeamName,
        now_ms: u64,
    ) -> Result<(Accepted, Option<SectionBodies>)> {
        let (head, revision) = self.head_row().await?;
        if let Some(done) = self.find_accepted(&head, operation).await? {
            return Ok((done, None));
        }
        let drafts = self.drafts().await?;
        let bodies = self.bodies(&entries_of(&drafts)).await?;
        let version = head.version.next();
        Snapshot::build(version, &bodies)?;
        let manifest = self.write_manifest(&Manifest::new(version, entries_of(&drafts))).await?;
        let entry =
            HistoryEntry { version, manifest, accepted_by: team.clone(), accepted_at_ms: now_ms };
        let writes = accept_writes(head, revision, operation, &entry, &drafts)?;
        self.commit(&Transaction { operation, writes }).await?;
        Ok((Accepted { version, manifest }, Some(bodies)))
    }

    /// Sends the same conditional transaction until its outcome is known.
    async fn commit(&self, transaction: &Transaction) -> Result<()> {
        let mut last = None;
        for _ in 0..SETTLE_ATTEMPTS {
            match self.table.transact(transaction).await {
                Ok(_) => return Ok(()),
                Err(Error::Conflict { keys }) => {
                    // An earlier try of this transaction may be what moved the head.
                    let (head, _) = self.head_row().await?;
                    return match head.operations.iter().any(|(o, _)| *o == transaction.operation) {
                        true => Ok(()),
                        false => Err(Error::Conflict { keys }),
                    };
                }
                Err(e) if e.is_outage() => last = Some(e),
                Err(e) => return Err(e),
            }
        }
        let cause = last.map_or_else(String::new, |e| e.to_string());
        Err(Error::AnswerLost { cause: format!("accept not settled, repeat it: {cause}") })
    }

    async fn find_accepted(&self, head: &Head, operation: OperationId) -> Result<Option<Accepted>> {
        let Some((_, version)) = head.operations.iter().find(|(o, _)| *o == operation) else {
            return Ok(None);
        };
        let key = rows::history_key(*version);
        let row = self.table.read(&key).await?;
        let row = row.ok_or_else(|| crate::errors::missing(&key))?;
        let entry: HistoryEntry = rows::decode(&key, &row.value)?;
        Ok(Some(Accepted { version: entry.version, manifest: entry.manifest }))
    }
}

fn accept_writes(
    head: Head,
    revision: u64,
    operation: OperationId,
    entry: &HistoryEntry,
    drafts: &[DraftInfo],
) -> Result<Vec<Write>> {
    let mut operations = head.operations;
    operations.insert(0, (operation, entry.version));
    operations.truncate(HEAD_OPERATION_LIMIT);
    let head = Head { version: entry.version, manifest: Some(entry.manifest), operations };
    let expected = match revision {
        0 => Expected::Absent,
        revision => Expected::Revision(revision),
    };
    let mut writes = vec![
        Write::put(rows::HEAD_KEY, expected, rows::encode(&head)?),
        Write::put(rows::history_key(entry.version), Expected::Absent, rows::encode(entry)?),
    ];
    // What was validated must be what is accepted.
    writes.extend(drafts.iter().map(|d| Write::check(draft_key(&d.name), d.revision)));
    Ok(writes)
}
