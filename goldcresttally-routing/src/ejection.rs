//! Endpoints that fail are left out for a while, up to a share of them.

use std::time::Duration;

use goldcresttally_core::MonoTime;

use crate::endpoint::Endpoint;

/// Options of ejection.
#[derive(Debug, Clone)]
pub struct Ejection {
    /// Failures in a row after which an endpoint is left out.
    pub consecutive_failures: u32,
    /// Time for which it is left out at first; doubles with further failures, up to 8 times.
    pub base_duration: Duration,
    /// Largest share of the endpoints that is left out at once.
    pub max_ejected_share: f64,
}

impl Default for Ejection {
    fn default() -> Self {
        Self {
            consecutive_failures: 3,
            base_duration: Duration::from_secs(1),
            max_ejected_share: 0.5,
        }
    }
}

impl Ejection {
    /// Leaves out an endpoint to which no connection could be opened: other than a failure, that
    /// is no sign of overload, and however many are cut off, calls do better at the rest.
    pub fn on_unreachable(&self, now: MonoTime, endpoint: &Endpoint) {
        endpoint.stats.eject(now + self.base_duration);
    }

    /// Leaves out an endpoint whose node has gone silent, at once and for longer each time until it
    /// answers: each call that is tried on it loses much of its time.
    pub fn on_silent(&self, now: MonoTime, endpoint: &Endpoint) {
        let doublings = endpoint.stats.on_silent(now).min(3);
        endpoint.stats.eject(now + self.base_duration * (1 << doublings));
    }

    /// Notes a failure of `endpoint`, one of `all`; returns whether it is left out now.
    pub fn on_failure(&self, now: MonoTime, endpoint: &Endpoint, all: &[Endpoint]) -> bool {
        let failures = endpoint.stats.on_failure();
        if failures < self.consecutive_failures {
            return false;
        }
        let ejected = all.iter().filter(|e| e.stats.is_ejected(now)).count() + 1;
        if ejected as f64 > self.max_ejected_share * all.len() as f64 {
            return false;
        }
        let doublings = (failures - self.consecutive_failures).min(3);
        endpoint.stats.eject(now + self.base_duration * (1 << doublings));
        true
    }
}
