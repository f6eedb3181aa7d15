//! What the entry learns from each attempt about the endpoint that ran it.

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

/// Counts an attempt as in flight until it is dropped.
#[derive(Debug)]
pub(super) struct InFlight {
    endpoint: Endpoint,
    rank: usize,
    target: Duration,
}

impl InFlight {
    pub fn start(endpoint: Endpoint, rank: usize, target: Duration) -> Self {
        endpoint.stats.call_started(rank);
        Self { endpoint, rank, target }
    }

    /// Takes the load that the peer reported.
    pub fn report(&self, state: &NodeState, map: &HeaderMap) {
        if let Some(load) = headers::parse(map, &headers::LOAD) {
            self.endpoint.stats.record_load(state.clock.now(), self.rank, self.target, load);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.endpoint.stats.call_ended(self.rank);
    }
}

impl Call {
    /// Notes how an attempt ended; a failure of one that was `doubted` was noted then.
    pub(super) fn observe(
        &self,
        attempt: &Attempt,
        result: &Result<Response<CallBody>, CallError>,
        doubted: bool,
    ) {
        let observed = &attempt.endpoint.stats;
        match result {
            Ok(response) => {
                match response.status() {
                    StatusCode::INTERNAL_SERVER_ERROR | StatusCode::BAD_GATEWAY => {
                        observed.record_outcome(true);
                    }
                    _ => observed.on_answer(),
                }
                self.note_size(response);
                if let Some(throttle) = self.throttle() {
                    throttle.accepted();
                }
            }
            // The node beside it sends an upstream no more than it runs at once, so one that turns
            // calls away all the same is failing.
            Err(error) if error.reason == Reason::Shed => observed.record_outcome(true),
            Err(error) if is_overload(error) => {
                if let Some(throttle) = self.throttle() {
                    throttle.refused();
                }
            }
            Err(_) if doubted => {}
            Err(error) => self.observe_failure(&attempt.endpoint, error),
        }
    }

    /// Leaves an endpoint out for a while where a failure speaks against it.
    pub(super) fn observe_failure(&self, endpoint: &Endpoint, error: &CallError) {
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

    /// Takes the size of a call and its answer into the average of its class.
    fn note_size(&self, response: &Response<CallBody>) {
        let answer = response.body().size_hint().lower();
        let request = headers::parse::<u64>(&self.parts.headers, &CONTENT_LENGTH).unwrap_or(0);
        let bytes = (answer + request).min(u32::MAX.into()) as u32;
        if let Some(limits) = self.limits() {
            limits.bytes.record_sample(self.class_key(), bytes);
        }
    }

    /// Counts an attempt as in flight.
    pub(super) fn in_flight(&self, attempt: &Attempt) -> InFlight {
        InFlight::start(attempt.endpoint.clone(), self.route.rank.index, self.route.target)
    }

    /// Says what the call asks of an endpoint.
    pub(super) fn asked(&self, now: MonoTime) -> PickRequest {
        let bytes = self.limits().and_then(|limits| limits.bytes.get(self.class_key()));
        PickRequest {
            now,
            rank: self.route.rank.index,
            target: self.route.target,
            on_time_by: self.on_time_by,
            bytes: bytes.unwrap_or(0),
        }
    }
}

/// Tells whether the upstream refused a call because of its load.
fn is_overload(error: &CallError) -> bool {
    let load = matches!(error.reason, Reason::Overloaded | Reason::Deadline);
    load && error.verdict == Verdict::NotRun
}

/// Tells whether a failure says something against the endpoint rather than about its load.
fn is_endpoint_failure(error: &CallError) -> bool {
    match error.reason {
        Reason::Unreachable
        | Reason::ConnectionLost
        | Reason::StaleGeneration
        | Reason::Draining
        | Reason::NoEndpoint => true,
        Reason::Deadline => error.verdict != Verdict::NotRun,
        _ => false,
    }
}
