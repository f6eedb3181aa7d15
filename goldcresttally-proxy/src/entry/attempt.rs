//! One attempt: sends the call to its node, and asks that node when the connection breaks.

use std::sync::Arc;

use goldcresttally_core::{Deadline, NodeId};
use goldcresttally_routing::link_probe::probe_delay;
use http::uri::{Authority, PathAndQuery, Scheme};
use http::{Request, Response, Uri};
use http_body_util::BodyExt;

use super::Entry;
use super::call::{Attempt, Call};
use super::keyed::KeptBody;
use super::observe::InFlight;
use super::race::{Doubt, Race};
use crate::body::{BodyWithGuard, CallBody, MAX_BUFFERED_BODY_BYTES, ReplayableBody, boxed, full};
use crate::call_log::CallEvent;
use crate::errors::{CallError, Reason};
use crate::headers;
use crate::link::{LinkError, SentLink};

/// The node that ran the attempt whose answer this is.
#[derive(Debug, Clone, Copy)]
pub(super) struct RanAt(pub NodeId);

/// Cancels an attempt that nobody waits for any more before it has ended.
struct CancelGuard<'a> {
    entry: &'a Arc<Entry>,
    race: &'a Race,
    attempt: Option<Attempt>,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            let reason = if self.race.is_won() {
                Reason::Superseded
            } else if self.entry.state.is_aborting() {
                Reason::Stopped
            } else {
                Reason::CallerGone
            };
            let entry = Arc::clone(self.entry);
            self.entry.tasks.spawn(async move { entry.cancel(&attempt, reason).await });
        }
    }
}

impl Call {
    /// Makes one attempt of a race; `keyed` makes its node remember it for longer.
    pub async fn attempt(
        &self,
        attempt: &Attempt,
        body: &ReplayableBody<CallBody>,
        keyed: bool,
        race: &Race,
    ) -> Result<Response<CallBody>, CallError> {
        let entry = &self.entry;
        let in_flight = self.in_flight(attempt);
        let mut guard = CancelGuard { entry, race, attempt: Some(attempt.clone()) };
        let req = self.request(attempt, body, keyed);
        let result = match attempt.endpoint.node == entry.state.identity.node {
            true => Ok(entry.peer.answer(req).await),
            false => self.send(attempt, req, race).await,
        };
        let result = match result {
            Ok(response) => self.read_answer(attempt, response, in_flight, race).await,
            Err(error) => Err(error),
        };
        guard.attempt = None;
        let result = result.map(|mut response| {
            response.extensions_mut().insert(RanAt(attempt.endpoint.node));
            response
        });
        let doubted = race.end(attempt.id);
        self.observe(attempt, &result, doubted);
        result
    }

    async fn send(
        &self,
        attempt: &Attempt,
        req: Request<CallBody>,
        race: &Race,
    ) -> Result<Response<CallBody>, CallError> {
        let probe = !self.route.idempotent;
        // The peer ends the attempt at the deadline and knows whether it ran.
        let limit = self.verdict_by();
        let check = probe_delay(self.route.target);
        let peer = attempt.endpoint.peer;
        let links = &self.entry.links;
        let carrier = SentLink::default();
        let mut sent = std::pin::pin!(links.send_tracked(peer, req, limit, probe, &carrier));
        let sent = tokio::select! {
            sent = &mut sent => sent,
            silence = links.wait_until_silent(peer, &carrier, check) => {
                self.note(CallEvent::Suspected { node: attempt.endpoint.node, silence });
                self.doubt(attempt, Reason::Silent, race);
                // A question brings the answer a second time, over a link that may be full; an
                // idempotent call may be made elsewhere meanwhile.
                let asks = !self.route.idempotent;
                tokio::select! {
                    sent = &mut sent => sent,
                    outcome = self.outcome(attempt), if asks => return outcome,
                }
            }
        };
        match sent {
            Ok(response) => Ok(response.map(boxed)),
            Err(LinkError::NotSent) => Err(CallError::not_run(Reason::Unreachable)),
            // A link that is silent was found so above.
            Err(LinkError::TimedOut | LinkError::Silent(_)) => {
                self.give_up(attempt, Reason::Deadline);
                Err(CallError::may_have_run(Reason::Deadline))
            }
            Err(LinkError::Lost) => {
                self.doubt(attempt, Reason::ConnectionLost, race);
                self.settle(attempt).await
            }
        }
    }

