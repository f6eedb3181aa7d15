//! The error of the platform: what failed, and whether a write may have taken effect.

use std::sync::Arc;

use goldcresttally_core::Verdict;
use snafu::Snafu;

/// Abbreviates results of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Says what the platform, or the way to it, did not do.
#[derive(Debug, Clone, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The condition of a write did not hold; nothing was written.
    #[snafu(display("conflict on {}", keys.join(", ")))]
    Conflict {
        /// The rows whose revision was not the expected one.
        keys: Vec<String>,
    },
    /// The platform could not be reached, or said that it did nothing.
    #[snafu(display("platform unavailable: {cause}"))]
    Unavailable {
        /// What was seen.
        cause: String,
    },
    /// The answer was lost; a write may have taken effect.
    #[snafu(display("answer from the platform lost: {cause}"))]
    AnswerLost {
        /// What was seen.
        cause: String,
    },
    /// The platform refused the request as malformed.
    #[snafu(display("platform refused the request: {cause}"))]
    Refused {
        /// What it said.
        cause: String,
    },
    /// What was read is not what this program writes.
    #[snafu(display("unreadable data at {key}: {cause}"))]
    Corrupt {
        /// The row or object.
        key: String,
        /// What is wrong with it.
        cause: String,
    },
    /// The document is not valid; nothing was written.
    #[snafu(display("{error}"), context(false))]
    Invalid {
        /// Where and why.
        #[snafu(source(from(goldcresttally_config::Error, Arc::new)))]
        error: Arc<goldcresttally_config::Error>,
    },
    /// The caller's team does not own the section.
    #[snafu(display("section {section} belongs to team {owner}"))]
    NotOwner {
        /// The section.
        section: String,
        /// Its owner.
        owner: String,
    },
    /// A section's revision is not the one the edit was based on.
    #[snafu(display("section {section} is at revision {current}, not {expected}"))]
    Stale {
        /// The section.
        section: String,
        /// The revision the edit was based on; 0 for a new section.
        expected: u64,
        /// The revision in the table; 0 when there is none.
        current: u64,
    },
    /// There is nothing of that name.
    #[snafu(display("no {what}"))]
    Missing {
        /// What was asked for.
        what: String,
    },
}

impl Error {
    /// Says whether the write that failed so may have taken effect.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::AnswerLost { .. } => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }

    /// Tells whether the platform, rather than the request, is at fault.
    pub fn is_outage(&self) -> bool {
        matches!(self, Self::Unavailable { .. } | Self::AnswerLost { .. })
    }
}

/// Returns the error for unreadable data at `key`.
pub fn corrupt(key: &str, cause: &impl ToString) -> Error {
    Error::Corrupt { key: key.to_owned(), cause: cause.to_string() }
}

/// Returns the error for a thing that is not there.
pub fn missing(what: impl Into<String>) -> Error {
    Error::Missing { what: what.into() }
}
