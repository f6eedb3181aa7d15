//! Timing of the probes that check whether the node of an unanswered attempt is still reachable.
//!
//! A dead link reports no error by itself. Only a probe distinguishes a node that is paused or
//! partitioned from an upstream that is merely slow.

use std::time::Duration;

/// Share of a call's target after which its link is probed if it has received nothing since the
/// attempt was sent. Most answers arrive earlier, and enough time is left to run the call
/// elsewhere.
const PROBE_DELAY_SHARE: f64 = 0.25;

/// Bounds of the probe delay, in milliseconds. A process that has used up its CPU quota is paused
/// for up to 100 ms, and a long target is no reason to wait longer for an unreachable node.
const MIN_PROBE_DELAY_MS: u64 = 100;
const MAX_PROBE_DELAY_MS: u64 = 500;

/// Time within which a probe must be answered, in milliseconds: a pause of 100 ms by the CPU quota
/// at each end, and the round trip.
pub const PROBE_TIMEOUT_MS: u64 = 250;

/// Returns how long after sending an attempt its link is probed, for a call with this target.
pub fn probe_delay(target: Duration) -> Duration {
    let min_delay = Duration::from_millis(MIN_PROBE_DELAY_MS);
    target.mul_f64(PROBE_DELAY_SHARE).clamp(min_delay, Duration::from_millis(MAX_PROBE_DELAY_MS))
}
