//! The border to whoever writes claims on idempotency keys.

use std::fmt::Debug;

use crate::BoxFuture;

/// A claim row as it stands in the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRow {
    /// The revision to base the next write on.
    pub revision: u64,
    /// The claim's text.
    pub value: String,
}

/// How a conditional write of a claim ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimWriteOutcome {
    /// It is written, with this revision.
    Written(u64),
    /// The row was not at the expected revision.
    Conflict,
    /// It was surely not written.
    Unavailable,
    /// It may have been written.
    Unknown,
}

/// Writes and reads claims; its writes are conditional on the row's revision.
pub trait ClaimStore: Send + Sync + Debug {
    /// Writes `value` to `key` if its revision is `expected` (0: no such row).
    fn write(&self, key: String, expected: u64, value: String) -> BoxFuture<'_, ClaimWriteOutcome>;

    /// Reads the row of `key`; an error means that the table cannot be reached.
    fn read(&self, key: String) -> BoxFuture<'_, Result<Option<ClaimRow>, ()>>;
}
