//! Errors of the table, the object store and the document, with the verdict on failed writes.

use std::sync::Arc;

use goldcresttally_core::Verdict;
use snafu::Snafu;

/// A result with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// An error of the platform, of the connection to it, or of a document operation.
#[derive(Debug, Clone, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A write's precondition did not hold; nothing was written.
    #[snafu(display("conflicting write to {}", keys.join(", ")))]
    Conflict {
        /// The keys of the rows that were not in the expected state.
        keys: Vec<String>,
    },
    /// The platform could not be reached, or answered that it did nothing.
    #[snafu(display("platform unavailable: {cause}"))]
    Unavailable {
        /// The observed failure.
        cause: String,
    },
    /// The platform's answer was lost or is inconclusive; a write may have taken effect.
    #[snafu(display("no definite answer from the platform: {cause}"))]
    AnswerLost {
        /// The observed failure.
        cause: String,
    },
    /// The platform rejected the request, or the request could not be built.
    #[snafu(display("platform rejected the request: {cause}"))]
    Refused {
        /// Why the request was rejected.
        cause: String,
    },
    /// Stored data cannot be decoded or does not match its digest.
    #[snafu(display("corrupt data at `{key}`: {cause}"))]
    Corrupt {
        /// The key of the row or object.
        key: String,
        /// What is wrong with the data.
        cause: String,
    },
    /// The document is not valid; nothing was written.
    #[snafu(display("{error}"), context(false))]
    Invalid {
        /// The validation error.
        #[snafu(source(from(goldcresttally_config::Error, Arc::new)))]
        error: Arc<goldcresttally_config::Error>,
    },
    /// The section is owned by another team.
    #[snafu(display("section {section} belongs to team {owner}"))]
    NotOwner {
        /// The section.
        section: String,
        /// The team that owns the section.
        owner: String,
    },
    /// The section was changed since the revision that the edit is based on.
    #[snafu(display("section {section} is at revision {current}, not {expected}"))]
    Stale {
        /// The section.
        section: String,
        /// The revision that the edit is based on; 0 for a new section.
        expected: u64,
        /// The revision in the table; 0 if the section does not exist.
        current: u64,
    },
    /// The requested item does not exist.
    #[snafu(display("no {what}"))]
    Missing {
        /// The kind and name of the item.
        what: String,
    },
}

impl Error {
    /// Returns whether a write that failed with this error may have taken effect.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::AnswerLost { .. } => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }

    /// Returns whether the platform failed or was unreachable, so that a retry may succeed.
    pub fn is_outage(&self) -> bool {
        matches!(self, Self::Unavailable { .. } | Self::AnswerLost { .. })
    }
}

/// Returns an error for corrupt data at `key`.
pub fn corrupt(key: &str, cause: &impl ToString) -> Error {
    Error::Corrupt { key: key.to_owned(), cause: cause.to_string() }
}

/// Returns an error for an item that does not exist.
pub fn missing(what: impl Into<String>) -> Error {
    Error::Missing { what: what.into() }
}
