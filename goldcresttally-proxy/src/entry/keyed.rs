//! Calls with an idempotency key.
//!
//! A call writes a claim on its key to the table before it runs, so that of several calls with the
//! same key only one runs. The others get its response.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use goldcresttally_config::{Digest, OutagePolicy};
use goldcresttally_core::{BitRate, Deadline, Verdict};
use goldcresttally_ledger::{Claim, ClaimState, Fingerprint, Settlement};
use goldcresttally_routing::{CallAttempts, Endpoint, EndpointStats, Locality};
use http::{HeaderValue, Response, StatusCode};

use super::call::{Attempt, Call};
use super::hedging::AttemptGroup;
use super::settle::response_from_answer;
use crate::body::{CallBody, ReplayableBody, full};
use crate::claims::ClaimWriteOutcome;
use crate::clock::wall_ms;
use crate::errors::{CallError, Reason};
use crate::headers;

/// Time after which a claim expires, in milliseconds.
const CLAIM_RETENTION_MS: u64 = 24 * 3600 * 1000;

/// Maximum size of a response body that is stored in a claim, in bytes.
const MAX_CLAIM_BODY_BYTES: usize = 16 * 1024;

/// Maximum writes of one claim when the outcome of a write is unknown or conflicts.
const MAX_CLAIM_WRITES: usize = 4;

/// Maximum time that a repeated call waits for the first call to end, in milliseconds.
const MAX_REPEAT_WAIT_MS: u64 = 2000;

/// A claim that was written by this call, with the revision of its row.
#[derive(Debug, Clone)]
struct HeldClaim {
    row: String,
    revision: u64,
}

/// The outcome of an attempt to claim a key.
enum ClaimOutcome {
    /// This call holds the claim.
    Held(HeldClaim),
    /// Another call holds the claim and was answered with this response.
    Answered(Response<CallBody>),
}

impl Call {
    /// Claims the call's idempotency key, then runs the call.
    ///
    /// Returns the first call's response if the key was already used for the same request. Fails
    /// with `KeyReused` if it was used for another request, and with `StillRunning` if the first
    /// call has not ended.
    pub async fn run_keyed(
        &self,
        key: &HeaderValue,
        body: &ReplayableBody<CallBody>,
        tries: &mut CallAttempts,
    ) -> Result<Response<CallBody>, CallError> {
        // The fingerprint covers the whole body, so the body must fit into memory.
        if !body.is_whole() {
            return Err(CallError::not_run(Reason::BadRequest));
        }
        let fingerprint = self.fingerprint(body);
        let row = self.claim_row(key);
        let mut revision = 0;
        loop {
            let attempt = self.next_attempt(tries, &[])?;
            let claim = new_claim(&attempt, fingerprint);
            let held = match self.claim(&row, revision, &claim).await {
                Ok(ClaimOutcome::Held(held)) => held,
                Ok(ClaimOutcome::Answered(response)) => return Ok(response),
                Err(error) if self.runs_without_claim(&error) => {
                    return self.attempt(&attempt, body, true, &AttemptGroup::default()).await;
                }
                Err(error) => return Err(error),
            };
            match self.attempt(&attempt, body, true, &AttemptGroup::default()).await {
                Ok(response) => {
                    self.write_answer(held, claim, &response);
                    return Ok(response);
                }
                Err(error) => {
                    revision = held.revision;
                    let retry = match error.verdict {
                        Verdict::NotRun => {
                            let node = attempt.endpoint.node;
                            self.wait_for_retry(tries, node, error, body).await
                        }
                        // Only the attempt's node knows its outcome. The claim stays, so that a
                        // repeated call asks that node.
                        Verdict::MayHaveRun | Verdict::Ran => return Err(error),
                    };
                    if let Err(error) = retry {
                        self.write_in_background(held, Claim { state: ClaimState::Free, ..claim });
                        return Err(error);
                    }
                }
            }
        }
    }

    /// Writes the claim, or resolves the outcome of the call that already holds the key.
    async fn claim(
        &self,
        row: &str,
        revision: u64,
        claim: &Claim,
    ) -> Result<ClaimOutcome, CallError> {
        let mut expected = revision;
        for _ in 0..MAX_CLAIM_WRITES {
            if self.deadline.is_past(self.entry.state.clock.now()) {
                return Err(CallError::not_run(Reason::Deadline));
            }
            match self.entry.claims.write(row.to_owned(), expected, claim.encode()).await {
                ClaimWriteOutcome::Written(revision) => {
                    return Ok(ClaimOutcome::Held(HeldClaim { row: row.to_owned(), revision }));
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
            // The earlier write took effect although its outcome was unknown.
            if other.attempt == claim.attempt {
                return Ok(ClaimOutcome::Held(HeldClaim {
                    row: row.to_owned(),
                    revision: found.revision,
                }));
            }
            if let Some(response) = self.outcome_of_claim(&other, claim.fingerprint).await? {
                return Ok(ClaimOutcome::Answered(response));
            }
            expected = found.revision;
        }
        Err(CallError::not_run(Reason::TableUnavailable))
    }

    /// Returns the response of another call with the same key; `None` if the key is free.
    async fn outcome_of_claim(
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
                Ok(Some(replayed_response(*status, content_type, body)))
            }
            ClaimState::Answered { body: None, .. } => self.settle_claim(other, true).await,
            ClaimState::Running => self.settle_claim(other, false).await,
        }
    }

