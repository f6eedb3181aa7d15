//! Amounts of tokens as they are sent between nodes.

use std::fmt;
use std::str::FromStr;

use goldcresttally_core::errors::invalid;

/// An amount of tokens in thousandths of a call; written as `1.250`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Tokens(pub u64);

impl Tokens {
    /// Returns the largest amount that is not above `calls`.
    pub fn at_most(calls: f64) -> Self {
        Self((calls * 1000.0).max(0.0) as u64)
    }

    /// Returns the smallest amount that is not below `calls`.
    pub fn at_least(calls: f64) -> Self {
        Self((calls * 1000.0).max(0.0).ceil() as u64)
    }

    /// Returns the amount in calls.
    pub fn calls(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0 / 1000, self.0 % 1000)
    }
}

impl FromStr for Tokens {
    type Err = goldcresttally_core::Error;

    fn from_str(text: &str) -> goldcresttally_core::Result<Self> {
        match text.parse::<f64>() {
            Ok(calls) if calls.is_finite() && calls >= 0.0 => {
                Ok(Self((calls * 1000.0).round() as u64))
            }
            _ => invalid("tokens", text, "a number of calls, as in `1.250`"),
        }
    }
}