    /// Has other calls avoid the node of an attempt, and lets another attempt be made beside it.
    fn doubt(&self, attempt: &Attempt, reason: Reason, race: &Race) {
        let doubt = Doubt { attempt: attempt.id, node: attempt.endpoint.node, reason };
        if race.doubt(doubt) {
            self.observe_failure(&attempt.endpoint, &CallError::may_have_run(reason));
        }
    }

    /// Tells the peer that nobody waits for an attempt any more.
    fn give_up(&self, attempt: &Attempt, reason: Reason) {
        let (entry, attempt) = (Arc::clone(&self.entry), attempt.clone());
        self.entry.tasks.spawn(async move { entry.cancel(&attempt, reason).await });
    }

    /// Tells a refusal from an answer, and reads a small answer to its end.
    async fn read_answer(
        &self,
        attempt: &Attempt,
        response: Response<CallBody>,
        in_flight: InFlight,
        race: &Race,
    ) -> Result<Response<CallBody>, CallError> {
        let (mut parts, body) = response.into_parts();
        in_flight.report(&self.entry.state, &parts.headers);
        if let Some(error) = CallError::from_headers(&parts.headers) {
            return Err(error);
        }
        headers::strip_internal(&mut parts.headers);
        let length = headers::parse::<usize>(&parts.headers, &http::header::CONTENT_LENGTH);
        if length.is_none_or(|n| n > MAX_BUFFERED_BODY_BYTES) {
            let body = boxed(BodyWithGuard::new(body, in_flight));
            return Ok(Response::from_parts(parts, body));
        }
        // A small answer whose connection breaks half-way can still be had from the ledger.
        match tokio::time::timeout_at(self.timer(), body.collect()).await {
            Ok(Ok(body)) => {
                let body = body.to_bytes();
                parts.extensions.insert(KeptBody(body.clone()));
                Ok(Response::from_parts(parts, full(body)))
            }
            Ok(Err(_)) => {
                self.doubt(attempt, Reason::ConnectionLost, race);
                self.settle(attempt).await
            }
            Err(_) => Err(CallError::ran(Reason::Deadline)),
        }
    }

    fn request(
        &self,
        attempt: &Attempt,
        body: &ReplayableBody<CallBody>,
        keyed: bool,
    ) -> Request<CallBody> {
        let mut req = Request::new(body.body());
        *req.method_mut() = self.parts.method.clone();
        *req.uri_mut() = self.uri();
        *req.headers_mut() = self.parts.headers.clone();
        let map = req.headers_mut();
        map.remove(http::header::HOST);
        headers::set(map, headers::OP, "call");
        headers::set(map, headers::SERVICE, &self.service.name);
        headers::set(map, headers::RANK, &self.route.rank.name);
        headers::set(map, headers::TARGET_MS, &self.route.target.as_millis());
        let on_time = self.on_time_by.remaining(self.entry.state.clock.now()).as_millis();
        headers::set_unindexed(map, headers::ON_TIME_MS, &on_time);
        if keyed {
            headers::set(map, headers::KEYED, "true");
        }
        self.entry.address(map, attempt, self.deadline);
        req
    }

    fn uri(&self) -> Uri {
        let mut parts = http::uri::Parts::default();
        parts.scheme = Some(Scheme::HTTP);
        let host = self.host.parse::<Authority>();
        parts.authority = Some(host.unwrap_or_else(|_| Authority::from_static("upstream")));
        let path = self.parts.uri.path_and_query().cloned();
        parts.path_and_query = Some(path.unwrap_or_else(|| PathAndQuery::from_static("/")));
        Uri::from_parts(parts).unwrap_or_default()
    }
}

impl Entry {
    /// Sets the headers that name an attempt.
    pub(super) fn address(&self, map: &mut http::HeaderMap, attempt: &Attempt, deadline: Deadline) {
        headers::set_unindexed(map, headers::ATTEMPT, &attempt.id);
        headers::set(map, headers::GENERATION, &attempt.endpoint.generation);
        let left = deadline.remaining(self.state.clock.now()).as_millis();
        headers::set_unindexed(map, headers::DEADLINE_MS, &left);
    }
}
