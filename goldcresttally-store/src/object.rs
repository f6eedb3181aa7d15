//! The trait of an object store with immutable objects.

use std::fmt::Debug;

use bytes::Bytes;

use crate::BoxFuture;
use crate::errors::Result;

/// A store of immutable objects.
pub trait ObjectStore: Send + Sync + Debug {
    /// Reads the object `name`; returns `None` if it does not exist.
    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<Option<Bytes>>>;

    /// Writes the object `name`; writing an object that exists succeeds and changes nothing.
    fn put<'a>(&'a self, name: &'a str, body: Bytes) -> BoxFuture<'a, Result<()>>;
}
