//! Interface to the store of claims on idempotency keys.

use std::fmt::Debug;

use crate::BoxFuture;

/// A stored claim row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRow {
    /// Its current revision, which the next conditional write must expect.
    pub revision: u64,
    /// The encoded claim.
    pub value: String,
}

/// The outcome of a conditional write of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimWriteOutcome {
    /// It was written, and the row has this revision.
    Written(u64),
    /// The row was not at the expected revision.
    Conflict,
    /// It was certainly not written.
    Unavailable,
    /// It may have been written.
    Unknown,
}

/// Reads claims, and writes them on condition of the row's revision.
pub trait ClaimStore: Send + Sync + Debug {
    /// Writes `value` to `key` if the row's revision is `expected`; 0 expects no row.
    fn write(&self, key: String, expected: u64, value: String) -> BoxFuture<'_, ClaimWriteOutcome>;

    /// Reads the row of `key`; fails if the table cannot be reached.
    fn read(&self, key: String) -> BoxFuture<'_, Result<Option<ClaimRow>, ()>>;
}
