//! The ledger of this node's attempts, in shards, with notification of their end and cancellation.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use goldcresttally_core::{AttemptId, Deadline, Map, MonoTime};
use goldcresttally_ledger::{Answer, Ledger, Options, Refusal, Settlement};
use tokio::sync::{Notify, SetOnce};

use super::attempt_info::AttemptInfo;
use crate::errors::{CallError, Reason};

/// Number of shards; it keeps lock contention between worker threads low.
const SHARD_COUNT: usize = 16;

/// Time after the deadline for which an attempt of a keyed call is retained, in seconds.
const KEYED_RETENTION_S: u64 = 120;

/// Cancels an attempt; contains the reason once it is set.
pub(super) type Cancellation = Arc<SetOnce<Reason>>;

#[derive(Debug)]
struct ShardState {
    ledger: Ledger,
    running: Map<AttemptId, Cancellation>,
}

#[derive(Debug)]
struct Shard {
    state: Mutex<ShardState>,
    ended: Notify,
}

/// The attempts that arrived at this node.
#[derive(Debug)]
pub(super) struct AttemptLedger {
    shards: Vec<Shard>,
}

impl Default for AttemptLedger {
    fn default() -> Self {
        let shard = |_| {
            let ledger = Ledger::new(Options::default());
            let state = Mutex::new(ShardState { ledger, running: Map::default() });
            Shard { state, ended: Notify::new() }
        };
        Self { shards: (0..SHARD_COUNT).map(shard).collect() }
    }
}

impl AttemptLedger {
    /// Records an attempt that arrived; returns its cancellation.
    ///
    /// Fails if the ledger is full, or if the attempt was settled or has arrived before.
    pub fn begin(&self, now: MonoTime, info: &AttemptInfo) -> Result<Cancellation, CallError> {
        let retention = info.keyed.then(|| Duration::from_secs(KEYED_RETENTION_S));
        let mut state = self.lock_shard(info.attempt);
        match state.ledger.begin(now, info.attempt, info.deadline, retention) {
            Ok(()) => {
                let cancelled = Cancellation::default();
                state.running.insert(info.attempt, Arc::clone(&cancelled));
                Ok(cancelled)
            }
            Err(Refusal::Full) => Err(CallError::not_run(Reason::LedgerFull)),
            Err(Refusal::Fenced | Refusal::Forgotten) => Err(CallError::not_run(Reason::Fenced)),
            // The first arrival of the attempt may have run it.
            Err(Refusal::Repeated) => Err(CallError::may_have_run(Reason::StillRunning)),
        }
    }

    /// Marks an attempt as sent to the upstream; fails if it was fenced in the meantime.
    pub fn dispatch(&self, id: AttemptId) -> Result<(), CallError> {
        let result = self.lock_shard(id).ledger.dispatch(id);
        result.or(Err(CallError::not_run(Reason::Fenced)))
    }

    /// Records that an attempt did not run.
    pub fn not_run(&self, id: AttemptId) {
        self.end(id, |ledger| ledger.not_run(id));
    }

    /// Records that an attempt ran, with its response if that was buffered.
    pub fn done(&self, id: AttemptId, answer: Option<Answer>) {
        self.end(id, |ledger| ledger.done(id, answer));
    }

    /// Records that an attempt was abandoned after it was sent to the upstream.
    pub fn abandoned(&self, id: AttemptId) {
        self.end(id, |ledger| ledger.abandoned(id));
    }

    /// Cancels an attempt that has not ended. One that has not arrived yet is fenced, so that it
    /// never runs.
    pub fn cancel(&self, now: MonoTime, id: AttemptId, deadline: Deadline, reason: Reason) {
        let mut state = self.lock_shard(id);
        match state.running.get(&id) {
            // If it is already cancelled, the first reason is kept.
            Some(cancelled) => {
                let _ = cancelled.set(reason);
            }
            None => {
                state.ledger.settle(now, id, deadline);
            }
        }
    }

    /// Returns the outcome of an attempt, waiting for its end until `until`.
    ///
    /// An attempt that has not arrived, or was not sent to the upstream yet, is fenced: it never
    /// runs.
    pub async fn settle(
        &self,
        now: MonoTime,
        id: AttemptId,
        deadline: Deadline,
        until: tokio::time::Instant,
    ) -> Settlement {
        let shard = self.shard(id);
        loop {
            // Registers for the notification before the check, so that an end in between is not
            // missed.
            let ended = shard.ended.notified();
            let settlement = self.lock_shard(id).ledger.settle(now, id, deadline);
            if settlement != Settlement::Running {
                return settlement;
            }
            if tokio::time::timeout_at(until, ended).await.is_err() {
                return Settlement::Running;
            }
        }
    }

    /// Returns the number of attempts and the bytes of stored answers.
    pub fn size(&self) -> (usize, usize) {
        self.shards.iter().fold((0, 0), |(entries, bytes), shard| {
            let state = lock(shard);
            (entries + state.ledger.len(), bytes + state.ledger.answer_bytes())
        })
    }

    fn end(&self, id: AttemptId, change: impl FnOnce(&mut Ledger)) {
        let shard = self.shard(id);
        {
            let mut state = lock(shard);
            change(&mut state.ledger);
            state.running.remove(&id)
        };
        shard.ended.notify_waiters();
    }

    fn shard(&self, id: AttemptId) -> &Shard {
        &self.shards[id.sequence as usize % SHARD_COUNT]
    }

    fn lock_shard(&self, id: AttemptId) -> MutexGuard<'_, ShardState> {
        lock(self.shard(id))
    }
}

fn lock(shard: &Shard) -> MutexGuard<'_, ShardState> {
    shard.state.lock().unwrap_or_else(PoisonError::into_inner)
}
