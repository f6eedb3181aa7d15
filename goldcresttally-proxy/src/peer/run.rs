//! Runs one attempt to completion, whether or not its entry node is still connected.

use std::sync::Arc;
use std::task::{Poll, ready};

use bytes::Bytes;
use goldcresttally_admission::{CallClass, Outcome};
use goldcresttally_core::{MonoTime, NodeId, ServiceName, Verdict};
use goldcresttally_ledger::Answer;
use goldcresttally_routing::{LoadReport, PickRequest, Picker, UpstreamNotice};
use http::request::Parts;
use http::{Method, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::{mpsc, oneshot};

use super::attempt_info::AttemptInfo;
use super::attempts::Cancellation;
use super::limiter::{Limiter, Permit};
use super::read_budget::UpstreamBody;
use super::rollout::SentCall;
use super::upstream::{Connection, ConnectionChoice, UpstreamError};
use super::upstream_messages::{
    ResponseKind, SentRequest, is_large, is_overload, prepare_response_headers, upstream_request,
};
use super::{Peer, ReplayableBody};
use crate::body::{BoxError, CallBody, boxed, full, read_up_to_limit};
use crate::call_log::{CallEvent, CallInfo};
use crate::errors::{CallError, Reason};
use crate::headers;

/// Maximum chunks of a streamed response that are buffered for the entry.
const MAX_BUFFERED_CHUNKS: usize = 8;

/// A part of a streamed response.
enum Chunk {
    Data(Bytes),
    /// The response is complete. A stream that closes without this was truncated.
    End,
}

/// The task of one attempt, with the channel to its entry.
pub(super) struct AttemptRun {
    pub peer: Arc<Peer>,
    pub info: AttemptInfo,
    /// The caller's id for the call, for the log.
    pub call_id: String,
    /// When the attempt was started, after the start of its body had arrived.
    pub started: MonoTime,
    pub cancelled: Cancellation,
    /// Counts the call for a rollout once it is sent to the upstream.
    pub sent_call: Option<SentCall>,
    /// Sends the response to the entry, once.
    pub response_tx: Option<oneshot::Sender<Response<CallBody>>>,
}

impl AttemptRun {
    /// Waits for a slot, calls the upstream and sends the outcome to the entry.
    pub async fn run(mut self, parts: Parts, body: ReplayableBody<CallBody>) {
        let peer = Arc::clone(&self.peer);
        let Some(limiter) = peer.choose_limiter(&self.info) else {
            return self.refuse(CallError::not_run(Reason::NoEndpoint));
        };
        if let Some(notice) = &self.info.notice {
            limiter.adopt(&peer.state, notice);
        }
        if !peer.admits(&self.info.service) {
            return self.refuse_closed();
        }
        let acquired = tokio::select! {
            acquired = limiter.acquire(&peer.state, &self.info) => acquired,
            reason = self.cancelled.wait() => Err(CallError::not_run(*reason)),
        };
        let mut permit = match acquired {
            Ok(permit) => permit,
            Err(error) => return self.refuse(error),
        };
        // The gate may have closed, by the end of a lease too, since the call was admitted.
        if !peer.admits(&self.info.service) {
            return self.refuse_closed();
        }
        // The process may have been paused since the call was admitted.
        if self.info.deadline.is_past(peer.state.clock.now()) {
            return self.refuse(CallError::not_run(Reason::Deadline));
        }
        if let Err(error) = peer.attempts.dispatch(self.info.attempt) {
            return self.refuse(error);
        }
        peer.state.counters.dispatched.increment();
        self.sent_call = peer.count_sent(&self.info, parts.uri.path());
        let reusable = self.call_upstream(&limiter, &mut permit, parts, body).await;
        // The slot is freed as soon as the response is complete. Checking that the connection is
        // reusable may take longer.
        drop(permit);
        if let Some(connection) = reusable {
            limiter.pool().release(connection).await;
        }
    }

    /// Sends the call to the upstream and forwards its response; returns the connection if the
    /// response was read to its end, so that it can be reused.
    async fn call_upstream(
        &mut self,
        limiter: &Limiter,
        permit: &mut Permit<'_>,
        parts: Parts,
        body: ReplayableBody<CallBody>,
    ) -> Option<Connection> {
        let peer = Arc::clone(&self.peer);
        let conventions = &peer.state.conventions;
        let sent_request = SentRequest::of(&parts, conventions);
        let deadline = self.info.deadline;
        let req = upstream_request(parts, body.body(), deadline, &peer, limiter.instance());
        let limit = peer.state.clock.instant(self.info.deadline);
        let sent_at = peer.state.clock.now();
        // A refusal of this call that the upstream repeats on a kept connection would look like one
        // of this attempt.
        let choice = match sent_request.call_id() {
            Some(id) if limiter.has_refused(id) => ConnectionChoice::New,
            _ => ConnectionChoice::Any,
        };
        let sent = tokio::select! {
            sent = limiter.pool().send(&*peer.transport, &peer.tasks, req, choice) => sent,
            () = tokio::time::sleep_until(limit) => {
                self.count_failed();
                self.abandon(Reason::Deadline);
                return None;
            }
            reason = self.cancelled.wait() => {
                peer.state.counters.cancelled.increment();
                let reason = *reason;
                self.count_given_up();
                self.abandon(reason);
                return None;
            }
        };
        limiter.record_send(!matches!(sent, Err(UpstreamError::NotSent)));
        match sent {
            Err(UpstreamError::NotSent) => self.refuse(CallError::not_run(Reason::Unreachable)),
            Err(UpstreamError::Lost) => self.abandon(Reason::ConnectionLost),
            Ok((response, connection)) => {
                let kind = sent_request.classify(&response, conventions, connection.is_kept());
                if matches!(kind, ResponseKind::Shed | ResponseKind::WrongInstance)
                    && let Some(id) = sent_request.call_id()
                {
                    limiter.record_refused(id);
                }
                if matches!(kind, ResponseKind::Valid | ResponseKind::Shed) {
                    let news = limiter.record_answer(&peer.state, response.headers(), sent_at);
                    for event in news {
                        self.log(event);
                    }
                }
                return self
                    .handle_response(permit, sent_request, kind, response, connection)
                    .await;
            }
        }
        None
    }

    /// Passes on a response of the given kind, or what it means for the call; returns the
    /// connection if it can be reused.
    async fn handle_response(
        &mut self,
        permit: &mut Permit<'_>,
        sent_request: SentRequest,
        kind: ResponseKind,
        response: Response<UpstreamBody>,
        connection: Connection,
    ) -> Option<Connection> {
        match kind {
            ResponseKind::Shed => {
                permit.set_outcome(Outcome::Shed);
                self.refuse(CallError::not_run(Reason::Shed));
            }
            ResponseKind::WrongInstance => {
                self.refuse(CallError::not_run(Reason::StaleInstance));
            }
            // The call's own response may follow, but the connection cannot be trusted.
            ResponseKind::Mismatched => {
                self.count_failed();
                self.abandon(Reason::ConnectionLost);
            }
            ResponseKind::InvalidStatus => {
                self.count_failed();
                self.abandon(Reason::BadAnswer);
            }
            ResponseKind::Malformed => self.fail_bad_response(),
            ResponseKind::Valid => {
                return self
                    .forward_response(permit, sent_request.method(), response, connection)
                    .await;
            }
        }
        None
    }

    async fn forward_response(
        &mut self,
        permit: &mut Permit<'_>,
        method: &Method,
        response: Response<UpstreamBody>,
        connection: Connection,
    ) -> Option<Connection> {
        let (mut parts, body) = response.into_parts();
        let overloaded = is_overload(parts.status);
        if parts.status.is_server_error() && !overloaded {
            self.count_failed();
        } else if let Some(sent) = &mut self.sent_call {
            sent.on_answer(self.peer.state.clock.now());
        }
        let bodiless = method == Method::HEAD;
        let large = !bodiless && is_large(&parts.headers);
        prepare_response_headers(&mut parts.headers, &self.peer, &self.info);
        let response = Response::from_parts(parts, body);
        let whole = match large {
            true => self.forward_streamed(response, Bytes::new()).await,
            false => self.forward_buffered(response).await,
        };
        if !whole {
            return None;
        }
        if let Some(sent) = self.sent_call.take() {
            sent.answered();
        }
        permit.set_outcome(if overloaded { Outcome::Shed } else { Outcome::Answered });
        Some(connection)
    }

    /// Buffers a small response, stores it in the ledger and forwards it. A response that turns out
    /// to be large is streamed. Returns whether the response was forwarded completely.
    async fn forward_buffered(&mut self, response: Response<UpstreamBody>) -> bool {
        let (parts, body) = response.into_parts();
        let limit = self.peer.state.clock.instant(self.info.deadline);
        let read = tokio::select! {
            read = tokio::time::timeout_at(limit, read_up_to_limit(body)) => read,
            reason = self.cancelled.wait() => {
                let reason = *reason;
                self.count_given_up();
                self.abandon(reason);
                return false;
            }
        };
        let body = match read {
            Ok(Ok((body, None))) => body,
            Ok(Ok((start, Some(rest)))) => {
                return self.forward_streamed(Response::from_parts(parts, rest), start).await;
            }
            Ok(Err(_)) => {
                self.fail_bad_response();
                return false;
            }
            Err(_) => {
                self.count_failed();
                self.abandon(Reason::Deadline);
                return false;
            }
        };
        let headers = parts.headers.clone();
        let answer = Answer { status: parts.status, headers, body: body.clone() };
        self.peer.attempts.done(self.info.attempt, Some(answer));
        self.send(Response::from_parts(parts, full(body)));
        true
    }

    /// Streams a large response until its end, the deadline, a cancellation or a disconnect of the
    /// entry. A truncated response is passed on as truncated. Returns whether it was complete.
    async fn forward_streamed(&mut self, response: Response<UpstreamBody>, start: Bytes) -> bool {
        let (parts, body) = response.into_parts();
        let (tx, rx) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        self.send(Response::from_parts(parts, boxed(StreamBody::new(frames(rx)))));
        let limit = self.peer.state.clock.instant(self.info.deadline);
        let whole = tokio::select! {
            biased;
            whole = forward_chunks(start, body, &tx) => whole,
            () = tx.closed() => false,
            _ = self.cancelled.wait() => false,
            () = tokio::time::sleep_until(limit) => false,
        };
        self.peer.attempts.done(self.info.attempt, None);
        whole
    }

    fn send(&mut self, response: Response<CallBody>) {
        if let Some(tx) = self.response_tx.take() {
            // If the entry is gone, it asks for the outcome over another connection.
            let _ = tx.send(response);
        }
    }

    /// Logs that the attempt ended without a response to forward.
    fn log_end(&self, verdict: Verdict, reason: Reason) {
        let load = self.peer.loads().iter().fold((0, 0), |(running, waiting), (_, _, load)| {
            (running + load.running, waiting + load.waiting)
        });
        self.log(CallEvent::AttemptEnded { verdict, reason, load });
    }

    fn log(&self, event: CallEvent) {
        let state = &self.peer.state;
        let call = CallInfo {
            id: &self.call_id,
            service: Some(&self.info.service),
            account: None,
            version: state.active_config().snapshot.version(),
            class: Some((self.info.rank, self.info.target)),
            age: state.clock.now().since(self.started),
            remaining: self.info.deadline.remaining(state.clock.now()),
        };
        state.call_log.record(&call, event);
    }

    fn refuse_closed(&mut self) {
        self.peer.state.counters.rollout_refused.increment();
        self.refuse(CallError::not_run(Reason::Closed));
    }

    fn refuse(&mut self, mut error: CallError) {
        self.peer.attempts.not_run(self.info.attempt);
        self.log_end(error.verdict, error.reason);
        if matches!(
            error.reason,
            Reason::Overloaded | Reason::Draining | Reason::Closed | Reason::Shed
        ) {
            error.redirect = self.peer.redirect_hint(&self.info);
        }
        let mut response = error.into_response();
        let load = self.peer.load_of(&self.info);
        headers::set(response.headers_mut(), headers::LOAD, &load);
        if let Some(notice) = self.peer.notice_of(&self.info.service) {
            headers::set(response.headers_mut(), headers::UPSTREAM_NOTICE, &notice);
        }
        self.send(response);
    }

    fn abandon(&mut self, reason: Reason) {
        self.peer.attempts.abandoned(self.info.attempt);
        self.log_end(Verdict::MayHaveRun, reason);
        self.send(CallError::may_have_run(reason).into_response());
    }

    /// Counts the call as failed by the upstream.
    fn count_failed(&mut self) {
        if let Some(sent) = self.sent_call.take() {
            sent.failed();
        }
    }

    /// Counts the call as failed by the upstream if it was given up after its target.
    fn count_given_up(&mut self) {
        if let Some(sent) = self.sent_call.take() {
            sent.given_up(self.peer.state.clock.now());
        }
    }

    fn fail_bad_response(&mut self) {
        self.count_failed();
        self.peer.attempts.done(self.info.attempt, None);
        self.log_end(Verdict::Ran, Reason::BadAnswer);
        self.send(CallError::ran(Reason::BadAnswer).into_response());
    }
}

/// Forwards the chunks of a response; returns whether all of it arrived and was taken.
async fn forward_chunks(start: Bytes, mut body: UpstreamBody, tx: &mpsc::Sender<Chunk>) -> bool {
    let mut data = start;
    loop {
        if tx.send(Chunk::Data(data)).await.is_err() {
            return false;
        }
        data = loop {
            match body.frame().await {
                None => return tx.send(Chunk::End).await.is_ok(),
                Some(Err(_)) => return false,
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        break data;
                    }
                }
            }
        };
    }
}

