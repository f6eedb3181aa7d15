//! Handles settle and cancel messages about attempts that were sent to this node.

use std::time::Duration;

use goldcresttally_core::{AttemptId, Deadline, Generation};
use goldcresttally_ledger::Settlement;
use http::{HeaderMap, Response};

use super::Peer;
use crate::body::{CallBody, full};
use crate::errors::{CallError, Reason};
use crate::headers;

/// Maximum time that one settle request waits for the attempt to end, in milliseconds.
const MAX_SETTLE_WAIT_MS: u64 = 30_000;

impl Peer {
    pub(super) async fn settle(&self, map: &HeaderMap) -> Response<CallBody> {
        let Some(id) = headers::parse::<AttemptId>(map, &headers::ATTEMPT) else {
            return CallError::not_run(Reason::BadRequest).into_response();
        };
        let generation = headers::parse::<Generation>(map, &headers::GENERATION);
        // The attempt was sent to an earlier process at this address. This one cannot know its
        // outcome, so it must not report that the attempt did not run.
        if generation != Some(self.state.identity.generation) {
            return settlement_response(Settlement::Unknown);
        }
        let now = self.state.clock.now();
        let wait = headers::time_left(map, &headers::DEADLINE_MS).unwrap_or(Duration::ZERO);
        let deadline = Deadline::after(now, wait);
        let limit = Deadline::after(now, Duration::from_millis(MAX_SETTLE_WAIT_MS)).min(deadline);
        let until = self.state.clock.instant(limit);
        settlement_response(self.attempts.settle(now, id, deadline, until).await)
    }

    pub(super) fn cancel(&self, map: &HeaderMap) -> Response<CallBody> {
        let generation = headers::parse::<Generation>(map, &headers::GENERATION);
        let id = headers::parse::<AttemptId>(map, &headers::ATTEMPT);
        if let Some(id) = id.filter(|_| generation == Some(self.state.identity.generation)) {
            let reason = headers::parse(map, &headers::REASON).unwrap_or(Reason::CallerGone);
            let now = self.state.clock.now();
            let left = headers::time_left(map, &headers::DEADLINE_MS).unwrap_or(Duration::ZERO);
            self.attempts.cancel(now, id, Deadline::after(now, left), reason);
        }
        Response::new(full(""))
    }
}

fn settlement_response(settlement: Settlement) -> Response<CallBody> {
    let (text, answer) = match settlement {
        Settlement::NotRun => ("not-run", None),
        Settlement::Running => ("running", None),
        Settlement::Unknown => ("unknown", None),
        Settlement::Done(answer) => ("done", answer),
    };
    let mut response = match answer {
        None => Response::new(full("")),
        Some(answer) => {
            let mut response = Response::new(full(answer.body));
            *response.status_mut() = answer.status;
            *response.headers_mut() = answer.headers;
            headers::set(response.headers_mut(), headers::ANSWER, "kept");
            response
        }
    };
    headers::set(response.headers_mut(), headers::SETTLEMENT, &text);
    response
}
