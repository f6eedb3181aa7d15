//! The trait of a transactional table with conditional writes.

use std::fmt::Debug;

use goldcresttally_core::OperationId;
use serde::{Deserialize, Serialize};

use crate::BoxFuture;
use crate::errors::Result;

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// The table's revision at the last write to this row; it grows with each write to any row.
    pub revision: u64,
    /// The row's value.
    pub value: String,
}

/// The precondition that a row must meet for a transaction to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Expected {
    /// Always holds.
    Any,
    /// The row does not exist.
    Absent,
    /// The row exists at this revision.
    Revision(u64),
}

/// A precondition on one row and the change to that row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The row's key.
    pub key: String,
    /// The precondition.
    pub expected: Expected,
    /// The change.
    pub change: Change,
}

/// The change that a transaction makes to one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// Leaves the row as it is; only its precondition is checked.
    Keep,
    /// Sets the row's value.
    Put(String),
    /// Deletes the row.
    Delete,
}

impl Write {
    /// Returns a write that sets row `key` to `value` if its precondition `expected` holds.
    pub fn put(key: impl Into<String>, expected: Expected, value: String) -> Self {
        Self { key: key.into(), expected, change: Change::Put(value) }
    }

    /// Returns a write that changes nothing and requires row `key` to be at `revision`.
    pub fn check(key: impl Into<String>, revision: u64) -> Self {
        let expected = Expected::Revision(revision);
        Self { key: key.into(), expected, change: Change::Keep }
    }
}

/// A set of writes that take effect atomically.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Identifies the operation in logs and traces.
    pub operation: OperationId,
    /// The writes, in order.
    pub writes: Vec<Write>,
}

/// A transactional table with conditional writes.
pub trait TableStore: Send + Sync + Debug {
    /// Reads one row; returns `None` if it does not exist.
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>>>;

    /// Reads all rows whose key starts with `prefix`, ordered by key.
    fn scan<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<Row>>>;

    /// Applies a transaction and returns the revision of its writes.
    ///
    /// Returns [`Error::Conflict`](crate::Error::Conflict) with the keys of the rows whose
    /// precondition does not hold.
    fn transact<'a>(&'a self, transaction: &'a Transaction) -> BoxFuture<'a, Result<u64>>;
}
