//! Chooses the endpoint at which a call is most likely to be answered on time, at the least cost.
//!
//! The cost of an endpoint is the chance that the call would be late there, by what its node has
//! reported and what this node has sent since, and a price for bytes that leave the failure domain.

use std::time::Duration;

use goldcresttally_core::{Deadline, MonoTime, NodeId};

use crate::class_table::class_key;
use crate::endpoint::{Endpoint, Locality};

/// Time assumed of a call while no endpoint has told any, in milliseconds.
const FIRST_WORK_MS: u32 = 100;

/// Shape of the chance of being late over the time that is left: service times of the users'
/// upstreams spread log-normally with a deviation of 0.8, of which this is a close fit.
const LATE_SCALE: f64 = 0.75;
const LATE_POWER: f64 = 2.2;

/// Cost of a wait as long as the target, besides the chance of being late: among endpoints that
/// are all late, the one with the shortest queue is best.
const WAIT_COST: f64 = 0.2;

/// Cost of the last free slot: upstreams slow down when they are nearly full.
const FULL_COST: f64 = 0.08;

/// Cost of an endpoint at which every call fails.
const FAILURE_COST: f64 = 0.7;

/// Largest random part of a cost, which spreads the calls of many nodes over equal endpoints.
const JITTER: f64 = 0.02;

/// Bytes that leave the failure domain for as much as one late answer.
const BYTES_PER_LATE: f64 = 12_000.0;

/// Bytes of headers and framing that a call costs between nodes.
const OVERHEAD_BYTES: f64 = 300.0;

/// Time to an endpoint in another region and back, in milliseconds.
const REMOTE_RTT_MS: u64 = 110;

/// What a call asks of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct PickRequest {
    /// Now.
    pub now: MonoTime,
    /// The call's rank; 0 is the most urgent.
    pub rank: usize,
    /// Time within which answers of its kind are on time.
    pub target: Duration,
    /// Until when this one is on time.
    pub on_time_by: Deadline,
    /// Bytes that request and answer are expected to have.
    pub bytes: u32,
}

/// Options of the choice.
#[derive(Debug, Clone)]
pub struct Picker {
    /// Time for which a fresh endpoint counts as slow.
    pub slow_start: Duration,
}

impl Default for Picker {
    fn default() -> Self {
        Self { slow_start: Duration::from_secs(3) }
    }
}

impl Picker {
    /// Chooses an endpoint for a call that is not in `tried`; `random(n)` returns a number below `n`.
    ///
    /// Returns `None` only when all endpoints were tried. Ejected and starting endpoints are
    /// used when there are no others.
    pub fn pick<'a>(
        &self,
        asked: &PickRequest,
        endpoints: &'a [Endpoint],
        tried: &[NodeId],
        mut random: impl FnMut(usize) -> usize,
    ) -> Option<&'a Endpoint> {
        let fresh = |e: &&Endpoint| !tried.contains(&e.node);
        let healthy = |e: &&Endpoint| fresh(e) && e.ready && !e.stats.is_ejected(asked.now);
        let usual_ms = usual_work_ms(asked, endpoints);
        let mut cheapest = |list: &mut dyn Iterator<Item = &'a Endpoint>| {
            let mut best: Option<(&Endpoint, f64)> = None;
            for endpoint in list {
                let jitter = JITTER * random(1000) as f64 / 1000.0;
                let cost = self.cost(asked, endpoint, usual_ms) + jitter;
                if best.is_none_or(|(_, least)| cost < least) {
                    best = Some((endpoint, cost));
                }
            }
            best.map(|(endpoint, _)| endpoint)
        };
        cheapest(&mut endpoints.iter().filter(healthy))
            .or_else(|| cheapest(&mut endpoints.iter().filter(fresh)))
    }

    fn cost(&self, asked: &PickRequest, endpoint: &Endpoint, usual_ms: u32) -> f64 {
        let observed = &endpoint.stats;
        let mut load = observed.load(asked.now, asked.rank, endpoint.slots);
        if load.turn_ms == 0 {
            load.turn_ms = usual_ms;
        }
        let key = class_key(asked.rank, asked.target.as_millis() as u64);
        let work_ms = f64::from(observed.service_time_ms(key).unwrap_or(usual_ms).max(1));
        let age =
            asked.now.since(endpoint.ready_since).as_secs_f64() / self.slow_start.as_secs_f64();
        let slowness = 2.0 - age.clamp(0.0, 1.0);
        let rtt_ms = if endpoint.locality == Locality::Remote { REMOTE_RTT_MS } else { 0 };
        let wait = load.expected_wait(load.free) + Duration::from_millis(rtt_ms);
        let left = asked.on_time_by.remaining(asked.now).saturating_sub(wait);
        let late = chance_of_late(left.as_secs_f64() * 1000.0, work_ms * slowness);
        let wait_share = wait.as_secs_f64() / asked.target.as_secs_f64().max(0.001);
        let busy = 1.0 - f64::from(load.free.max(0)) / f64::from(load.limit.max(1));
        let bytes = match endpoint.locality {
            Locality::Domain => 0.0,
            Locality::Region | Locality::Remote => f64::from(asked.bytes) + OVERHEAD_BYTES,
        };
        late + WAIT_COST * wait_share
            + FULL_COST * busy * busy
            + FAILURE_COST * observed.failure_rate()
            + bytes / BYTES_PER_LATE
    }
}

/// Returns the chance that a call that usually takes `work_ms` takes longer than `left_ms`.
fn chance_of_late(left_ms: f64, work_ms: f64) -> f64 {
    1.0 / (1.0 + (left_ms / (LATE_SCALE * work_ms)).powf(LATE_POWER))
}

/// Returns the mean of what the endpoints have told of calls of this class.
fn usual_work_ms(asked: &PickRequest, endpoints: &[Endpoint]) -> u32 {
    let key = class_key(asked.rank, asked.target.as_millis() as u64);
    let told = endpoints.iter().filter_map(|e| e.stats.service_time_ms(key));
    let (sum, count) = told.fold((0, 0), |(sum, count), ms| (sum + u64::from(ms), count + 1));
    sum.checked_div(count).map_or(FIRST_WORK_MS, |mean| mean as u32)
}
