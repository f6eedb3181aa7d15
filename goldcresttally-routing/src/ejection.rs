//! Ejection: temporarily excludes failing endpoints from selection, up to a share of them.

use std::time::Duration;

use goldcresttally_core::MonoTime;

use crate::endpoint::Endpoint;

/// Options and decisions of ejection.
#[derive(Debug, Clone)]
pub struct Ejection {
    /// Consecutive failures after which an endpoint is ejected.
    pub consecutive_failures: u32,
    /// Duration of the first ejection; doubles with each further failure, up to 8 times this.
    pub base_duration: Duration,
    /// Maximum share of the endpoints that failures may eject at the same time.
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
    /// Ejects an endpoint to which no connection could be opened.
    ///
    /// Unlike a failure, this is no sign of overload: however many endpoints are unreachable, calls
    /// do better at the others, so `max_ejected_share` does not apply.
    pub fn on_unreachable(&self, now: MonoTime, endpoint: &Endpoint) {
        endpoint.stats.eject(now + self.base_duration);
    }

    /// Ejects an endpoint whose node does not answer probes. The duration doubles each time, up to
    /// 8 times the base, until the node answers again.
    ///
    /// This needs neither repeated failures nor a free share, because each call sent to such a node
    /// loses much of its time.
    pub fn on_silent(&self, now: MonoTime, endpoint: &Endpoint) {
        let doublings = endpoint.stats.on_silent(now).min(3);
        endpoint.stats.eject(now + self.base_duration * (1 << doublings));
    }

    /// Records a failure of `endpoint`, which is one of `all`; returns whether it was ejected.
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
