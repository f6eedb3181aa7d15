//! The error of decoding: the message is not one that a node sends.

use snafu::Snafu;

/// Abbreviates results of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Says why a message could not be read.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The bytes are not a message of the schema.
    #[snafu(display("malformed message: {source}"), context(false))]
    Malformed {
        /// What the codec said.
        source: capnp::Error,
    },
    /// A field holds what its type does not allow.
    #[snafu(display("{source}"), context(false))]
    Value {
        /// Which value, and what was expected.
        source: goldcresttally_core::Error,
    },
    /// A field is not UTF-8 text.
    #[snafu(display("text is not UTF-8: {source}"), context(false))]
    Text {
        /// Where.
        source: std::str::Utf8Error,
    },
    /// A number stands for nothing in this release.
    #[snafu(display("unknown {what}"))]
    Unknown {
        /// What kind of value.
        what: &'static str,
    },
    /// The message is larger than the limit.
    #[snafu(display("message of {bytes} bytes is over the limit"))]
    Oversized {
        /// Its size.
        bytes: usize,
    },
}

impl From<capnp::NotInSchema> for Error {
    fn from(_: capnp::NotInSchema) -> Self {
        Self::Unknown { what: "enumerant" }
    }
}
