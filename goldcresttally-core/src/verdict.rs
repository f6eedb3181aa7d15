//! The verdict on a failed request: whether it may have been run.

use crate::text_enum;

/// Whether a failed request may have had an effect at an upstream.
///
/// Verdicts are ordered: the verdict on several attempts of one request is their maximum.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Verdict {
    /// The request was not run and will not be run later; repeating it is safe.
    #[default]
    NotRun,
    /// It is unknown whether the request was run; only an idempotent request may be repeated.
    MayHaveRun,
    /// The request was run, but its answer was lost or cannot be returned to the caller.
    Ran,
}

impl Verdict {
    /// Returns whether another attempt may follow an attempt with this verdict.
    pub fn may_retry(self, idempotent: bool) -> bool {
        match self {
            Self::NotRun => true,
            Self::MayHaveRun | Self::Ran => idempotent,
        }
    }
}

text_enum!(
    Verdict,
    "verdict",
    "not-run, may-have-run or ran",
    NotRun = "not-run",
    MayHaveRun = "may-have-run",
    Ran = "ran",
);
