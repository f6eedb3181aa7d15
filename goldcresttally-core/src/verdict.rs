//! The verdict on a failed request: whether it may have run.

use std::fmt;
use std::str::FromStr;

use crate::errors::{Error, Result, invalid};

/// Says whether a request that failed may have had an effect at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// It did not run and will not run later; repeating it is safe.
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

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        })
    }
}

impl FromStr for Verdict {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "not-run" => Ok(Self::NotRun),
            "may-have-run" => Ok(Self::MayHaveRun),
            "ran" => Ok(Self::Ran),
            _ => invalid("verdict", text, "not-run, may-have-run or ran"),
        }
    }
}
