//! Calls with an idempotency key: claimed in the table before they run.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use goldcresttally_config::{Digest, OutagePolicy};
use goldcresttally_core::{Deadline, Verdict};
use goldcresttally_ledger::{Claim, ClaimState, Fingerprint, Settlement};
use goldcresttally_routing::{CallAttempts, Endpoint, EndpointStats, Locality};
use http::{HeaderValue, Response, StatusCode};

use super::call::{Attempt, Call};
use super::race::Race;
use super::settle::answer_response;
use crate::body::{CallBody, ReplayableBody, full};
use crate::claims::ClaimWriteOutcome;
use crate::clock::wall_ms;
use crate::errors::{CallError, Reason};
use crate::headers;

/// Time for which a claim holds, in milliseconds.
const CLAIM_RETENTION_MS: u64 = 24 * 3600 * 1000;

/// Largest answer body that a claim keeps, in bytes.
const KEPT_BODY_LIMIT_BYTES: usize = 16 * 1024;

/// Tries to write one claim while its answers are lost.
const CLAIM_TRIES: usize = 4;

/// Longest time for which a repeat waits for the first call's end, in milliseconds.
const REPEAT_WAIT_MS: u64 = 2000;

/// A claim that this call holds.
#[derive(Debug, Clone)]
struct Held {
    row: String,
    revision: u64,
}

/// What came of trying to claim a key.
enum Claiming {
    /// This call holds the claim.
    Held(Held),
    /// Another call has it; here is its answer.
    Answered(Response<CallBody>),
}

impl Call {
    /// Runs the call under its key.
    pub async fn run_keyed(
        &self,
        key: &HeaderValue,
        body: &ReplayableBody<CallBody>,
        tries: &mut CallAttempts,
    ) -> Result<Response<CallBody>, CallError> {
        // The key means nothing without the whole of what it stands for.
        if !body.is_whole() {
            return Err(CallError::not_run(Reason::BadRequest));
        }
        let fingerprint = self.fingerprint(body);
        let row = self.claim_row(key);
        let mut revision = 0;
        loop {
            let attempt = self.next_attempt(tries, &[])?;
            let claim = claim_of(&attempt, fingerprint);
            let held = match self.claim(&row, revision, &claim).await {
                Ok(Claiming::Held(held)) => held,
                Ok(Claiming::Answered(response)) => return Ok(response),
                Err(error) if self.runs_unclaimed(&error) => {
                    return self.attempt(&attempt, body, true, &Race::default()).await;
                }
                Err(error) => return Err(error),
            };
            match self.attempt(&attempt, body, true, &Race::default()).await {
                Ok(response) => {
                    self.record_answer(held, claim, &response);
                    return Ok(response);
                }
                Err(error) => {
                    revision = held.revision;
                    let retry = match error.verdict {
                        Verdict::NotRun => {
                            let node = attempt.endpoint.node;
                            self.check_retry(tries, node, error, body).await
                        }
                        // Only the attempt's node can tell; a repeat asks it.
                        Verdict::MayHaveRun | Verdict::Ran => return Err(error),
                    };
                    if let Err(error) = retry {
                        self.record(held, Claim { state: ClaimState::Free, ..claim });
                        return Err(error);
                    }
                }
            }
        }
    }

    /// Writes the claim, or finds out who holds the key and what came of it.
    async fn claim(&self, row: &str, revision: u64, claim: &Claim) -> Result<Claiming, CallError> {
        let mut expected = revision;
        for _ in 0..CLAIM_TRIES {
            if self.deadline.is_past(self.entry.state.clock.now()) {
                return Err(CallError::not_run(Reason::Deadline));
            }
            match self.entry.claims.write(row.to_owned(), expected, claim.encode()).await {
                ClaimWriteOutcome::Written(revision) => {
                    return Ok(Claiming::Held(Held { row: row.to_owned(), revision }));
                }
                ClaimWriteOutcome::Unavailable => {
                    return Err(CallError::not_run(Reason::TableUnavailable));
                }
                ClaimWriteOutcome::Conflict | ClaimWriteOutcome::Unknown => {}
            }
            let Ok(found) = self.entry.claims.read(row.to_owned()).await else {
                return Err(CallError::not_run(Reason::TableUnavailable));
            };
            let Some(found) = found else {
                expected = 0;
                continue;
            };
            let Ok(other) = Claim::decode(&found.value) else {
                return Err(CallError::not_run(Reason::KeyReused));
            };
            // The write whose answer was lost took effect.
            if other.attempt == claim.attempt {
                return Ok(Claiming::Held(Held { row: row.to_owned(), revision: found.revision }));
            }
            if let Some(response) = self.outcome_of(&other, claim.fingerprint).await? {
                return Ok(Claiming::Answered(response));
            }
            expected = found.revision;
        }
        Err(CallError::not_run(Reason::TableUnavailable))
    }