    /// Asks the node that received another call's attempt for its outcome.
    ///
    /// Returns `None` if the attempt did not run. `answered` says that the claim records an answer,
    /// in which case the attempt cannot be reported as not run.
    async fn settle_claim(
        &self,
        other: &Claim,
        answered: bool,
    ) -> Result<Option<Response<CallBody>>, CallError> {
        let unknown = if answered {
            CallError::ran(Reason::StillRunning)
        } else {
            CallError::may_have_run(Reason::StillRunning)
        };
        let Some(attempt) = attempt_from_claim(other) else {
            return Err(unknown);
        };
        let wait = Duration::from_millis(MAX_REPEAT_WAIT_MS);
        let limit = Deadline::after(self.entry.state.clock.now(), wait).min(self.deadline);
        match self.entry.query_settlement(&attempt, limit).await {
            Some(Settlement::NotRun) if !answered => Ok(None),
            Some(Settlement::Done(Some(answer))) => {
                let mut response = response_from_answer(answer);
                headers::set(response.headers_mut(), headers::REPLAYED, "true");
                Ok(Some(response))
            }
            Some(Settlement::Done(None)) => Err(CallError::ran(Reason::StillRunning)),
            _ => Err(unknown),
        }
    }

    fn runs_without_claim(&self, error: &CallError) -> bool {
        error.reason == Reason::TableUnavailable && self.route.on_table_outage == OutagePolicy::Run
    }

    /// Stores the response in the claim from a background task, so that the caller does not wait.
    /// Until it is written, a repeated call asks the node that ran the attempt.
    fn write_answer(&self, held: HeldClaim, claim: Claim, response: &Response<CallBody>) {
        let text = |name| response.headers().get(name).and_then(|v: &HeaderValue| v.to_str().ok());
        let content_type = text(http::header::CONTENT_TYPE).unwrap_or_default().to_owned();
        let status = response.status().as_u16();
        // A body that is too large for the claim is available from the node's ledger for as long as
        // the ledger retains it.
        let stored = response.extensions().get::<BufferedBody>().and_then(BufferedBody::text);
        let state = ClaimState::Answered { status, content_type, body: stored };
        self.write_in_background(held, Claim { state, ..claim });
    }

    fn write_in_background(&self, held: HeldClaim, claim: Claim) {
        let claims = Arc::clone(&self.entry.claims);
        self.entry.tasks.spawn(async move {
            // If this write is lost, the claim still names the attempt's node, which can be asked.
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
        let (service, key) = (&self.service.name, Digest::of(key.as_bytes()));
        // Accounts choose their keys independently of each other.
        match &self.account {
            Some(account) => format!("claim/{service}/{}/{key}", account.name),
            None => format!("claim/{service}/{key}"),
        }
    }
}

/// Response extension: the body of a buffered response, for storage in the claim.
#[derive(Debug, Clone)]
pub(super) struct BufferedBody(pub bytes::Bytes);

impl BufferedBody {
    fn text(&self) -> Option<String> {
        let small = self.0.len() <= MAX_CLAIM_BODY_BYTES;
        small.then(|| std::str::from_utf8(&self.0).ok().map(str::to_owned)).flatten()
    }
}

fn new_claim(attempt: &Attempt, fingerprint: Fingerprint) -> Claim {
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

fn attempt_from_claim(claim: &Claim) -> Option<Attempt> {
    let endpoint = Endpoint {
        trial_milli: 0,
        node: claim.holder,
        generation: claim.holder_generation,
        peer: claim.holder_peer.parse().ok()?,
        locality: Locality::Remote,
        link: BitRate::default(),
        slots: 1,
        ready: true,
        ready_since: goldcresttally_core::MonoTime(0),
        stats: Arc::new(EndpointStats::default()),
    };
    Some(Attempt { id: claim.attempt, endpoint })
}

fn replayed_response(status: u16, content_type: &str, body: &str) -> Response<CallBody> {
    let mut response = Response::new(full(body.to_owned()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    if !content_type.is_empty() {
        headers::set(response.headers_mut(), http::header::CONTENT_TYPE, content_type);
    }
    headers::set(response.headers_mut(), headers::REPLAYED, "true");
    response
}
