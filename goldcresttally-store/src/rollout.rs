//! The trait of a store of rollout orders and of the rows by which rollouts are decided.

use std::fmt::Debug;

use goldcresttally_core::ServiceName;
use goldcresttally_rollout::{Order, StoredRows, Write};

use crate::BoxFuture;
use crate::errors::Result;

/// A store of rollout orders and of the rows by which rollouts are decided.
pub trait RolloutStore: Send + Sync + Debug {
    /// Returns the orders that have arrived through the change feed since the last call, in order.
    fn new_orders(&self) -> Vec<(ServiceName, Order)>;

    /// Reads the order of a service; `None` if there is none.
    fn order<'a>(&'a self, service: &'a ServiceName) -> BoxFuture<'a, Result<Option<Order>>>;

    /// Reads the rows of a service's rollout.
    fn rows<'a>(&'a self, service: &'a ServiceName) -> BoxFuture<'a, Result<StoredRows>>;

    /// Writes a row of a service's rollout under its condition; returns the row's revision.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Conflict`](crate::Error::Conflict) if a row had another revision.
    fn write<'a>(&'a self, service: &'a ServiceName, write: Write) -> BoxFuture<'a, Result<u64>>;

    /// Returns a number that rises each time the store is restored from a copy, so that it has lost
    /// writes; 0 if it never was, or cannot tell.
    fn era(&self) -> u64 {
        0
    }
}
