//! Asks the node of an attempt for room on its link before a large body is sent to it.

use goldcresttally_routing::link_probe::probe_delay;
use http::{Request, Response};
use hyper::body::Incoming;

use super::call::{Attempt, Call};
use super::feedback::InFlightGuard;
use crate::body::{CallBody, ReplayableBody, full};
use crate::errors::{CallError, Reason};
use crate::headers;
use crate::link::LinkError;

/// Length from which a body is sent only after its receiver has granted it room, in bytes.
const RESERVE_FROM_BYTES: u64 = 16 * 1024;

/// Assumed length of a body that is longer than the buffer and does not state its length, in bytes.
const UNKNOWN_LENGTH_BYTES: u64 = 128 * 1024;

impl Call {
    /// Waits until the body may be sent to the attempt's node; returns whether that node has
    /// granted it room. Small bodies, and those for this node's own upstreams, need none.
    ///
    /// Fails with the verdict `NotRun` if the body cannot arrive there in time.
    pub(super) async fn reserve(
        &self,
        attempt: &Attempt,
        body: &ReplayableBody<CallBody>,
        in_flight: &InFlightGuard,
    ) -> Result<bool, CallError> {
        let state = &self.entry.state;
        let bytes = self.body_bytes(body);
        if bytes < RESERVE_FROM_BYTES || attempt.endpoint.node == state.identity.node {
            return Ok(false);
        }
        let mut req = Request::new(full(""));
        *req.uri_mut() = http::Uri::from_static("http://node/");
        let map = req.headers_mut();
        headers::set(map, headers::OP, "reserve");
        headers::set_unindexed(map, headers::BODY_BYTES, &bytes);
        if let Some((name, value)) = state.conventions.id_header(&self.parts.headers) {
            map.insert(name, value);
        }
        self.set_class_headers(map);
        self.entry.set_attempt_headers(map, attempt, self.deadline);
        let delay = probe_delay(self.route.target);
        let links = &self.entry.links;
        let peer = attempt.endpoint.peer;
        let sent = links.send_detecting_silence(peer, req, self.deadline, false, delay).await;
        let response = sent.map_err(|error| CallError::not_run(reason_of(error)))?;
        granted(&response, in_flight, self)
    }

    /// Returns the length of the body as far as it is known.
    fn body_bytes(&self, body: &ReplayableBody<CallBody>) -> u64 {
        let stated = headers::parse(&self.parts.headers, &http::header::CONTENT_LENGTH);
        match body.is_whole() {
            true => body.start().len() as u64,
            false => stated.unwrap_or(UNKNOWN_LENGTH_BYTES),
        }
    }
}

fn granted(
    response: &Response<Incoming>,
    in_flight: &InFlightGuard,
    call: &Call,
) -> Result<bool, CallError> {
    in_flight.report(&call.entry.state, response.headers());
    match CallError::from_headers(response.headers()) {
        None => Ok(true),
        // A node of an earlier release does not know the message.
        Some(error) if error.reason == Reason::BadRequest => Ok(false),
        Some(error) => Err(error),
    }
}

/// Returns why the request for room got no answer.
fn reason_of(error: LinkError) -> Reason {
    match error {
        LinkError::NotSent => Reason::Unreachable,
        LinkError::Lost => Reason::ConnectionLost,
        LinkError::TimedOut => Reason::Deadline,
        LinkError::Silent(_) => Reason::Silent,
    }
}
