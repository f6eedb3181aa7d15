//! Selects the endpoint with the lowest expected cost for a call.
//!
//! The cost of an endpoint is mainly the probability that the call would be late there, from the
//! load that its node has reported and the calls that this node has started since, plus a price for
//! bytes that leave the failure domain. A cost of 1 is that of a late answer.

use std::time::Duration;

use goldcresttally_core::{Deadline, MonoTime, NodeId};

use crate::class_table::class_key;
use crate::endpoint::{Endpoint, Locality};
use crate::load_estimate::MeanLoad;

/// Service time assumed for a class until an endpoint has reported one, in milliseconds.
const DEFAULT_SERVICE_TIME_MS: u32 = 100;

/// Scale and exponent of the log-logistic curve that gives the probability of being late. It is a
/// close fit to the service times of the users' upstreams, which are log-normal with a standard
/// deviation of 0.8.
const LATE_SCALE: f64 = 0.75;
const LATE_EXPONENT: f64 = 2.2;

/// Cost of a delay before the start as long as the target, in addition to the probability of being
/// late. It makes the shortest queue win among endpoints that would all be late.
const WAIT_COST: f64 = 0.2;

/// Cost of an endpoint without free slots; upstreams slow down when they are nearly full.
const SATURATION_COST: f64 = 0.08;

/// Cost of an endpoint whose failure rate is 1.
const FAILURE_COST: f64 = 0.7;

/// Maximum random part of a cost, which spreads the calls of many nodes over equal endpoints.
const MAX_JITTER: f64 = 0.02;

/// The same for even load, where the expected load already differs from node to node.
const MAX_EVEN_JITTER: f64 = 0.005;

/// Bytes sent out of the failure domain that cost as much as one late answer.
const BYTES_PER_LATE_ANSWER: f64 = 12_000.0;

/// Maximum cost of bytes sent out of the failure domain: below that of a late answer.
const MAX_BYTES_COST: f64 = 0.6;

/// Length from which the bytes of a call have to wait for room on the link of the endpoint's VM.
const LARGE_BODY_BYTES: u32 = 16 * 1024;

/// Bytes of headers and framing per call between nodes.
const CALL_OVERHEAD_BYTES: f64 = 300.0;

/// Assumed round-trip time to another region, in milliseconds.
const REMOTE_RTT_MS: u64 = 110;

/// The properties of a call that determine the choice of its endpoint.
#[derive(Debug, Clone, Copy)]
pub struct PickRequest {
    /// Current time.
    pub now: MonoTime,
    /// The call's rank; 0 is the most urgent.
    pub rank: usize,
    /// Time within which calls of this class are to be answered.
    pub target: Duration,
    /// Time until which an answer to this call is on time.
    pub on_time_by: Deadline,
    /// Expected size of the request and the answer together, in bytes.
    pub bytes: u32,
}

/// Selects endpoints; holds the options of the selection.
#[derive(Debug, Clone)]
pub struct Picker {
    /// Time over which the assumed service time of a newly ready endpoint falls from twice the
    /// usual one to the usual one.
    pub slow_start: Duration,
    /// Whether old reports give way to the mean of all, so that nodes that choose by the same
    /// reports load the endpoints evenly.
    pub even_load: bool,
}

impl Default for Picker {
    fn default() -> Self {
        Self { slow_start: Duration::from_secs(3), even_load: false }
    }
}

