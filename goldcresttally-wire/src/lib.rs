//! Messages between nodes in Cap'n Proto, and their conversion from and to the typed messages.
//!
//! * [`wire_capnp`]: generated from `schema/wire.capnp`.
//! * [`record`]: membership records.
//! * [`datagram`]: whole datagrams.
//! * [`update`]: version updates.
//! * [`errors`]: the error of this crate.

mod address;
pub mod datagram;
pub mod errors;
mod generated;
pub mod record;
pub mod update;

pub use errors::{Error, Result};
pub use generated::wire_capnp;

/// Largest message accepted on a control connection, in 8-byte words.
pub const MESSAGE_LIMIT_WORDS: usize = 4 * 1024 * 1024;

/// Largest datagram sent or accepted, in bytes.
pub const DATAGRAM_LIMIT_BYTES: usize = 8 * 1024;

/// Returns the limits within which a message from another node is read.
pub fn reader_options() -> capnp::message::ReaderOptions {
    capnp::message::ReaderOptions {
        traversal_limit_in_words: Some(MESSAGE_LIMIT_WORDS),
        nesting_limit: 24,
    }
}
