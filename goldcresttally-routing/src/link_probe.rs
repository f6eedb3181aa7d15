//! When an attempt that has no answer is suspected to have gone to a silent node.
//!
//! A link that carries nothing any more shows no error: only a probe tells a node that is paused
//! or cut off from an upstream that takes its time.

use std::time::Duration;

/// Share of a call's target after which its link is probed, unless it has brought anything since:
/// late enough for most answers, and early enough to run the call elsewhere in time.
const CHECK_SHARE: f64 = 0.25;

/// Bounds of that time, in milliseconds: a process that has used up its share of a core stands
/// still for up to 100 ms, and a long target is no reason to wait for a node that is gone.
const CHECK_LEAST_MS: u64 = 100;
const CHECK_MOST_MS: u64 = 500;

/// Time within which a probe must be answered, in milliseconds: two pauses of 100 ms by the
/// limiter of the core, one at each end, and the round trip.
pub const PROBE_TIMEOUT_MS: u64 = 250;

/// Returns the time after which the link of an attempt is checked.
pub fn probe_delay(target: Duration) -> Duration {
    let least = Duration::from_millis(CHECK_LEAST_MS);
    target.mul_f64(CHECK_SHARE).clamp(least, Duration::from_millis(CHECK_MOST_MS))
}
