//! Asks a node what became of an attempt whose connection broke or is in doubt.

use std::time::Duration;

use goldcresttally_core::Deadline;
use goldcresttally_ledger::{Answer, Settlement};
use http::{Request, Response};
use http_body_util::BodyExt;

use super::Entry;
use super::call::{Attempt, Call};
use crate::body::{CallBody, full};
use crate::errors::{CallError, Reason};
use crate::headers;
use crate::link::LinkError;

/// Wait before a node that could not be reached is asked again, in milliseconds.
const ASK_AGAIN_MS: u64 = 100;

/// Time without an answer after which the link of a question is checked, in milliseconds: the
/// node answers once the attempt has ended.
const CHECK_MS: u64 = 500;

/// Time within which a node must take a cancellation, in milliseconds.
const CANCEL_TIMEOUT_MS: u64 = 500;

/// Questions that may go unanswered because no connection stands.
const UNREACHABLE_LIMIT: u32 = 5;

impl Call {
    /// Settles an attempt whose connection broke: asks its node what became of it.
    pub async fn settle(&self, attempt: &Attempt) -> Result<Response<CallBody>, CallError> {
        match self.settlement(attempt).await {
            Some(Settlement::NotRun) => Err(CallError::not_run(Reason::ConnectionLost)),
            Some(Settlement::Done(Some(answer))) => Ok(answer_response(answer)),
            Some(Settlement::Done(None)) => Err(CallError::ran(Reason::ConnectionLost)),
            Some(Settlement::Running | Settlement::Unknown) | None => {
                Err(CallError::may_have_run(Reason::ConnectionLost))
            }
        }
    }

    /// Returns what became of an attempt whose connection is in doubt, once its node says so; an
    /// answer may also still come over that connection, so this waits for ever without a result.
    pub async fn outcome(&self, attempt: &Attempt) -> Result<Response<CallBody>, CallError> {
        match self.settlement(attempt).await {
            Some(Settlement::NotRun) => Err(CallError::not_run(Reason::ConnectionLost)),
            Some(Settlement::Done(Some(answer))) => Ok(answer_response(answer)),
            _ => std::future::pending().await,
        }
    }

    async fn settlement(&self, attempt: &Attempt) -> Option<Settlement> {
        let own = attempt.endpoint.node == self.entry.state.identity.node;
        if own || !self.entry.options.settle {
            return None;
        }
        self.entry.state.counters.settled.increment();
        let by = self.verdict_by();
        let asked = self.entry.ask(attempt, by);
        tokio::time::timeout_at(self.entry.state.clock.instant(by), asked).await.ok().flatten()
    }
}

impl Entry {
    /// Asks what became of an attempt, until `deadline`; `None` when the node cannot be reached.
    pub(super) async fn ask(&self, attempt: &Attempt, deadline: Deadline) -> Option<Settlement> {
        let mut unreachable = 0;
        let mut running = false;
        while !deadline.is_past(self.state.clock.now()) {
            match self.ask_once(attempt, deadline).await {
                Ok(Settlement::Running) => running = true,
                Ok(settlement) => return Some(settlement),
                Err(LinkError::NotSent) => unreachable += 1,
                Err(LinkError::Lost | LinkError::TimedOut | LinkError::Silent(_)) => {}
            }
            if unreachable >= UNREACHABLE_LIMIT {
                return None;
            }
            tokio::time::sleep(Duration::from_millis(ASK_AGAIN_MS)).await;
        }
        running.then_some(Settlement::Running)
    }

    async fn ask_once(
        &self,
        attempt: &Attempt,
        deadline: Deadline,
    ) -> Result<Settlement, LinkError> {
        let req = self.control_request("settle", attempt, deadline);
        let (to, check) = (attempt.endpoint.peer, Duration::from_millis(CHECK_MS));
        let response = self.links.send_detecting_silence(to, req, deadline, false, check).await?;
        let (mut parts, body) = response.into_parts();
        let text = headers::parse::<String>(&parts.headers, &headers::SETTLEMENT);
        match text.as_deref() {
            Some("not-run") => Ok(Settlement::NotRun),
            Some("running") => Ok(Settlement::Running),
            Some("done") if parts.headers.contains_key(headers::ANSWER) => {
                let body = body.collect().await.or(Err(LinkError::Lost))?.to_bytes();
                headers::strip_internal(&mut parts.headers);
                let (status, headers) = (parts.status, parts.headers);
                Ok(Settlement::Done(Some(Answer { status, headers, body })))
            }
            Some("done") => Ok(Settlement::Done(None)),
            _ => Ok(Settlement::Unknown),
        }
    }

    /// Tells the node of an attempt that nobody waits for it any more, and why.
    pub(super) async fn cancel(&self, attempt: &Attempt, reason: Reason) {
        let limit = Duration::from_millis(CANCEL_TIMEOUT_MS);
        let deadline = Deadline::after(self.state.clock.now(), limit);
        let mut req = self.control_request("cancel", attempt, deadline);
        headers::set(req.headers_mut(), headers::REASON, &reason);
        if attempt.endpoint.node == self.state.identity.node {
            self.peer.answer(req).await;
            return;
        }
        // The deadline at the peer ends what a lost cancellation does not.
        let _ = self.links.send(attempt.endpoint.peer, req, deadline, false).await;
    }

    fn control_request(
        &self,
        op: &'static str,
        attempt: &Attempt,
        deadline: Deadline,
    ) -> Request<CallBody> {
        let mut req = Request::new(full(""));
        *req.uri_mut() = http::Uri::from_static("http://node/");
        headers::set(req.headers_mut(), headers::OP, &op);
        self.address(req.headers_mut(), attempt, deadline);
        req
    }
}

/// Writes an answer from a ledger as the answer to the caller.
pub(super) fn answer_response(answer: Answer) -> Response<CallBody> {
    let mut response = Response::new(full(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    headers::strip_internal(response.headers_mut());
    response
}
