//! Newtypes for sizes, rates and shares.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::errors::{Error, Result, invalid};

/// Maximum bit rate that is accepted when parsing, in megabits per second.
const MAX_BIT_RATE_MBIT_S: f64 = 1e6;

/// A size in bytes, at most 4 GiB when parsed; written as `512`, `64KiB` or `8MiB`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ByteSize(pub usize);

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            n if n > 0 && n % (1 << 20) == 0 => write!(f, "{}MiB", n >> 20),
            n if n > 0 && n % (1 << 10) == 0 => write!(f, "{}KiB", n >> 10),
            n => write!(f, "{n}"),
        }
    }
}

impl FromStr for ByteSize {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let (digits, shift) = match text {
            t if t.ends_with("MiB") => (&t[..t.len() - 3], 20),
            t if t.ends_with("KiB") => (&t[..t.len() - 3], 10),
            t => (t, 0),
        };
        let whole = digits.parse::<u32>().ok().map(|n| u64::from(n) << shift);
        // Deploy templates may render numbers with a fraction, as in `160.0MiB`.
        let fraction = || digits.parse::<f64>().ok().filter(|n| shift > 0 && *n >= 0.0);
        let bytes = whole.or_else(|| fraction().map(|n| (n * f64::from(1 << shift)) as u64));
        match bytes {
            Some(bytes) if bytes <= 1 << 32 => Ok(Self(bytes as usize)),
            _ => invalid("size", text, "a number of bytes, or one followed by KiB or MiB"),
        }
    }
}

impl TryFrom<String> for ByteSize {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<ByteSize> for String {
    fn from(size: ByteSize) -> Self {
        size.to_string()
    }
}

/// A rate in events per second; parses `200` and `200/s`.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rate(pub f64);

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        match text.strip_suffix("/s").unwrap_or(text).parse::<f64>() {
            Ok(rate) if rate.is_finite() && rate >= 0.0 => Ok(Self(rate)),
            _ => invalid("rate", text, "a number of events per second, as in `200/s`"),
        }
    }
}

/// A bit rate in bits per second; written as `14Mbit/s`, with fractions allowed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct BitRate(pub u64);

impl BitRate {
    /// Returns the rate in bytes per second.
    pub fn bytes_per_s(self) -> u64 {
        self.0 / 8
    }
}

impl fmt::Display for BitRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}Mbit/s", self.0 as f64 / 1e6)
    }
}

impl FromStr for BitRate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        match text.strip_suffix("Mbit/s").map(str::parse::<f64>) {
            Some(Ok(rate)) if (0.0..=MAX_BIT_RATE_MBIT_S).contains(&rate) => {
                Ok(Self((rate * 1e6) as u64))
            }
            _ => invalid("bit rate", text, "megabits per second, as in `14Mbit/s`"),
        }
    }
}

impl TryFrom<String> for BitRate {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<BitRate> for String {
    fn from(rate: BitRate) -> Self {
        rate.to_string()
    }
}

/// A fraction of a whole, from 0 to 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Share(f64);

impl Share {
    /// Returns the share as a number from 0 to 1.
    pub fn fraction(self) -> f64 {
        self.0
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Share {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        match text.parse::<f64>() {
            Ok(fraction) => Self::try_from(fraction),
            Err(_) => invalid("share", text, "a fraction between 0 and 1"),
        }
    }
}

impl TryFrom<f64> for Share {
    type Error = Error;

    fn try_from(fraction: f64) -> Result<Self> {
        if (0.0..=1.0).contains(&fraction) {
            Ok(Self(fraction))
        } else {
            invalid("share", &fraction.to_string(), "a fraction between 0 and 1")
        }
    }
}

impl From<Share> for f64 {
    fn from(share: Share) -> Self {
        share.0
    }
}
