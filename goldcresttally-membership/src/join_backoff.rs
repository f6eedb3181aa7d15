//! Paces attempts to join, so that many nodes that restart at once do not overload the others.

use std::time::Duration;

use goldcresttally_core::{Deadline, MonoTime};

/// Shortest upper bound of the wait before another attempt, in milliseconds.
const BACKOFF_FIRST_MS: u64 = 200;

/// Longest upper bound of the wait before another attempt, in milliseconds.
const BACKOFF_LIMIT_MS: u64 = 2000;

/// Decides when the next attempt is due: full jitter under a bound that doubles and is capped.
#[derive(Debug)]
pub struct JoinBackoff {
    rng: fastrand::Rng,
    failures: u32,
    due: Deadline,
}

impl JoinBackoff {
    /// Returns a pacer whose first attempt is due at `now`.
    pub fn new(seed: u64, now: MonoTime) -> Self {
        Self { rng: fastrand::Rng::with_seed(seed), failures: 0, due: Deadline(now) }
    }

    /// Tells whether an attempt is due.
    pub fn is_due(&self, now: MonoTime) -> bool {
        self.due.is_past(now)
    }

    /// Returns when the next attempt is due.
    pub fn due(&self) -> Deadline {
        self.due
    }

    /// Notes that an attempt failed or was turned away.
    pub fn record_failure(&mut self, now: MonoTime) {
        let bound = (BACKOFF_FIRST_MS << self.failures.min(8)).min(BACKOFF_LIMIT_MS);
        self.failures += 1;
        let wait = Duration::from_millis(self.rng.u64(bound / 4..=bound));
        self.due = Deadline::after(now, wait);
    }

    /// Notes that an attempt succeeded.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }
}
