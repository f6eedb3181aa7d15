//! Refuses early, at the entry, what the upstreams would refuse anyway.
//!
//! Client-side throttling after "Site Reliability Engineering" (Beyer et al., 2016), chapter 21:
//! calls are refused with probability `(requests - K * accepts) / (requests + 1)`. Only calls that
//! have ended are counted: a burst is no sign of overload.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use goldcresttally_core::MonoTime;

use crate::class_table::slot_hash;

/// Requests let through for each one that was accepted.
const MULTIPLIER: f64 = 1.5;

/// Refusals that are too few to act on.
const SLACK: f64 = 10.0;

/// Half-life of the counts, in milliseconds.
const HALF_LIFE_MS: u64 = 250;

/// Throttles of one service; classes beyond this many share theirs.
const SLOTS: usize = 64;

/// The throttles of one service, by class of call: calls of one rank with another target, or that
/// are late already, are refused by upstreams more or less often.
#[derive(Debug)]
pub struct Throttles {
    slots: [Throttle; SLOTS],
}

impl Default for Throttles {
    fn default() -> Self {
        Self { slots: std::array::from_fn(|_| Throttle::default()) }
    }
}

impl Throttles {
    /// Returns the throttle of a class.
    pub fn for_class(&self, key: u32) -> &Throttle {
        &self.slots[slot_hash(key) as usize % SLOTS]
    }
}

/// Counts of one service and class of call; shared by the threads that serve calls.
#[derive(Debug, Default)]
pub struct Throttle {
    requests: AtomicU64,
    accepts: AtomicU64,
    halved_at_us: AtomicU64,
}

impl Throttle {
    /// Decides whether a call goes out; `random` is uniform in `0.0..1.0`.
    pub fn admit(&self, now: MonoTime, random: f64) -> bool {
        self.decay(now);
        let requests = self.requests.load(Ordering::Relaxed) as f64;
        let accepts = self.accepts.load(Ordering::Relaxed) as f64;
        let refuse = (requests - MULTIPLIER * accepts - SLACK) / (requests + 1.0);
        let admits = random >= refuse;
        if !admits {
            // A call refused here counts as one that an upstream would have refused.
            self.refused();
        }
        admits
    }

    /// Notes that an upstream took a call.
    pub fn accepted(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.accepts.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes that an upstream refused a call because of its load.
    pub fn refused(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
    }

    fn decay(&self, now: MonoTime) {
        let last = self.halved_at_us.load(Ordering::Relaxed);
        if now.since(MonoTime(last)) < Duration::from_millis(HALF_LIFE_MS) {
            return;
        }
        let exchange =
            self.halved_at_us.compare_exchange(last, now.0, Ordering::Relaxed, Ordering::Relaxed);
        if exchange.is_ok() {
            let halve = |n: u64| Some(n / 2);
            let _ = self.requests.fetch_update(Ordering::Relaxed, Ordering::Relaxed, halve);
            let _ = self.accepts.fetch_update(Ordering::Relaxed, Ordering::Relaxed, halve);
        }
    }
}
