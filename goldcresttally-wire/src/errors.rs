//! The error type of this crate.

use snafu::Snafu;

/// A `Result` with the [`Error`] of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// A message that could not be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The bytes are not a valid message of the schema.
    #[snafu(display("malformed message: {source}"), context(false))]
    Malformed {
        /// The error of the codec.
        source: capnp::Error,
    },
    /// A field has a value that its type does not allow.
    #[snafu(display("{source}"), context(false))]
    Value {
        /// The rejected value and what was expected.
        source: goldcresttally_core::Error,
    },
    /// A text field is not valid UTF-8.
    #[snafu(display("text field is not valid UTF-8: {source}"), context(false))]
    Text {
        /// The position of the invalid bytes.
        source: std::str::Utf8Error,
    },
    /// A value that this release does not know, or a digest of the wrong length.
    #[snafu(display("unknown or invalid {what}"))]
    Unknown {
        /// The kind of value.
        what: &'static str,
    },
    /// The section bodies cannot be decompressed.
    #[snafu(display("section bodies cannot be decompressed: {source}"), context(false))]
    Compression {
        /// The error of the codec.
        source: lz4_flex::block::DecompressError,
    },
    /// The section bodies are shorter than announced.
    #[snafu(display("the section bodies are incomplete"))]
    Truncated,
    /// A datagram or the body of a section is larger than its limit.
    #[snafu(display("datagram or section of {bytes} bytes is over the limit"))]
    Oversized {
        /// The size, in bytes.
        bytes: usize,
    },
}

impl From<capnp::NotInSchema> for Error {
    fn from(_: capnp::NotInSchema) -> Self {
        Self::Unknown { what: "enumerant" }
    }
}
