//! Backoff between attempts to join, so that a mass restart does not overload the running nodes.

use std::time::Duration;

use goldcresttally_core::{Deadline, MonoTime};

/// Upper bound of the wait after the first failure, in milliseconds.
const BACKOFF_INITIAL_MS: u64 = 200;

/// Maximum wait between attempts, in milliseconds.
const BACKOFF_MAX_MS: u64 = 2000;

/// Capped exponential backoff with jitter: each wait is drawn from the upper three quarters of a
/// bound that doubles with every failure.
#[derive(Debug)]
pub struct JoinBackoff {
    rng: fastrand::Rng,
    failures: u32,
    due: Deadline,
}

impl JoinBackoff {
    /// Returns a backoff whose first attempt is due at `now`; `seed` drives the jitter.
    pub fn new(seed: u64, now: MonoTime) -> Self {
        Self { rng: fastrand::Rng::with_seed(seed), failures: 0, due: Deadline(now) }
    }

    /// Returns whether an attempt is due at `now`.
    pub fn is_due(&self, now: MonoTime) -> bool {
        self.due.is_past(now)
    }

    /// Returns when the next attempt is due.
    pub fn due(&self) -> Deadline {
        self.due
    }

    /// Records that an attempt failed or was rejected, and schedules the next one.
    pub fn record_failure(&mut self, now: MonoTime) {
        let bound = (BACKOFF_INITIAL_MS << self.failures.min(8)).min(BACKOFF_MAX_MS);
        self.failures += 1;
        let wait = Duration::from_millis(self.rng.u64(bound / 4..=bound));
        self.due = Deadline::after(now, wait);
    }

    /// Records that an attempt succeeded and resets the backoff.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }
}
