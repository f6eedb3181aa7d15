//! Client-side throttling: refuses calls at the entry node that the upstreams would refuse anyway.
//!
//! Follows "Site Reliability Engineering" (Beyer et al., 2016), chapter 21: a call is refused with
//! probability `(requests - K * accepts) / (requests + 1)`. Only completed calls are counted,
//! because a burst of new calls is no sign of overload.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use goldcresttally_core::MonoTime;

use crate::class_table::slot_hash;

/// Requests let through per accepted request, `K` in the formula.
const ACCEPT_MULTIPLIER: f64 = 1.5;

/// Number of refusals that are tolerated before any call is throttled.
const TOLERATED_REFUSALS: f64 = 10.0;

/// Half-life of the counters, in milliseconds.
const HALF_LIFE_MS: u64 = 250;

/// Throttles per service; classes with the same slot share one.
const THROTTLE_SLOTS: usize = 64;

/// The throttles of one service, by call class.
///
/// Classes are separate because upstreams refuse calls of the same rank more or less often
/// depending on their target and on whether they are already late.
#[derive(Debug)]
pub struct Throttles {
    slots: [Throttle; THROTTLE_SLOTS],
}

impl Default for Throttles {
    fn default() -> Self {
        Self { slots: std::array::from_fn(|_| Throttle::default()) }
    }
}

impl Throttles {
    /// Returns the throttle of a class.
    pub fn for_class(&self, key: u32) -> &Throttle {
        &self.slots[slot_hash(key) as usize % THROTTLE_SLOTS]
    }
}

/// The throttle of one service and call class. Shared by the threads that serve calls.
#[derive(Debug, Default)]
pub struct Throttle {
    requests: AtomicU64,
    accepts: AtomicU64,
    halved_at_us: AtomicU64,
}

impl Throttle {
    /// Returns whether a call may be sent; `random` is uniform in `0.0..1.0`.
    pub fn admit(&self, now: MonoTime, random: f64) -> bool {
        self.decay(now);
        let requests = self.requests.load(Ordering::Relaxed) as f64;
        let accepts = self.accepts.load(Ordering::Relaxed) as f64;
        let refuse_probability =
            (requests - ACCEPT_MULTIPLIER * accepts - TOLERATED_REFUSALS) / (requests + 1.0);
        let admitted = random >= refuse_probability;
        if !admitted {
            // Counts like a refusal by an upstream, as in the book.
            self.refused();
        }
        admitted
    }

    /// Records that an upstream accepted a call.
    pub fn accepted(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.accepts.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that an upstream refused a call because of its load.
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
