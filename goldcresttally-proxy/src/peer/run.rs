//! Runs one attempt to its end, whether or not its entry node still listens.

use std::sync::Arc;
use std::task::{Poll, ready};

use bytes::Bytes;
use goldcresttally_admission::{CallClass, Outcome};
use goldcresttally_core::{MonoTime, NodeId, Verdict};
use goldcresttally_ledger::Answer;
use goldcresttally_routing::{LoadReport, PickRequest, Picker};
use http::request::Parts;
use http::{Method, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::sync::{mpsc, oneshot};

use super::attempts::Cancellation;
use super::exchange::{AnswerKind, Sent, answer_headers, is_large, is_overload, upstream_request};
use super::gate::{AdmissionController, Place};
use super::ticket::Ticket;
use super::upstream::{Connection, UpstreamError};
use super::{Peer, ReplayableBody};
use crate::body::{BoxError, CallBody, boxed, full, read_up_to_limit};
use crate::call_log::{CallEvent, CallInfo};
use crate::errors::{CallError, Reason};
use crate::headers;

/// Chunks of an answer that wait for the entry to take them.
const CHUNKS_IN_FLIGHT: usize = 8;

/// A part of an answer that is passed on as it comes.
enum Chunk {
    Data(Bytes),
    /// The answer is whole; without this it is a cut.
    End,
}

/// One attempt and the way to its entry.
pub(super) struct Run {
    pub peer: Arc<Peer>,
    pub ticket: Ticket,
    /// The caller's id for the call, for the log.
    pub call_id: String,
    /// When the attempt came.
    pub began: MonoTime,
    pub cancelled: Cancellation,
    pub answer: Option<oneshot::Sender<Response<CallBody>>>,
}

impl Run {
    /// Waits for a slot, runs the call and answers.
    pub async fn run(mut self, parts: Parts, body: ReplayableBody<CallBody>) {
        let peer = Arc::clone(&self.peer);
        let Some(gate) = peer.choose_gate(&self.ticket) else {
            return self.refuse(CallError::not_run(Reason::NoEndpoint));
        };
        let entered = tokio::select! {
            entered = gate.enter(&peer.state, &self.ticket) => entered,
            reason = self.cancelled.wait() => Err(CallError::not_run(*reason)),
        };
        let mut place = match entered {
            Ok(place) => place,
            Err(error) => return self.refuse(error),
        };
        // The process may have been paused between the turn and here.
        if self.ticket.deadline.is_past(peer.state.clock.now()) {
            return self.refuse(CallError::not_run(Reason::Deadline));
        }
        if let Err(error) = peer.attempts.dispatch(self.ticket.attempt) {
            return self.refuse(error);
        }
        peer.state.counters.dispatched.increment();
        let kept = self.exchange(&gate, &mut place, parts, body).await;
        // The slot is free once the answer is in; whether the connection is fit shows later.
        drop(place);
        if let Some(connection) = kept {
            gate.pool().give_back(connection).await;
        }
    }

    /// Sends the call to the upstream and passes its answer on; returns a connection whose answer
    /// was read to its end.
    async fn exchange(
        &mut self,
        gate: &AdmissionController,
        place: &mut Place<'_>,
        parts: Parts,
        body: ReplayableBody<CallBody>,
    ) -> Option<Connection> {
        let peer = Arc::clone(&self.peer);
        let rules = &peer.state.conventions;
        let asked = Sent::of(&parts, rules);
        let deadline = self.ticket.deadline;
        let req = upstream_request(parts, body.body(), deadline, &peer, gate.instance());
        let limit = peer.state.clock.instant(self.ticket.deadline);
        let sent = tokio::select! {
            sent = gate.pool().send(&*peer.transport, &peer.tasks, req) => sent,
            () = tokio::time::sleep_until(limit) => {
                self.abandon(Reason::Deadline);
                return None;
            }
            reason = self.cancelled.wait() => {
                peer.state.counters.cancelled.increment();
                let reason = *reason;
                self.abandon(reason);
                return None;
            }
        };
        gate.note_sent(!matches!(sent, Err(UpstreamError::NotSent)));
        match sent {
            Err(UpstreamError::NotSent) => self.refuse(CallError::not_run(Reason::Unreachable)),
            Err(UpstreamError::Lost) => self.abandon(Reason::ConnectionLost),
            Ok((response, connection)) => match asked.classify(&response, rules) {
                AnswerKind::Shed => {
                    place.set_outcome(Outcome::Shed);
                    self.refuse(CallError::not_run(Reason::Shed));
                }
                AnswerKind::OtherInstance => {
                    self.refuse(CallError::not_run(Reason::StaleInstance));
                }
                // The call's own answer may follow, but the connection is not to be trusted.
                AnswerKind::Crossed => self.abandon(Reason::ConnectionLost),
                AnswerKind::Spoiled => self.bad_answer(),
                AnswerKind::Answer => {
                    return self.pass_on(place, asked.method(), response, connection).await;
                }
            },
        }
        None
    }

    async fn pass_on(
        &mut self,
        place: &mut Place<'_>,
        method: &Method,
        response: Response<Incoming>,
        connection: Connection,
    ) -> Option<Connection> {
        let (mut parts, body) = response.into_parts();
        let overloaded = is_overload(parts.status);
        let bodiless = method == Method::HEAD;
        let large = !bodiless && is_large(&parts.headers);
        answer_headers(&mut parts.headers, &self.peer, &self.ticket);
        let response = Response::from_parts(parts, body);
        let whole = match large {
            true => self.answer_in_chunks(response, Bytes::new()).await,
            false => self.answer_whole(response).await,
        };
        if !whole {
            return None;
        }
        place.set_outcome(if overloaded { Outcome::Shed } else { Outcome::Answered });
        Some(connection)
    }

    /// Reads a small answer to its end before it is passed on, and keeps it; one that turns out to
    /// be large is passed on in chunks.
    async fn answer_whole(&mut self, response: Response<Incoming>) -> bool {
        let (parts, body) = response.into_parts();
        let limit = self.peer.state.clock.instant(self.ticket.deadline);
        let read = tokio::select! {
            read = tokio::time::timeout_at(limit, read_up_to_limit(body)) => read,
            reason = self.cancelled.wait() => {
                let reason = *reason;
                self.abandon(reason);
                return false;
            }
        };
        let body = match read {
            Ok(Ok((body, None))) => body,
            Ok(Ok((start, Some(rest)))) => {
                return self.answer_in_chunks(Response::from_parts(parts, rest), start).await;
            }
            Ok(Err(_)) => {
                self.bad_answer();
                return false;
            }
            Err(_) => {
                self.abandon(Reason::Deadline);
                return false;
            }
        };
        let headers = parts.headers.clone();
        let answer = Answer { status: parts.status, headers, body: body.clone() };
        self.peer.attempts.done(self.ticket.attempt, Some(answer));
        self.send(Response::from_parts(parts, full(body)));
        true
    }

    /// Passes a large answer on in chunks until its end, the deadline or the caller's; a cut is
    /// passed on as a cut.
    async fn answer_in_chunks(&mut self, response: Response<Incoming>, start: Bytes) -> bool {
        let (parts, body) = response.into_parts();
        let (tx, rx) = mpsc::channel(CHUNKS_IN_FLIGHT);
        self.send(Response::from_parts(parts, boxed(StreamBody::new(frames(rx)))));
        let limit = self.peer.state.clock.instant(self.ticket.deadline);
        let whole = tokio::select! {
            biased;
            whole = pass_chunks(start, body, &tx) => whole,
            () = tx.closed() => false,
            _ = self.cancelled.wait() => false,
            () = tokio::time::sleep_until(limit) => false,
        };
        self.peer.attempts.done(self.ticket.attempt, None);
        whole
    }

    fn send(&mut self, response: Response<CallBody>) {
        if let Some(tx) = self.answer.take() {
            // An entry that is gone asks for the outcome on another connection.
            let _ = tx.send(response);
        }
    }

    /// Notes that the attempt ended without an answer that is passed on.
    fn note(&self, verdict: Verdict, reason: Reason) {
        let state = &self.peer.state;
        let call = CallInfo {
            id: &self.call_id,
            service: Some(&self.ticket.service),
            version: state.active_config().snapshot.version(),
            class: Some((self.ticket.rank, self.ticket.target)),
            age: state.clock.now().since(self.began),
            remaining: self.ticket.deadline.remaining(state.clock.now()),
        };
        let load = self.peer.loads().iter().fold((0, 0), |(running, waiting), (_, _, load)| {
            (running + load.running, waiting + load.waiting)
        });
        state.call_log.record(&call, CallEvent::AttemptEnded { verdict, reason, load });
    }

    fn refuse(&mut self, mut error: CallError) {
        self.peer.attempts.not_run(self.ticket.attempt);
        self.note(error.verdict, error.reason);
        if matches!(error.reason, Reason::Overloaded | Reason::Draining | Reason::Shed) {
            error.redirect = self.peer.redirect_hint(&self.ticket);
        }
        let mut response = error.into_response();
        let load = self.peer.load_of(&self.ticket);
        headers::set(response.headers_mut(), headers::LOAD, &load);
        self.send(response);
    }

    fn abandon(&mut self, reason: Reason) {
        self.peer.attempts.abandoned(self.ticket.attempt);
        self.note(Verdict::MayHaveRun, reason);
        self.send(CallError::may_have_run(reason).into_response());
    }

    fn bad_answer(&mut self) {
        self.peer.attempts.done(self.ticket.attempt, None);
        self.note(Verdict::Ran, Reason::BadAnswer);
        self.send(CallError::ran(Reason::BadAnswer).into_response());
    }
}

/// Passes the chunks of an answer on; returns whether all of it came and was taken.
async fn pass_chunks(start: Bytes, mut body: Incoming, tx: &mpsc::Sender<Chunk>) -> bool {
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

/// Returns the frames of an answer that comes in chunks.
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
            None => Some(Err("the upstream's answer broke off".into())),
        })
    })
}

