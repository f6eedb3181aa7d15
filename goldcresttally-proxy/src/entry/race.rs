//! The attempts of one call: mostly one, and more beside it while it is in doubt.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use goldcresttally_core::{AttemptId, NodeId};
use goldcresttally_routing::CallAttempts;
use http::Response;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::call::{Attempt, Call, failure_of, retry_jitter};
use crate::body::{CallBody, ReplayableBody};
use crate::errors::{CallError, Reason};

/// Why an attempt that has not ended may get no answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct Doubt {
    pub attempt: AttemptId,
    pub node: NodeId,
    pub reason: Reason,
}

/// What the attempts of one call tell each other.
#[derive(Debug, Default)]
pub(super) struct Race {
    /// Doubts about attempts in flight.
    doubts: Mutex<Vec<Doubt>>,
    doubted: Notify,
    won: AtomicBool,
}

impl Race {
    /// Notes a doubt; returns whether it is the first one about its attempt.
    pub fn doubt(&self, doubt: Doubt) -> bool {
        let mut doubts = self.doubts();
        if doubts.iter().any(|held| held.attempt == doubt.attempt) {
            return false;
        }
        doubts.push(doubt);
        self.doubted.notify_one();
        true
    }

    /// Notes the end of an attempt; returns whether it was in doubt.
    pub fn end(&self, attempt: AttemptId) -> bool {
        let mut doubts = self.doubts();
        let held = doubts.len();
        doubts.retain(|doubt| doubt.attempt != attempt);
        doubts.len() < held
    }

    /// Tells whether an attempt was answered.
    pub fn is_won(&self) -> bool {
        self.won.load(Ordering::Relaxed)
    }

    /// Tells whether all of `count` attempts in flight are in doubt.
    fn doubts_all(&self, count: usize) -> bool {
        self.doubts().len() >= count
    }

    /// Returns the latest doubt once all of `count` attempts in flight are in doubt.
    fn all_doubted(&self, count: usize) -> Option<Doubt> {
        let doubts = self.doubts();
        doubts.last().filter(|_| doubts.len() >= count).copied()
    }

    fn doubts(&self) -> MutexGuard<'_, Vec<Doubt>> {
        self.doubts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What happened in a race.
enum Step {
    Ended(NodeId, Result<Response<CallBody>, CallError>),
    Doubted,
    Due,
}

/// What a race has come to while it goes on.
#[derive(Debug, Default)]
struct Progress {
    /// The nodes of the attempts in flight.
    in_flight: Vec<NodeId>,
    /// When another attempt is made.
    next_at: Option<Instant>,
    /// An upstream's own failure, which says more than that of a later attempt.
    failed: Option<Response<CallBody>>,
}

impl Progress {
    /// Lets another attempt be made shortly.
    fn schedule(&mut self) {
        self.next_at = Some(Instant::now() + retry_jitter());
    }
}

/// Waits until another attempt is due.
async fn due(next_at: Option<Instant>) {
    match next_at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

impl Call {
    /// Makes attempts until one is answered, or none is in flight and no other may be made.
    ///
    /// An attempt in doubt goes on: only an answer to another one, the deadline or a caller that
    /// leaves cancels it.
    pub(super) async fn try_until_answered(
        &self,
        tries: &mut CallAttempts,
        body: &ReplayableBody<CallBody>,
    ) -> Result<Response<CallBody>, CallError> {
        let race = Race::default();
        let start = |attempt: Attempt| {
            let race = &race;
            async move {
                let node = attempt.endpoint.node;
                (node, self.attempt(&attempt, body, false, race).await)
            }
        };
        let mut running = FuturesUnordered::new();
        let mut progress = Progress::default();
        let first = self.next_attempt(tries, &[])?;
        progress.in_flight.push(first.endpoint.node);
        running.push(start(first));
        loop {
            let step = tokio::select! {
                biased;
                Some((node, result)) = running.next() => Step::Ended(node, result),
                () = race.doubted.notified(), if progress.next_at.is_none() => Step::Doubted,
                () = due(progress.next_at) => Step::Due,
            };
            match step {
                Step::Ended(_, Ok(response)) if !self.has_failed(&response) => {
                    race.won.store(true, Ordering::Relaxed);
                    return Ok(response);
                }
                Step::Ended(node, result) => {
                    let error = match result {
                        Ok(response) => {
                            progress.failed = Some(response);
                            CallError::ran(Reason::UpstreamFailed)
                        }
                        Err(error) => error,
                    };
                    progress.in_flight.retain(|at| *at != node);
                    self.on_failure(tries, node, &error, body, &race, &mut progress);
                    if running.is_empty() && progress.next_at.is_none() {
                        return progress.failed.ok_or(error);
                    }
                }
                Step::Doubted => {
                    if let Some(doubt) = race.all_doubted(running.len())
                        && self.may_hedge(tries, doubt, &progress.in_flight, body)
                    {
                        progress.schedule();
                    }
                }
                Step::Due => {
                    progress.next_at = None;
                    match self.next_attempt(tries, &progress.in_flight) {
                        Ok(attempt) => {
                            progress.in_flight.push(attempt.endpoint.node);
                            running.push(start(attempt));
                        }
                        Err(error) if running.is_empty() => return progress.failed.ok_or(error),
                        Err(_) => {}
                    }
                }
            }
        }
    }

    /// Notes that an attempt failed, and lets another one be made unless one is due or in flight
    /// without a doubt.
    fn on_failure(
        &self,
        tries: &mut CallAttempts,
        node: NodeId,
        error: &CallError,
        body: &ReplayableBody<CallBody>,
        race: &Race,
        progress: &mut Progress,
    ) {
        let covered = progress.next_at.is_some() || !race.doubts_all(progress.in_flight.len());
        if covered {
            tries.on_end(failure_of(error, body));
        } else if self.may_retry(tries, node, error, body) {
            progress.schedule();
        }
    }
}
