//! A table service and an object store, and the document kept in them.
//!
//! * [`table`]: the trait of a transactional table with conditional writes.
//! * [`object`]: the trait of an object store.
//! * [`http_driver`]: both over HTTP.
//! * [`document`]: drafts, accepted versions and history, with lost answers settled.
//! * [`no_store`]: the absence of a store.
//! * [`source`]: where accepted versions come from, and a list of nodes.
//! * [`errors`]: the error of this crate; it says whether a write may have taken effect.

pub mod document;
pub mod errors;
pub mod http_driver;
pub mod no_store;
pub mod object;
pub mod source;
pub mod table;

pub use document::{Accepted, Document, DraftInfo, Head, HistoryEntry, SectionBodies};
pub use errors::{Error, Result};
pub use http_driver::HttpPlatform;
pub use no_store::NoStore;
pub use object::ObjectStore;
pub use source::{DocumentSource, NodeDirectory};
pub use table::{Expected, Row, TableStore, Transaction, Write};

/// A boxed future, as trait objects return it.
pub type BoxFuture<'a, T> = std::pin::Pin<Box<dyn Future<Output = T> + Send + 'a>>;
