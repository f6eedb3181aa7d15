//! The error of parsing the shared types from text.

use snafu::Snafu;

/// A result with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A text that is not a valid value, with the expected form.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("`{text}` is not a valid {kind}: expected {expected}"))]
pub struct Error {
    kind: &'static str,
    text: String,
    expected: &'static str,
}

/// Returns an error for a `text` that does not parse as `kind`.
pub fn invalid<T>(kind: &'static str, text: &str, expected: &'static str) -> Result<T> {
    // Limits how much untrusted input can get into the log.
    let text = text.chars().take(120).collect();
    Err(Error { kind, text, expected })
}
