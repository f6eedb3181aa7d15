//! Feeds the outcome of each attempt back into endpoint selection, outlier ejection and throttling.

use std::time::Duration;

use goldcresttally_core::{MonoTime, Verdict};
use goldcresttally_routing::{Endpoint, PickRequest};
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, Response, StatusCode};
use hyper::body::Body;

use super::call::{Attempt, Call};
use crate::body::CallBody;
use crate::errors::{CallError, Reason};
use crate::headers;
use crate::state::NodeState;

/// Counts an attempt as in flight at its endpoint until dropped.
#[derive(Debug)]
pub(super) struct InFlightGuard {
    endpoint: Endpoint,
    rank: usize,
    target: Duration,
}

impl InFlightGuard {
    pub fn start(endpoint: Endpoint, rank: usize, target: Duration) -> Self {
        endpoint.stats.call_started(rank);
        Self { endpoint, rank, target }
    }

    /// Records the load that the peer reported in its response headers, and what its upstream has
    /// said about itself.
    pub fn report(&self, state: &NodeState, map: &HeaderMap) {
        if let Some(load) = headers::parse(map, &headers::LOAD) {
            self.endpoint.stats.record_load(state.clock.now(), self.rank, self.target, load);
        }
        if let Some(notice) = headers::parse(map, &headers::UPSTREAM_NOTICE) {
            state.notices.record(state.clock.now(), self.endpoint.node, notice);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.endpoint.stats.call_ended(self.rank);
    }
}

impl Call {
    /// Records the outcome of an attempt. If it was `suspected`, its failure was recorded when the
    /// suspicion arose.
    pub(super) fn record_outcome(
        &self,
        attempt: &Attempt,
        result: &Result<Response<CallBody>, CallError>,
        suspected: bool,
    ) {
        let stats = &attempt.endpoint.stats;
        match result {
            Ok(response) => {
                match response.status() {
                    StatusCode::INTERNAL_SERVER_ERROR | StatusCode::BAD_GATEWAY => {
                        stats.record_outcome(true);
                    }
                    _ => stats.on_answer(),
                }
                self.record_size(response);
                if let Some(throttle) = self.throttle() {
                    throttle.accepted();
                }
            }
            // An upstream's node never sends it more calls than it has slots, so an upstream that
            // sheds calls nevertheless is failing.
            Err(error) if error.reason == Reason::Shed => stats.record_outcome(true),
            Err(error) if is_overload(error) => {
                if let Some(throttle) = self.throttle() {
                    throttle.refused();
                }
            }
            Err(_) if suspected => {}
            Err(error) => self.record_failure(&attempt.endpoint, error),
        }
    }

    /// Ejects an endpoint for a while if the failure indicates a fault of it.
    pub(super) fn record_failure(&self, endpoint: &Endpoint, error: &CallError) {
        let now = self.entry.state.clock.now();
        let ejection = &self.entry.ejection;
        let ejected = match error.reason {
            Reason::Unreachable => {
                ejection.on_unreachable(now, endpoint);
                true
            }
            Reason::Silent => {
                ejection.on_silent(now, endpoint);
                true
            }
            _ if is_endpoint_failure(error) => {
                let endpoints = self.entry.state.endpoints();
                let all = endpoints.get(&self.service.name);
                ejection.on_failure(now, endpoint, all.map_or(&[][..], |all| all))
            }
            _ => false,
        };
        if ejected {
            self.entry.state.counters.ejections.increment();
        }
    }

    /// Adds the size of a call and its response to the running average of its class.
    fn record_size(&self, response: &Response<CallBody>) {
        let answer = response.body().size_hint().lower();
        let request = headers::parse::<u64>(&self.parts.headers, &CONTENT_LENGTH).unwrap_or(0);
        let bytes = (answer + request).min(u32::MAX.into()) as u32;
        if let Some(limits) = self.limits() {
            limits.bytes.record_sample(self.class_key(), bytes);
        }
    }

    /// Returns a guard that counts an attempt as in flight.
    pub(super) fn track_in_flight(&self, attempt: &Attempt) -> InFlightGuard {
        InFlightGuard::start(attempt.endpoint.clone(), self.rank.index, self.route.target)
    }

    /// Returns the properties of the call that endpoint selection takes into account.
    pub(super) fn pick_request(&self, now: MonoTime) -> PickRequest {
        let bytes = self.limits().and_then(|limits| limits.bytes.get(self.class_key()));
        PickRequest {
            now,
            rank: self.rank.index,
            target: self.route.target,
            on_time_by: self.on_time_by,
            bytes: bytes.unwrap_or(0),
        }
    }
}

/// Returns whether a call was refused because of the upstream's load.
pub(super) fn is_overload(error: &CallError) -> bool {
    let load = matches!(error.reason, Reason::Overloaded | Reason::Deadline);
    load && error.verdict == Verdict::NotRun
}

/// Returns whether a failure indicates a fault of the endpoint rather than its load.
fn is_endpoint_failure(error: &CallError) -> bool {
    match error.reason {
        Reason::Unreachable
        | Reason::ConnectionLost
        | Reason::StaleGeneration
        | Reason::Draining
        | Reason::Closed
        | Reason::NoEndpoint => true,
        Reason::Deadline => error.verdict != Verdict::NotRun,
        _ => false,
    }
}
