//! Sends one attempt to its node, and asks that node for the outcome if the connection breaks.

use std::sync::Arc;

use goldcresttally_core::{Deadline, NodeId};
use goldcresttally_routing::link_probe::probe_delay;
use http::uri::{Authority, PathAndQuery, Scheme};
use http::{Request, Response, Uri};

use super::Entry;
use super::call::{Attempt, Call};
use super::feedback::InFlightGuard;
use super::hedging::{AttemptGroup, Suspicion};
use super::keyed::BufferedBody;
use crate::body::{
    BodyWithDeadline, BodyWithGuard, CallBody, MAX_BUFFERED_BODY_BYTES, ReplayableBody, boxed,
    full, read_up_to_limit,
};
use crate::call_log::CallEvent;
use crate::errors::{CallError, Reason};
use crate::headers;
use crate::link::{LinkError, SentLink};

/// Response extension: the node that ran the attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServedBy(pub NodeId);

/// Cancels the attempt when dropped before the attempt has ended.
///
/// The reason it sends depends on why the wait was given up: another attempt was answered, this
/// node is stopping, or the caller has closed its connection.
struct CancelGuard<'a> {
    entry: &'a Arc<Entry>,
    group: &'a AttemptGroup,
    attempt: Option<Attempt>,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            let reason = if self.group.is_answered() {
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
    /// Makes one attempt of `group` and returns its response.
    ///
    /// With `keyed`, the ledger of the attempt's node retains the outcome for longer.
    pub async fn attempt(
        &self,
        attempt: &Attempt,
        body: &ReplayableBody<CallBody>,
        keyed: bool,
        group: &AttemptGroup,
    ) -> Result<Response<CallBody>, CallError> {
        let entry = &self.entry;
        let in_flight = self.track_in_flight(attempt);
        let mut guard = CancelGuard { entry, group, attempt: Some(attempt.clone()) };
        let sent_link = SentLink::default();
        let result = match self.reserve(attempt, body, &in_flight).await {
            Ok(granted) => {
                let mut req = self.build_request(attempt, body, keyed);
                if granted {
                    headers::set(req.headers_mut(), headers::GRANTED, "true");
                }
                match attempt.endpoint.node == entry.state.identity.node {
                    true => Ok(entry.peer.handle_message(req).await),
                    false => self.send(attempt, req, group, &sent_link).await,
                }
            }
            Err(error) => Err(error),
        };
        let result = match result {
            Ok(response) => {
                self.read_response(attempt, response, in_flight, group, &sent_link).await
            }
            Err(error) => Err(error),
        };
        guard.attempt = None;
        let result = result.map(|mut response| {
            response.extensions_mut().insert(ServedBy(attempt.endpoint.node));
            response
        });
        let suspected = group.finish(attempt.id);
        self.record_outcome(attempt, &result, suspected);
        result
    }

    async fn send(
        &self,
        attempt: &Attempt,
        req: Request<CallBody>,
        group: &AttemptGroup,
        sent_link: &SentLink,
    ) -> Result<Response<CallBody>, CallError> {
        let probe = !self.route.idempotent;
        // The peer ends the attempt at the call's deadline and then reports whether it ran, so this
        // node waits a little longer than that for its verdict.
        let limit = self.verdict_deadline();
        let probe_after = probe_delay(self.route.target);
        let peer = attempt.endpoint.peer;
        let links = &self.entry.links;
        let mut sent = std::pin::pin!(links.send_tracked(peer, req, limit, probe, sent_link));
        let sent = tokio::select! {
            sent = &mut sent => sent,
            silence = links.wait_until_silent(peer, sent_link, probe_after) => {
                self.log(CallEvent::Suspected { node: attempt.endpoint.node, silence });
                self.suspect(attempt, Reason::Silent, group);
                tokio::select! {
                    sent = &mut sent => sent,
                    outcome = self.settle_suspected(attempt, sent_link) => return outcome,
                }
            }
        };
        match sent {
            Ok(response) => Ok(response.map(boxed)),
            Err(LinkError::NotSent) => Err(CallError::not_run(Reason::Unreachable)),
            // Silence of the link itself was handled above, so only the deadline has passed here.
            Err(LinkError::TimedOut | LinkError::Silent(_)) => {
                self.cancel_in_background(attempt, Reason::Deadline);
                Err(CallError::may_have_run(Reason::Deadline))
            }
            Err(LinkError::Lost) => {
                self.suspect(attempt, Reason::ConnectionLost, group);
                self.settle(attempt).await
            }
        }
    }

    /// Settles an attempt whose link did not answer a probe, while its answer may still arrive.
    async fn settle_suspected(
        &self,
        attempt: &Attempt,
        sent_link: &SentLink,
    ) -> Result<Response<CallBody>, CallError> {
        // A settle request transfers the response a second time, over a link that may be congested.
        // An idempotent call can be sent to another node instead, so it is settled only when nothing
        // arrives over its link any more.
        if self.route.idempotent {
            self.entry.links.wait_until_unresponsive(attempt.endpoint.peer, sent_link).await;
        }
        self.settle_or_wait(attempt).await
    }

    /// Marks an attempt as suspected: ejects its endpoint for other calls and allows the group to
    /// start another attempt alongside it.
    fn suspect(&self, attempt: &Attempt, reason: Reason, group: &AttemptGroup) {
        let suspicion = Suspicion { attempt: attempt.id, node: attempt.endpoint.node, reason };
        if group.suspect(suspicion) {
            self.record_failure(&attempt.endpoint, &CallError::may_have_run(reason));
        }
    }

    /// Sends a cancellation of the attempt to its node from a background task.
    fn cancel_in_background(&self, attempt: &Attempt, reason: Reason) {
        let (entry, attempt) = (Arc::clone(&self.entry), attempt.clone());
        self.entry.tasks.spawn(async move { entry.cancel(&attempt, reason).await });
    }

    /// Separates failures reported by the peer from upstream responses, and buffers a response
    /// whose declared length is at most [`MAX_BUFFERED_BODY_BYTES`].
    ///
    /// A longer response, or one of unknown length, is streamed to the caller. It is not broken off
    /// when its link falls silent, as nothing could replace it.
    async fn read_response(
        &self,
        attempt: &Attempt,
        response: Response<CallBody>,
        in_flight: InFlightGuard,
        group: &AttemptGroup,
        sent_link: &SentLink,
    ) -> Result<Response<CallBody>, CallError> {
        let (mut parts, body) = response.into_parts();
        in_flight.report(&self.entry.state, &parts.headers);
        if let Some(error) = CallError::from_headers(&parts.headers) {
            return Err(error);
        }
        headers::strip_internal(&mut parts.headers);
        let length = headers::parse::<usize>(&parts.headers, &http::header::CONTENT_LENGTH);
        if length.is_none_or(|n| n > MAX_BUFFERED_BODY_BYTES) {
            let limit = self.entry.state.clock.instant(self.verdict_deadline());
            let body = boxed(BodyWithDeadline::new(body, limit));
            let body = self.entry.read_ahead.wrap(body, &self.entry.tasks);
            let body = boxed(BodyWithGuard::new(body, in_flight));
            return Ok(Response::from_parts(parts, body));
        }
        // If the connection breaks or falls silent in the middle of a small response, the peer's
        // ledger still has the whole of it.
        let read = read_up_to_limit(body);
        let read = tokio::select! {
            read = tokio::time::timeout_at(self.deadline_instant(), read) => read,
            outcome = self.settle_when_silent(attempt, group, sent_link) => return outcome,
        };
        match read {
            Ok(Ok((body, None))) => {
                parts.extensions.insert(BufferedBody(body.clone()));
                Ok(Response::from_parts(parts, full(body)))
            }
            Ok(Ok((_, Some(_))) | Err(_)) => {
                self.suspect(attempt, Reason::ConnectionLost, group);
                self.settle(attempt).await
            }
            Err(_) => Err(CallError::ran(Reason::Deadline)),
        }
    }

    /// Settles an attempt once its link falls silent, while the rest of its answer may still arrive.
    async fn settle_when_silent(
        &self,
        attempt: &Attempt,
        group: &AttemptGroup,
        sent_link: &SentLink,
    ) -> Result<Response<CallBody>, CallError> {
        let links = &self.entry.links;
        let silence = links.wait_until_unresponsive(attempt.endpoint.peer, sent_link).await;
        self.log(CallEvent::Suspected { node: attempt.endpoint.node, silence });
        self.suspect(attempt, Reason::Silent, group);
        self.settle_or_wait(attempt).await
    }

    fn build_request(
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
        self.set_class_headers(map);
        if keyed {
            headers::set(map, headers::KEYED, "true");
        }
        let state = &self.entry.state;
        if let Some(notice) = state.notices.get(state.clock.now(), attempt.endpoint.node) {
            headers::set(map, headers::UPSTREAM_NOTICE, &notice);
        }
        self.entry.set_attempt_headers(map, attempt, self.deadline);
        req
    }

    /// Sets the headers with the service, the rank and the target of the call.
    pub(super) fn set_class_headers(&self, map: &mut http::HeaderMap) {
        headers::set(map, headers::SERVICE, &self.service.name);
        headers::set(map, headers::RANK, &self.rank.name);
        headers::set(map, headers::TARGET_MS, &self.route.target.as_millis());
        let on_time = self.on_time_by.remaining(self.entry.state.clock.now()).as_millis();
        headers::set_unindexed(map, headers::ON_TIME_MS, &on_time);
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
    /// Sets the headers that identify an attempt, and the time left until its deadline.
    pub(super) fn set_attempt_headers(
        &self,
        map: &mut http::HeaderMap,
        attempt: &Attempt,
        deadline: Deadline,
    ) {
        headers::set_unindexed(map, headers::ATTEMPT, &attempt.id);
        headers::set(map, headers::GENERATION, &attempt.endpoint.generation);
        let left = deadline.remaining(self.state.clock.now()).as_millis();
        headers::set_unindexed(map, headers::DEADLINE_MS, &left);
    }
}
