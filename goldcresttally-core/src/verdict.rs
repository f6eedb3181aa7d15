//! The verdict on a failed request: whether it may have run.

use crate::text_enum;

/// Says whether a request that failed may have had an effect at an upstream.
///
/// Verdicts are ordered: the one on several attempts together is their maximum.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Verdict {
    /// It did not run and will not run later; repeating it is safe.
    #[default]
    NotRun,
    /// Nobody reachable knows; only an idempotent request may be repeated.
    MayHaveRun,
    /// It ran; the answer was lost or is not fit to be passed on.
    Ran,
}

impl Verdict {
    /// Tells whether an attempt that ended so may be followed by another.
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
