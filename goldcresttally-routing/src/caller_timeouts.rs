//! Tells calls that were refused before from fresh ones, by the time that their callers still wait.
//!
//! A caller that was refused comes back with what is left of its time. Its answer is late by the
//! time that it has spent already, which the call itself does not say.

use std::time::Duration;

use crate::class_table::ClassTable;

/// Routes of one service whose callers are watched.
const SLOTS: usize = 128;

/// Share of the longest time stated of late below which a caller counts as having spent some:
/// callers of one kind state times that lie up to 15% apart.
const FRESH_SHARE: f64 = 0.84;

/// Share of the longest time that a fresh caller states on average.
const USUAL_SHARE: f64 = 0.925;

/// The longest time is forgotten by this part of it with each call, so that it follows a route
/// whose callers have become less patient within some hundred calls.
const DECAY_DIVISOR: u32 = 1024;

/// Most of the calls that can have been refused before, in 256ths: each caller that comes back was
/// fresh once. Where more seem to come back, callers of the route differ in kind.
const REPEATED_LIMIT: u32 = 128;

/// Weight of one call in the share of those that come back, as a divisor.
const REPEATED_DIVISOR: u32 = 8;

/// Callers of one route that are expected to come back, at most: some of them never do.
const EXPECTED_LIMIT: u32 = 64;

/// The times that callers of one service state, by route.
#[derive(Debug, Default)]
pub struct CallerTimeouts {
    held: ClassTable<SLOTS>,
    /// Callers that were told of a failure and have not come back.
    expected: ClassTable<SLOTS>,
}

/// What is held of the callers of one route.
#[derive(Debug, Clone, Copy, Default)]
struct Callers {
    longest_ms: u32,
    /// Share of calls that came back, in 256ths.
    repeated: u32,
}

impl Callers {
    fn unpack(packed: u32) -> Self {
        Self { longest_ms: packed >> 8, repeated: packed & 0xFF }
    }

    fn pack(self) -> u32 {
        self.longest_ms.min(0x00FF_FFFF) << 8 | self.repeated.min(0xFF)
    }
}

impl CallerTimeouts {
    /// Notes that a caller of a route was told of a failure, so that it may come back. `key` tells
    /// routes apart and is not 0.
    pub fn on_failure(&self, key: u32) {
        let expected = self.expected.get(key).unwrap_or(0);
        self.expected.set(key, (expected + 1).min(EXPECTED_LIMIT));
    }

    /// Takes the time that a caller of a route still waits; returns the time that it has spent
    /// before.
    ///
    /// A caller that states little time although none was told of a failure has little to begin
    /// with, such as an upstream whose own call is nearly at its deadline.
    pub fn time_already_spent(&self, key: u32, left: Duration) -> Duration {
        let left_ms = left.as_millis().min(0x00FF_FFFF) as u32;
        let held = self.held.get(key).map(Callers::unpack).unwrap_or_default();
        let decayed = held.longest_ms - held.longest_ms / DECAY_DIVISOR;
        let longest_ms = left_ms.max(decayed);
        let repeats = f64::from(left_ms) < f64::from(longest_ms) * FRESH_SHARE;
        let sample = if repeats { 256 / REPEATED_DIVISOR } else { 0 };
        let repeated = held.repeated - held.repeated / REPEATED_DIVISOR + sample;
        self.held.set(key, Callers { longest_ms, repeated }.pack());
        let expected = self.expected.get(key).unwrap_or(0);
        if !repeats || held.repeated > REPEATED_LIMIT || expected == 0 {
            return Duration::ZERO;
        }
        self.expected.set(key, expected - 1);
        Duration::from_millis(longest_ms.into()).mul_f64(USUAL_SHARE).saturating_sub(left)
    }
}
