//! A store of immutable objects.

use std::fmt::Debug;

use bytes::Bytes;

use crate::BoxFuture;
use crate::errors::Result;

/// An object store, as the platform provides it.
pub trait ObjectStore: Send + Sync + Debug {
    /// Reads the object `name`.
    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<Option<Bytes>>>;

    /// Writes the object `name`; writing the same object again changes nothing.
    fn put<'a>(&'a self, name: &'a str, body: Bytes) -> BoxFuture<'a, Result<()>>;
}