impl Peer {
    /// Chooses the least loaded upstream of a service that takes calls.
    fn choose_gate(&self, ticket: &Ticket) -> Option<Arc<AdmissionController>> {
        let gates = self.gates.load();
        let list = gates.get(&ticket.service)?;
        let share = |gate: &&Arc<AdmissionController>| {
            let (competitors, limit) = gate.competitors(ticket.rank);
            (gate.is_draining(), competitors * 1000 / limit.max(1))
        };
        list.iter().min_by_key(share).map(Arc::clone)
    }

    /// Returns the load that a call like this one meets here.
    pub(super) fn load_of(&self, ticket: &Ticket) -> LoadReport {
        let gates = self.gates.load();
        let Some(list) = gates.get(&ticket.service) else { return LoadReport::default() };
        let class = CallClass { rank: ticket.rank, target: ticket.target };
        let mut sum = LoadReport::default();
        for gate in list {
            let own = gate.report(class);
            sum = LoadReport { free: sum.free + own.free, limit: sum.limit + own.limit, ..own };
        }
        sum
    }

    /// Names a less loaded node that runs the service, by what this node has observed.
    ///
    /// The idea of REDIRECT in RFC 5685, section 3: who refuses names another gateway.
    fn redirect_hint(&self, ticket: &Ticket) -> Option<NodeId> {
        if !self.redirects {
            return None;
        }
        let endpoints = self.state.endpoints();
        let own = [self.state.identity.node];
        let list = endpoints.get(&ticket.service)?;
        let asked = PickRequest {
            now: self.state.clock.now(),
            rank: ticket.rank,
            target: ticket.target,
            on_time_by: ticket.on_time_by,
            bytes: 0,
        };
        let found = Picker::default().pick(&asked, list, &own, fastrand_below)?;
        Some(found.node)
    }
}

fn fastrand_below(n: usize) -> usize {
    fastrand::usize(..n)
}
