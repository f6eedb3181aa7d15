//! Traits of a table and an object store, and the configuration document stored in them.
//!
//! * [`table`]: the trait of a transactional table with conditional writes.
//! * [`object`]: the trait of an object store.
//! * [`http_driver`]: an HTTP client that implements both traits.
//! * [`document`]: drafts, accepted versions and their history.
//! * [`no_store`]: an implementation of both traits for nodes without a store.
//! * [`rollout`]: the trait of a store of rollout orders and their states.
//! * [`source`]: the traits of a source of accepted versions and of a directory of nodes.
//! * [`errors`]: the error type of this crate, which tells whether a write may have taken effect.

pub mod document;
pub mod errors;
pub mod http_driver;
pub mod no_store;
pub mod object;
pub mod rollout;
pub mod source;
pub mod table;

pub use document::{Accepted, Document, DraftInfo, Head, HistoryEntry, SectionBodies};
pub use errors::{Error, Result};
pub use http_driver::HttpPlatform;
pub use no_store::NoStore;
pub use object::ObjectStore;
pub use rollout::RolloutStore;
pub use source::{DocumentSource, HeadRequest, NodeDirectory, Progress};
pub use table::{Expected, Row, TableStore, Transaction, Write};

/// A boxed future, which keeps traits with asynchronous methods usable as trait objects.
pub type BoxFuture<'a, T> = std::pin::Pin<Box<dyn Future<Output = T> + Send + 'a>>;
