//! The error of the shared types: text that does not parse.

use snafu::Snafu;

/// Abbreviates results of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Says which text was not a valid value, and what was expected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("`{text}` is not a valid {kind}: expected {expected}"))]
pub struct Error {
    kind: &'static str,
    text: String,
    expected: &'static str,
}

/// Returns the error for `text` that does not parse as `kind`.
pub fn invalid<T>(kind: &'static str, text: &str, expected: &'static str) -> Result<T> {
    // Bounds what an attacker can make the log print.
    let text = text.chars().take(120).collect();
    Err(Error { kind, text, expected })
}
