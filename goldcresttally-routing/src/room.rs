//! Under overload control: whether a call finds room in time at any endpoint of its service, whether it
//! is attempted once more after a refusal, and when a refused caller may come back.
//!
//! All answers come from the load reports and from the calls that this node has in flight.

use std::time::Duration;

use crate::attempts::CallAttempts;
use crate::class_table::class_key;
use crate::endpoint::Endpoint;
use crate::picker::{PickRequest, Picker, mean_service_time};

/// Maximum number of attempts of a call that is refused for lack of room: each further one costs a
/// round trip between nodes.
const MAX_ATTEMPTS: usize = 3;

/// Service time to allow for in the wait of a further attempt, as a multiple of the average, as in
/// the admission of the upstream's node.
const SERVICE_TIME_MARGIN: f64 = 1.6;

/// Share of its slack that a call may be expected to wait in a further attempt: every second wait is
/// longer than expected.
const FURTHER_WAIT_SHARE: f64 = 0.5;

/// Maximum age of a report by which a nested call is attempted again, in milliseconds. A nested call
/// that fails wastes the run that made it.
const NESTED_REPORT_AGE_MS: u64 = 300;

/// Minimum time after which a refused caller may come back, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 40;

/// Maximum time after which a refused caller may come back, in milliseconds. Beyond it, reports say
/// nothing.
const MAX_RETRY_AFTER_MS: u64 = 2000;

/// What is known of the room for one call.
#[derive(Debug, Clone, Copy)]
pub struct Room<'a> {
    picker: &'a Picker,
    request: PickRequest,
    endpoints: &'a [Endpoint],
    key: u32,
}

impl<'a> Room<'a> {
    /// Returns the room for a call at the endpoints of its service.
    pub fn new(picker: &'a Picker, request: PickRequest, endpoints: &'a [Endpoint]) -> Self {
        let key = class_key(request.rank, request.target.as_millis() as u64);
        Self { picker, request, endpoints, key }
    }

    /// Returns whether calls of this class are nested calls, by the reports.
    pub fn is_nested(&self) -> bool {
        self.endpoints.iter().any(|e| e.stats.is_nested(self.key))
    }

    /// Returns whether the call can start early enough to be on time at one endpoint at least.
    ///
    /// An endpoint without a recent report is assumed to have the slots that it announced, less this
    /// node's own calls. A nested call is always tried, because its failure wastes a run, and so is
    /// a call that meets no queue: even a late answer is worth something if there is room.
    pub fn is_reachable(&self) -> bool {
        let Some(work) = mean_service_time(&self.request, self.endpoints) else { return true };
        let slack = self.request.on_time_by.remaining(self.request.now).saturating_sub(work);
        let mut waits = self.usable().map(|e| self.wait_at(e)).peekable();
        waits.peek().is_none()
            || waits.any(|wait| wait.is_zero() || wait <= slack)
            || self.is_nested()
    }

    /// Returns whether a recent report tells of a free slot, less the calls that this node has started
    /// since. Then a call is not refused because of refusals before it.
    pub fn has_free_slot(&self) -> bool {
        let PickRequest { now, rank, .. } = self.request;
        self.usable().any(|e| {
            let nested = e.stats.is_nested(self.key);
            e.stats.reported_at(now, rank, nested).is_some()
                && e.stats.load(now, rank, nested, e.slots).free > 0
        })
    }

    /// Returns where to attempt the call next after it was refused for lack of room; `None` if it is
    /// not to be attempted again. An endpoint is attempted only if the call is expected to start there
    /// early enough to be on time: by the estimate of even load, or else by a recent report. Under a
    /// light load most reports are old, and without the estimate calls would be refused beside idle
    /// upstreams.
    pub fn another_attempt(&self, tries: &CallAttempts) -> Option<&'a Endpoint> {
        if tries.tried().len() >= MAX_ATTEMPTS {
            return None;
        }
        let PickRequest { now, rank, on_time_by, .. } = self.request;
        let nested = self.is_nested();
        let work = mean_service_time(&self.request, self.endpoints).unwrap_or_default();
        let slack = on_time_by.remaining(now).saturating_sub(work.mul_f64(SERVICE_TIME_MARGIN));
        let max_wait = slack.mul_f64(FURTHER_WAIT_SHARE);
        let max_age = nested.then_some(Duration::from_millis(NESTED_REPORT_AGE_MS));
        let mean = self.picker.mean_load(&self.request, nested, self.endpoints);
        let has_room = |e: &&Endpoint| {
            if let Some(mean) = mean {
                let mut load = e.stats.load(now, rank, nested, e.slots);
                if load.turn_ms == 0 {
                    // Nothing was heard from there yet.
                    load.turn_ms = work.as_millis() as u32;
                }
                let free = mean.expected_free(&self.request, nested, e);
                return load.expected_wait(free) <= max_wait;
            }
            let reported_at = e.stats.reported_at(now, rank, nested);
            let recent =
                reported_at.is_some_and(|at| max_age.is_none_or(|max| now.since(at) <= max));
            recent && self.wait_at(e) <= max_wait
        };
        let candidates = self.usable().filter(|e| !tries.tried().contains(&e.node));
        self.picker.cheapest(&self.request, self.endpoints, candidates.filter(has_room))
    }

    /// Returns the time after which a refused caller may come back: when the first of the endpoints
    /// with a recent report is expected to have room. `random` is uniform in `0.0..1.0` and spreads
    /// those refused together over as long again.
    pub fn retry_after(&self, random: f64) -> Duration {
        let PickRequest { now, rank, .. } = self.request;
        let nested = self.is_nested();
        let reported = self.usable().filter(|e| e.stats.reported_at(now, rank, nested).is_some());
        let first = reported.map(|e| self.wait_at(e)).min().unwrap_or_default();
        let (min, max) = (MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        first.clamp(Duration::from_millis(min), Duration::from_millis(max)).mul_f64(1.0 + random)
    }

    fn usable(&self) -> impl Iterator<Item = &'a Endpoint> {
        let now = self.request.now;
        self.endpoints.iter().filter(move |e| e.ready && !e.stats.is_ejected(now))
    }

    fn wait_at(&self, endpoint: &Endpoint) -> Duration {
        let PickRequest { now, rank, .. } = self.request;
        let nested = endpoint.stats.is_nested(self.key);
        let load = endpoint.stats.load(now, rank, nested, endpoint.slots);
        load.expected_wait(load.free.into())
    }
}
