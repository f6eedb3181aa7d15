//! Monotonic time and deadlines.
//!
//! The state machines do not read a clock: the time is passed to them, which makes them
//! deterministic.

use std::fmt;
use std::ops::Add;
use std::time::Duration;

/// A point in monotonic time, in microseconds since an origin that differs between processes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MonoTime(pub u64);

impl MonoTime {
    /// Returns the time `ms` milliseconds after the origin.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1000)
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for MonoTime {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl fmt::Display for MonoTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}ms", self.0 / 1000, self.0 % 1000)
    }
}

/// The point in time after which a result is no longer useful.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Deadline(pub MonoTime);

impl Deadline {
    /// Returns the deadline `timeout` after `now`.
    pub fn after(now: MonoTime, timeout: Duration) -> Self {
        Self(now + timeout)
    }

    /// Returns the time remaining at `now`, or zero if the deadline has passed.
    pub fn remaining(self, now: MonoTime) -> Duration {
        self.0.since(now)
    }

    /// Returns whether the deadline has passed at `now`.
    pub fn is_past(self, now: MonoTime) -> bool {
        now >= self.0
    }
}