/// Converts received chunks to body frames; ends with an error if the response was truncated.
fn frames(
    mut rx: mpsc::Receiver<Chunk>,
) -> impl futures::Stream<Item = Result<Frame<Bytes>, BoxError>> {
    let mut ended = false;
    futures::stream::poll_fn(move |cx| {
        if ended {
            return Poll::Ready(None);
        }
        let chunk = ready!(rx.poll_recv(cx));
        ended = !matches!(chunk, Some(Chunk::Data(_)));
        Poll::Ready(match chunk {
            Some(Chunk::Data(data)) => Some(Ok(Frame::data(data))),
            Some(Chunk::End) => None,
            None => Some(Err("the upstream's response was truncated".into())),
        })
    })
}

impl Peer {
    /// Chooses the least loaded local upstream of the service; a draining one only if all are.
    fn choose_limiter(&self, info: &AttemptInfo) -> Option<Arc<Limiter>> {
        let limiters = self.limiters.load();
        let list = limiters.get(&info.service)?;
        let share = |limiter: &&Arc<Limiter>| {
            let (competitors, limit) = limiter.competitors(info.rank);
            (limiter.is_draining(), competitors * 1000 / limit.max(1))
        };
        list.iter().min_by_key(share).map(Arc::clone)
    }

    /// Returns the summed load of the local upstreams of the service, for calls of this class.
    pub(super) fn load_of(&self, info: &AttemptInfo) -> LoadReport {
        let limiters = self.limiters.load();
        let Some(list) = limiters.get(&info.service) else { return LoadReport::default() };
        let class = CallClass { rank: info.rank, target: info.target };
        let mut sum = LoadReport::default();
        for limiter in list {
            let load = limiter.load_report(class);
            sum = LoadReport { free: sum.free + load.free, limit: sum.limit + load.limit, ..load };
        }
        sum.link_ms = self.transfers.expected_wait(info.rank).as_millis() as u32;
        sum
    }

    /// Returns what an upstream of the service beside this node has said about itself, if anything.
    pub(super) fn notice_of(&self, service: &ServiceName) -> Option<UpstreamNotice> {
        self.limiters.load().get(service)?.iter().find_map(|limiter| limiter.notice())
    }

    /// Returns a less loaded node that runs the service, by the loads that this node has observed.
    ///
    /// Similar to REDIRECT in RFC 5685, section 3, where a gateway that refuses names another one.
    fn redirect_hint(&self, info: &AttemptInfo) -> Option<NodeId> {
        if !self.redirects {
            return None;
        }
        let endpoints = self.state.endpoints();
        let own = [self.state.identity.node];
        let list = endpoints.get(&info.service)?;
        let request = PickRequest {
            now: self.state.clock.now(),
            rank: info.rank,
            target: info.target,
            on_time_by: info.on_time_by,
            bytes: 0,
        };
        let found = Picker::default().pick(&request, list, &own, random_below)?;
        Some(found.node)
    }
}

fn random_below(n: usize) -> usize {
    fastrand::usize(..n)
}