impl Picker {
    /// Selects an endpoint that is not in `tried`; `random(n)` returns a number below `n`.
    ///
    /// Falls back to ejected and starting endpoints when there are no others. Returns `None` when
    /// all endpoints were tried.
    pub fn pick<'a>(
        &self,
        request: &PickRequest,
        endpoints: &'a [Endpoint],
        tried: &[NodeId],
        mut random: impl FnMut(usize) -> usize,
    ) -> Option<&'a Endpoint> {
        let untried = |e: &&Endpoint| !tried.contains(&e.node);
        let healthy = |e: &&Endpoint| untried(e) && e.ready && !e.stats.is_ejected(request.now);
        let expected = Expected::new(self, request, endpoints);
        let max_jitter = if self.even_load { MAX_EVEN_JITTER } else { MAX_JITTER };
        let trial = draw_trial(endpoints, &mut random);
        let in_group = |e: &&Endpoint| trial.is_none_or(|trial| (e.trial_milli > 0) == trial);
        let mut cheapest = |list: &mut dyn Iterator<Item = &'a Endpoint>| {
            let mut best: Option<(&Endpoint, f64)> = None;
            for endpoint in list {
                let jitter = max_jitter * random(1000) as f64 / 1000.0;
                let cost = self.cost(request, endpoint, &expected) + jitter;
                if best.is_none_or(|(_, lowest)| cost < lowest) {
                    best = Some((endpoint, cost));
                }
            }
            best.map(|(endpoint, _)| endpoint)
        };
        cheapest(&mut endpoints.iter().filter(healthy).filter(in_group))
            .or_else(|| trial.and_then(|_| cheapest(&mut endpoints.iter().filter(healthy))))
            .or_else(|| cheapest(&mut endpoints.iter().filter(untried)))
    }

    /// Returns the mean load that calls, `nested` or not, meet at the endpoints; `None` without even
    /// load or reports.
    pub(crate) fn mean_load(
        &self,
        request: &PickRequest,
        nested: bool,
        endpoints: &[Endpoint],
    ) -> Option<MeanLoad> {
        self.even_load.then(|| MeanLoad::of(request, nested, endpoints)).flatten()
    }

    /// Selects the cheapest of the `candidates`, which are among the `endpoints` of a service.
    pub fn cheapest<'a>(
        &self,
        request: &PickRequest,
        endpoints: &[Endpoint],
        candidates: impl Iterator<Item = &'a Endpoint>,
    ) -> Option<&'a Endpoint> {
        let expected = Expected::new(self, request, endpoints);
        let costs = candidates.map(|e| (e, self.cost(request, e, &expected)));
        costs.min_by(|(_, a), (_, b)| a.total_cmp(b)).map(|(endpoint, _)| endpoint)
    }

    fn cost(&self, request: &PickRequest, endpoint: &Endpoint, expected: &Expected) -> f64 {
        let mean_ms = expected.service_ms;
        let stats = &endpoint.stats;
        let key = class_key(request.rank, request.target.as_millis() as u64);
        let nested = stats.is_nested(key);
        let mut load = stats.load(request.now, request.rank, nested, endpoint.slots);
        if load.turn_ms == 0 {
            load.turn_ms = mean_ms;
        }
        let service_ms = f64::from(stats.service_time_ms(key).unwrap_or(mean_ms).max(1));
        let age =
            request.now.since(endpoint.ready_since).as_secs_f64() / self.slow_start.as_secs_f64();
        let slow_start_factor = 2.0 - age.clamp(0.0, 1.0);
        let rtt_ms = if endpoint.locality == Locality::Remote { REMOTE_RTT_MS } else { 0 };
        let transfer = transfer_time(request, endpoint, Duration::from_millis(load.link_ms.into()));
        let free = match expected.load {
            Some(mean) => mean.expected_free(request, nested, endpoint),
            None => f64::from(load.free),
        };
        let start_delay = load.expected_wait(free) + Duration::from_millis(rtt_ms) + transfer;
        let time_left = request.on_time_by.remaining(request.now).saturating_sub(start_delay);
        let late =
            probability_late(time_left.as_secs_f64() * 1000.0, service_ms * slow_start_factor);
        let wait_share = start_delay.as_secs_f64() / request.target.as_secs_f64().max(0.001);
        let utilization = 1.0 - free.max(0.0) / f64::from(load.limit.max(1));
        let bytes = match endpoint.locality {
            Locality::Vm | Locality::Domain => 0.0,
            Locality::Region | Locality::Remote => f64::from(request.bytes) + CALL_OVERHEAD_BYTES,
        };
        late + WAIT_COST * wait_share
            + SATURATION_COST * utilization * utilization
            + FAILURE_COST * stats.failure_rate()
            + (bytes / BYTES_PER_LATE_ANSWER).min(MAX_BYTES_COST)
    }
}

/// What a call is expected to meet at an endpoint of its service of which nothing else is known.
struct Expected {
    /// Service time of its class, in milliseconds.
    service_ms: u32,
    /// Load, where old reports give way to it.
    load: Option<MeanLoad>,
}

impl Expected {
    fn new(picker: &Picker, request: &PickRequest, endpoints: &[Endpoint]) -> Self {
        let service_ms = mean_service_time_ms(request, endpoints);
        let key = class_key(request.rank, request.target.as_millis() as u64);
        let nested = endpoints.iter().any(|e| e.stats.is_nested(key));
        Self { service_ms, load: picker.mean_load(request, nested, endpoints) }
    }
}

/// Draws whether a call goes to the upstreams of a release under test, so that they get their share
/// of the calls whatever their cost; `None` if there are none.
fn draw_trial(endpoints: &[Endpoint], random: &mut impl FnMut(usize) -> usize) -> Option<bool> {
    let share = endpoints.iter().filter(|e| e.ready).map(|e| e.trial_milli).max()?;
    (share > 0).then(|| random(1000) < usize::from(share))
}

/// Returns the time after which a large body has arrived at the endpoint, where other bodies are
/// on their way for `wait`.
fn transfer_time(request: &PickRequest, endpoint: &Endpoint, wait: Duration) -> Duration {
    if request.bytes < LARGE_BODY_BYTES || endpoint.locality == Locality::Vm {
        return Duration::ZERO;
    }
    match endpoint.link.bytes_per_s() {
        0 => wait,
        rate => wait + Duration::from_secs_f64(f64::from(request.bytes) / rate as f64),
    }
}

/// Returns the probability that a call with an average service time of `average_ms` takes
/// longer than `time_left_ms`.
fn probability_late(time_left_ms: f64, average_ms: f64) -> f64 {
    1.0 / (1.0 + (time_left_ms / (LATE_SCALE * average_ms)).powf(LATE_EXPONENT))
}

/// Returns the mean of the service times that the endpoints have reported for this call class;
/// `None` if none has.
pub(crate) fn mean_service_time(request: &PickRequest, endpoints: &[Endpoint]) -> Option<Duration> {
    let key = class_key(request.rank, request.target.as_millis() as u64);
    let reported = endpoints.iter().filter_map(|e| e.stats.service_time_ms(key));
    let (sum, count) = reported.fold((0, 0), |(sum, count), ms| (sum + u64::from(ms), count + 1));
    sum.checked_div(count).map(Duration::from_millis)
}

/// Returns the mean of the service times that the endpoints have reported for this call class, or
/// the default if none has.
fn mean_service_time_ms(request: &PickRequest, endpoints: &[Endpoint]) -> u32 {
    let mean = mean_service_time(request, endpoints);
    mean.map_or(DEFAULT_SERVICE_TIME_MS, |mean| mean.as_millis() as u32)
}
