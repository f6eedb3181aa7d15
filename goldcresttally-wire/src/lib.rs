//! Cap'n Proto encoding of the messages between nodes.
//!
//! * [`wire_capnp`]: the code generated from `schema/wire.capnp`.
//! * [`record`]: conversion of membership records.
//! * [`rollout`]: conversion of stages and reports of rollouts.
//! * [`datagram`]: encoding and decoding of membership datagrams.
//! * [`tokens`]: conversion of the messages that move tokens of accounts.
//! * [`update`]: conversion of version updates.
//! * [`errors`]: the error type of this crate.

mod address;
pub mod datagram;
pub mod errors;
mod generated;
pub mod record;
pub mod rollout;
pub mod tokens;
pub mod update;

pub use errors::{Error, Result};
pub use generated::wire_capnp;

/// Maximum size of a message on a control connection, in 8-byte words.
pub const MESSAGE_LIMIT_WORDS: usize = 4 * 1024 * 1024;

/// Maximum size of a datagram, in bytes.
pub const DATAGRAM_LIMIT_BYTES: usize = 8 * 1024;

/// Returns the traversal and nesting limits for reading messages from other nodes.
pub fn reader_options() -> capnp::message::ReaderOptions {
    capnp::message::ReaderOptions {
        traversal_limit_in_words: Some(MESSAGE_LIMIT_WORDS),
        nesting_limit: 24,
    }
}
