//! Retries and hedging: runs the attempts of one call until one is answered.
//!
//! Usually there is one attempt. A hedged attempt starts alongside it when it becomes suspected,
//! that is, when its connection broke or its node does not answer a probe.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use goldcresttally_core::{AttemptId, NodeId};
use goldcresttally_routing::CallAttempts;
use http::Response;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::call::{Attempt, Call, classify_failure, retry_jitter};
use crate::body::{CallBody, ReplayableBody};
use crate::errors::{CallError, Reason};

/// A suspicion that an attempt in flight will get no answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct Suspicion {
    pub attempt: AttemptId,
    pub node: NodeId,
    pub reason: Reason,
}

/// State shared by the concurrent attempts of one call.
#[derive(Debug, Default)]
pub(super) struct AttemptGroup {
    /// Suspicions about attempts in flight.
    suspicions: Mutex<Vec<Suspicion>>,
    suspected: Notify,
    answered: AtomicBool,
}

impl AttemptGroup {
    /// Records a suspicion; returns whether it is the first one about its attempt.
    pub fn suspect(&self, suspicion: Suspicion) -> bool {
        let mut suspicions = self.lock_suspicions();
        if suspicions.iter().any(|known| known.attempt == suspicion.attempt) {
            return false;
        }
        suspicions.push(suspicion);
        self.suspected.notify_one();
        true
    }

    /// Records the end of an attempt; returns whether it was suspected.
    pub fn finish(&self, attempt: AttemptId) -> bool {
        let mut suspicions = self.lock_suspicions();
        let before = suspicions.len();
        suspicions.retain(|suspicion| suspicion.attempt != attempt);
        suspicions.len() < before
    }

    /// Returns whether an attempt was answered.
    pub fn is_answered(&self) -> bool {
        self.answered.load(Ordering::Relaxed)
    }

    /// Returns whether at least `count` attempts, all that are in flight, are suspected.
    fn are_all_suspected(&self, count: usize) -> bool {
        self.lock_suspicions().len() >= count
    }

    /// Returns the latest suspicion if all `count` attempts in flight are suspected.
    fn last_if_all_suspected(&self, count: usize) -> Option<Suspicion> {
        let suspicions = self.lock_suspicions();
        suspicions.last().filter(|_| suspicions.len() >= count).copied()
    }

    fn lock_suspicions(&self) -> MutexGuard<'_, Vec<Suspicion>> {
        self.suspicions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What happened to the attempts of a group.
enum Event {
    Ended(NodeId, Result<Response<CallBody>, CallError>),
    Suspected,
    RetryDue,
}

/// The progress of a group that has no answer yet.
#[derive(Debug, Default)]
struct Progress {
    /// The nodes of the attempts in flight.
    in_flight: Vec<NodeId>,
    /// When the next attempt is due; `None` if none is scheduled.
    retry_at: Option<Instant>,
    /// The latest server error of an upstream, returned if no attempt succeeds: it tells the caller
    /// more than an error of the proxy does.
    failure: Option<Response<CallBody>>,
}

impl Progress {
    /// Schedules the next attempt after a short random delay.
    fn schedule_attempt(&mut self) {
        self.retry_at = Some(Instant::now() + retry_jitter());
    }
}

/// Waits until `retry_at`, or forever without one.
async fn wait_until(retry_at: Option<Instant>) {
    match retry_at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

impl Call {
    /// Makes attempts until one is answered, or until none is in flight and no other is allowed.
    ///
    /// A suspected attempt continues. It is cancelled only when another attempt is answered, the
    /// deadline passes or the caller disconnects.
    pub(super) async fn try_until_answered(
        &self,
        tries: &mut CallAttempts,
        body: &ReplayableBody<CallBody>,
    ) -> Result<Response<CallBody>, CallError> {
        let group = AttemptGroup::default();
        let start = |attempt: Attempt| {
            let group = &group;
            async move {
                let node = attempt.endpoint.node;
                (node, self.attempt(&attempt, body, false, group).await)
            }
        };
        let mut running = FuturesUnordered::new();
        let mut progress = Progress::default();
        let first = self.next_attempt(tries, &[])?;
        progress.in_flight.push(first.endpoint.node);
        running.push(start(first));
        loop {
            let event = tokio::select! {
                biased;
                Some((node, result)) = running.next() => Event::Ended(node, result),
                () = group.suspected.notified(), if progress.retry_at.is_none() => Event::Suspected,
                () = wait_until(progress.retry_at) => Event::RetryDue,
            };
            match event {
                Event::Ended(_, Ok(response)) if !self.may_retry_response(&response) => {
                    group.answered.store(true, Ordering::Relaxed);
                    return Ok(response);
                }
                Event::Ended(node, result) => {
                    let error = match result {
                        Ok(response) => {
                            progress.failure = Some(response);
                            CallError::ran(Reason::UpstreamFailed)
                        }
                        Err(error) => error,
                    };
                    progress.in_flight.retain(|at| *at != node);
                    self.on_failure(tries, node, &error, body, &group, &mut progress);
                    if running.is_empty() && progress.retry_at.is_none() {
                        return progress.failure.ok_or(error);
                    }
                }
                Event::Suspected => {
                    if let Some(suspicion) = group.last_if_all_suspected(running.len())
                        && self.may_hedge(tries, suspicion, &progress.in_flight, body)
                    {
                        progress.schedule_attempt();
                    }
                }
                Event::RetryDue => {
                    progress.retry_at = None;
                    match self.next_attempt(tries, &progress.in_flight) {
                        Ok(attempt) => {
                            progress.in_flight.push(attempt.endpoint.node);
                            running.push(start(attempt));
                        }
                        Err(error) if running.is_empty() => return progress.failure.ok_or(error),
                        Err(_) => {}
                    }
                }
            }
        }
    }

    /// Records that an attempt failed, and schedules another one unless one is already due or in
    /// flight without a suspicion.
    fn on_failure(
        &self,
        tries: &mut CallAttempts,
        node: NodeId,
        error: &CallError,
        body: &ReplayableBody<CallBody>,
        group: &AttemptGroup,
        progress: &mut Progress,
    ) {
        let has_other_attempt =
            progress.retry_at.is_some() || !group.are_all_suspected(progress.in_flight.len());
        if has_other_attempt {
            tries.on_end(classify_failure(error, body));
        } else if self.may_retry(tries, node, error, body) {
            progress.schedule_attempt();
        }
    }
}
