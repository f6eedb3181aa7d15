//! Detects calls that are retries by the caller, from the remaining time that callers state.
//!
//! A caller that retries after a failure states only what remains of its timeout. The time that it
//! has already waited counts against the target of the call, but the call itself does not carry it.

use std::time::Duration;

use crate::class_table::ClassTable;

/// Number of routes per service whose callers are tracked.
const ROUTE_SLOTS: usize = 128;

/// A call that states less than this share of the longest recent timeout counts as a retry. The
/// timeouts that callers of one kind state lie up to 15% apart.
const FIRST_CALL_MIN_SHARE: f64 = 0.84;

/// Average timeout of a first call, as a share of the longest one.
const FIRST_CALL_MEAN_SHARE: f64 = 0.925;

/// With each call, the longest timeout decays by one over this, so that within some hundred calls
/// it follows a route whose callers have changed to a shorter timeout.
const DECAY_DIVISOR: u32 = 1024;

/// Maximum plausible share of retries among calls, in 256ths, since each retry follows a first
/// call. Where more calls look like retries, the route has callers with different timeouts.
const MAX_RETRY_SHARE: u32 = 128;

/// A call has a weight of one over this in the moving share of retries.
const RETRY_WEIGHT_DIVISOR: u32 = 8;

/// Maximum number of expected retries per route; some callers never retry.
const MAX_EXPECTED_RETRIES: u32 = 64;

/// The timeouts that the callers of one service state, by route.
#[derive(Debug, Default)]
pub struct CallerTimeouts {
    callers: ClassTable<ROUTE_SLOTS>,
    /// Number of callers per route that were sent a failure and have not retried yet.
    expected_retries: ClassTable<ROUTE_SLOTS>,
}

/// Statistics about the callers of one route.
#[derive(Debug, Clone, Copy, Default)]
struct RouteCallers {
    /// Longest recent timeout, which decays with each call.
    longest_ms: u32,
    /// Moving share of calls that look like retries, in 256ths.
    retry_share: u32,
}

impl RouteCallers {
    fn unpack(packed: u32) -> Self {
        Self { longest_ms: packed >> 8, retry_share: packed & 0xFF }
    }

    fn pack(self) -> u32 {
        self.longest_ms.min(0x00FF_FFFF) << 8 | self.retry_share.min(0xFF)
    }
}

impl CallerTimeouts {
    /// Records that a caller of a route was sent a failure, so that it may retry. `key` identifies
    /// the route and must not be 0.
    pub fn on_failure(&self, key: u32) {
        let expected_retries = self.expected_retries.get(key).unwrap_or(0);
        self.expected_retries.set(key, (expected_retries + 1).min(MAX_EXPECTED_RETRIES));
    }

    /// Records the remaining time that a caller of a route states; returns how long it has already
    /// waited if the call looks like a retry, and zero otherwise.
    ///
    /// Only as many calls count as retries as failures were sent. A short timeout without a failure
    /// is one to begin with, such as that of an upstream whose own call is close to its deadline.
    pub fn time_already_spent(&self, key: u32, remaining: Duration) -> Duration {
        let remaining_ms = remaining.as_millis().min(0x00FF_FFFF) as u32;
        let callers = self.callers.get(key).map(RouteCallers::unpack).unwrap_or_default();
        let decayed = callers.longest_ms - callers.longest_ms / DECAY_DIVISOR;
        let longest_ms = remaining_ms.max(decayed);
        let is_retry = f64::from(remaining_ms) < f64::from(longest_ms) * FIRST_CALL_MIN_SHARE;
        let sample = if is_retry { 256 / RETRY_WEIGHT_DIVISOR } else { 0 };
        let retry_share = callers.retry_share - callers.retry_share / RETRY_WEIGHT_DIVISOR + sample;
        self.callers.set(key, RouteCallers { longest_ms, retry_share }.pack());
        let expected_retries = self.expected_retries.get(key).unwrap_or(0);
        if !is_retry || callers.retry_share > MAX_RETRY_SHARE || expected_retries == 0 {
            return Duration::ZERO;
        }
        self.expected_retries.set(key, expected_retries - 1);
        Duration::from_millis(longest_ms.into())
            .mul_f64(FIRST_CALL_MEAN_SHARE)
            .saturating_sub(remaining)
    }
}
