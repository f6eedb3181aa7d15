//! A transactional table with conditional writes.

use std::fmt::Debug;

use goldcresttally_core::OperationId;
use serde::{Deserialize, Serialize};

use crate::BoxFuture;
use crate::errors::Result;

/// One row; its revision changes with each write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// Grows with each write to any row of the table.
    pub revision: u64,
    /// The row's text.
    pub value: String,
}

/// The state that a row must be in for a transaction to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Expected {
    /// Any state.
    Any,
    /// No such row.
    Absent,
    /// The row at this revision.
    Revision(u64),
}

/// One row's part in a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The row's key.
    pub key: String,
    /// The state it must be in.
    pub expected: Expected,
    /// What becomes of it.
    pub change: Change,
}

/// What a transaction does to one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// Nothing; its state is only checked.
    Keep,
    /// The row holds this text.
    Put(String),
    /// The row goes.
    Delete,
}

impl Write {
    /// Returns a write of `value` to `key`, if it is in the `expected` state.
    pub fn put(key: impl Into<String>, expected: Expected, value: String) -> Self {
        Self { key: key.into(), expected, change: Change::Put(value) }
    }

    /// Returns a check that `key` is at `revision`.
    pub fn check(key: impl Into<String>, revision: u64) -> Self {
        let expected = Expected::Revision(revision);
        Self { key: key.into(), expected, change: Change::Keep }
    }
}

/// Writes that take effect together or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Names the operation in logs and traces.
    pub operation: OperationId,
    /// The rows' parts, in order.
    pub writes: Vec<Write>,
}

/// A transactional table, as the platform provides it.
pub trait TableStore: Send + Sync + Debug {
    /// Reads one row.
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>>>;

    /// Reads all rows whose key starts with `prefix`, ordered by key.
    fn scan<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<Row>>>;

    /// Applies a transaction; returns the revision that its writes got.
    fn transact<'a>(&'a self, transaction: &'a Transaction) -> BoxFuture<'a, Result<u64>>;
}
