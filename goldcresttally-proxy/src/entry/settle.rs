//! Settlement: asks the node that received an attempt for its outcome, after the connection broke
//! or went silent. Also cancels attempts.

use std::time::Duration;

use goldcresttally_core::Deadline;
use goldcresttally_ledger::{Answer, Settlement};
use http::{Request, Response};

use super::Entry;
use super::call::{Attempt, Call};
use crate::body::{CallBody, full, read_up_to_limit};
use crate::errors::{CallError, Reason};
use crate::headers;
use crate::link::LinkError;

/// Delay before a settle request is sent again, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 100;

/// Time without a response after which the link of a settle request is probed, in milliseconds. A
/// healthy node may take long as well: it responds only once the attempt has ended.
const PROBE_AFTER_MS: u64 = 500;

/// Time limit for delivering a cancellation, in milliseconds.
const CANCEL_TIMEOUT_MS: u64 = 500;

/// Number of failures to connect after which settling an attempt is given up.
const MAX_CONNECT_FAILURES: u32 = 5;

impl Call {
    /// Settles an attempt whose connection broke by asking its node for the outcome.
    ///
    /// Returns the response if the node's ledger still has it. Otherwise fails with
    /// `ConnectionLost` and the verdict that the outcome implies.
    pub async fn settle(&self, attempt: &Attempt) -> Result<Response<CallBody>, CallError> {
        match self.fetch_settlement(attempt).await {
            Some(Settlement::NotRun) => Err(CallError::not_run(Reason::ConnectionLost)),
            Some(Settlement::Done(Some(answer))) => Ok(response_from_answer(answer)),
            Some(Settlement::Done(None)) => Err(CallError::ran(Reason::ConnectionLost)),
            Some(Settlement::Running | Settlement::Unknown) | None => {
                Err(CallError::may_have_run(Reason::ConnectionLost))
            }
        }
    }

    /// Settles an attempt whose connection is silent but not yet broken.
    ///
    /// A response may still arrive over that connection, so this never returns if the node cannot be
    /// reached, or reports that the attempt runs or has ended without a stored response. A node that
    /// does not know the attempt has been replaced, together with the connection.
    pub async fn settle_or_wait(&self, attempt: &Attempt) -> Result<Response<CallBody>, CallError> {
        match self.fetch_settlement(attempt).await {
            Some(Settlement::NotRun) => Err(CallError::not_run(Reason::ConnectionLost)),
            Some(Settlement::Done(Some(answer))) => Ok(response_from_answer(answer)),
            Some(Settlement::Unknown) => Err(CallError::may_have_run(Reason::ConnectionLost)),
            Some(Settlement::Done(None) | Settlement::Running) | None => {
                std::future::pending().await
            }
        }
    }

    async fn fetch_settlement(&self, attempt: &Attempt) -> Option<Settlement> {
        let local = attempt.endpoint.node == self.entry.state.identity.node;
        if local || !self.entry.options.settle {
            return None;
        }
        self.entry.state.counters.settled.increment();
        let by = self.verdict_deadline();
        let settlement = self.entry.query_settlement(attempt, by);
        tokio::time::timeout_at(self.entry.state.clock.instant(by), settlement).await.ok().flatten()
    }
}

impl Entry {
    /// Asks for the outcome of an attempt until `deadline`; `None` if the node cannot be reached.
    pub(super) async fn query_settlement(
        &self,
        attempt: &Attempt,
        deadline: Deadline,
    ) -> Option<Settlement> {
        let mut connect_failures = 0;
        let mut running = false;
        while !deadline.is_past(self.state.clock.now()) {
            match self.query_settlement_once(attempt, deadline).await {
                Ok(Settlement::Running) => running = true,
                Ok(settlement) => return Some(settlement),
                Err(LinkError::NotSent) => connect_failures += 1,
                Err(LinkError::Lost | LinkError::TimedOut | LinkError::Silent(_)) => {}
            }
            if connect_failures >= MAX_CONNECT_FAILURES {
                return None;
            }
            tokio::time::sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await;
        }
        running.then_some(Settlement::Running)
    }

    async fn query_settlement_once(
        &self,
        attempt: &Attempt,
        deadline: Deadline,
    ) -> Result<Settlement, LinkError> {
        let req = self.control_request("settle", attempt, deadline);
        let (to, probe_after) = (attempt.endpoint.peer, Duration::from_millis(PROBE_AFTER_MS));
        let response =
            self.links.send_detecting_silence(to, req, deadline, false, probe_after).await?;
        let (mut parts, body) = response.into_parts();
        let text = headers::parse::<String>(&parts.headers, &headers::SETTLEMENT);
        match text.as_deref() {
            Some("not-run") => Ok(Settlement::NotRun),
            Some("running") => Ok(Settlement::Running),
            Some("done") if parts.headers.contains_key(headers::ANSWER) => {
                // The ledger keeps no larger answers than are read here.
                let Ok((body, None)) = read_up_to_limit(body).await else {
                    return Err(LinkError::Lost);
                };
                headers::strip_internal(&mut parts.headers);
                let (status, headers) = (parts.status, parts.headers);
                Ok(Settlement::Done(Some(Answer { status, headers, body })))
            }
            Some("done") => Ok(Settlement::Done(None)),
            _ => Ok(Settlement::Unknown),
        }
    }

    /// Cancels an attempt at its node, giving `reason`.
    pub(super) async fn cancel(&self, attempt: &Attempt, reason: Reason) {
        let limit = Duration::from_millis(CANCEL_TIMEOUT_MS);
        let deadline = Deadline::after(self.state.clock.now(), limit);
        let mut req = self.control_request("cancel", attempt, deadline);
        headers::set(req.headers_mut(), headers::REASON, &reason);
        if attempt.endpoint.node == self.state.identity.node {
            self.peer.handle_message(req).await;
            return;
        }
        // If the cancellation is lost, the peer still ends the attempt at its deadline.
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
        self.set_attempt_headers(req.headers_mut(), attempt, deadline);
        req
    }
}

/// Converts an answer stored in a ledger to the response for the caller.
pub(super) fn response_from_answer(answer: Answer) -> Response<CallBody> {
    let mut response = Response::new(full(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    headers::strip_internal(response.headers_mut());
    response
}