    /// Returns what came of another call with the same key; `None` when the key is free.
    async fn outcome_of(
        &self,
        other: &Claim,
        fingerprint: Fingerprint,
    ) -> Result<Option<Response<CallBody>>, CallError> {
        if other.expires_at_ms <= wall_ms() {
            return Ok(None);
        }
        if other.fingerprint != fingerprint {
            return Err(CallError::not_run(Reason::KeyReused));
        }
        match &other.state {
            ClaimState::Free => Ok(None),
            ClaimState::Answered { status, content_type, body: Some(body) } => {
                Ok(Some(replayed(*status, content_type, body)))
            }
            ClaimState::Answered { body: None, .. } => self.settle_other(other, true).await,
            ClaimState::Running => self.settle_other(other, false).await,
        }
    }

    /// Asks the node that holds another call's attempt what became of it.
    async fn settle_other(
        &self,
        other: &Claim,
        answered: bool,
    ) -> Result<Option<Response<CallBody>>, CallError> {
        let unknown = if answered {
            CallError::ran(Reason::StillRunning)
        } else {
            CallError::may_have_run(Reason::StillRunning)
        };
        let Some(attempt) = attempt_of(other) else {
            return Err(unknown);
        };
        let wait = Duration::from_millis(REPEAT_WAIT_MS);
        let limit = Deadline::after(self.entry.state.clock.now(), wait).min(self.deadline);
        match self.entry.ask(&attempt, limit).await {
            Some(Settlement::NotRun) if !answered => Ok(None),
            Some(Settlement::Done(Some(answer))) => {
                let mut response = answer_response(answer);
                headers::set(response.headers_mut(), headers::REPLAYED, "true");
                Ok(Some(response))
            }
            Some(Settlement::Done(None)) => Err(CallError::ran(Reason::StillRunning)),
            _ => Err(unknown),
        }
    }

    fn runs_unclaimed(&self, error: &CallError) -> bool {
        error.reason == Reason::TableUnavailable && self.route.on_table_outage == OutagePolicy::Run
    }

    /// Writes the answer to the claim, behind the caller's back: until it is written, a repeat
    /// asks the node that ran the attempt.
    fn record_answer(&self, held: Held, claim: Claim, response: &Response<CallBody>) {
        let text = |name| response.headers().get(name).and_then(|v: &HeaderValue| v.to_str().ok());
        let content_type = text(http::header::CONTENT_TYPE).unwrap_or_default().to_owned();
        let status = response.status().as_u16();
        // The body is with the ledger for as long as its node remembers it.
        let kept = response.extensions().get::<KeptBody>().and_then(KeptBody::text);
        let state = ClaimState::Answered { status, content_type, body: kept };
        self.record(held, Claim { state, ..claim });
    }

    fn record(&self, held: Held, claim: Claim) {
        let claims = Arc::clone(&self.entry.claims);
        self.entry.tasks.spawn(async move {
            // Should this write be lost, the claim still names the attempt's node.
            claims.write(held.row, held.revision, claim.encode()).await;
        });
    }

    fn fingerprint(&self, body: &ReplayableBody<CallBody>) -> Fingerprint {
        let mut hasher = DefaultHasher::new();
        self.parts.method.hash(&mut hasher);
        self.parts.uri.path_and_query().map(http::uri::PathAndQuery::as_str).hash(&mut hasher);
        body.start().hash(&mut hasher);
        Fingerprint(hasher.finish())
    }

    fn claim_row(&self, key: &HeaderValue) -> String {
        format!("claim/{}/{}", self.service.name, Digest::of(key.as_bytes()))
    }
}

/// The body of a small answer, left with the response for the claim.
#[derive(Debug, Clone)]
pub(super) struct KeptBody(pub bytes::Bytes);

impl KeptBody {
    fn text(&self) -> Option<String> {
        let small = self.0.len() <= KEPT_BODY_LIMIT_BYTES;
        small.then(|| std::str::from_utf8(&self.0).ok().map(str::to_owned)).flatten()
    }
}

fn claim_of(attempt: &Attempt, fingerprint: Fingerprint) -> Claim {
    Claim {
        fingerprint,
        attempt: attempt.id,
        holder: attempt.endpoint.node,
        holder_peer: attempt.endpoint.peer.to_string(),
        holder_generation: attempt.endpoint.generation,
        expires_at_ms: wall_ms() + CLAIM_RETENTION_MS,
        state: ClaimState::Running,
    }
}

fn attempt_of(claim: &Claim) -> Option<Attempt> {
    let endpoint = Endpoint {
        node: claim.holder,
        generation: claim.holder_generation,
        peer: claim.holder_peer.parse().ok()?,
        locality: Locality::Remote,
        slots: 1,
        ready: true,
        ready_since: goldcresttally_core::MonoTime(0),
        stats: Arc::new(EndpointStats::default()),
    };
    Some(Attempt { id: claim.attempt, endpoint })
}

fn replayed(status: u16, content_type: &str, body: &str) -> Response<CallBody> {
    let mut response = Response::new(full(body.to_owned()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    if !content_type.is_empty() {
        headers::set(response.headers_mut(), http::header::CONTENT_TYPE, content_type);
    }
    headers::set(response.headers_mut(), headers::REPLAYED, "true");
    response
}
