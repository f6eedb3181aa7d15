//! The ledger in shards, with the means to wait for an attempt's end and to cancel it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use goldcresttally_core::{AttemptId, Deadline, Map, MonoTime};
use goldcresttally_ledger::{Answer, Ledger, Options, Refusal, Settlement};
use tokio::sync::{Notify, SetOnce};

use super::ticket::Ticket;
use crate::errors::{CallError, Reason};

/// Shards, so that threads seldom wait for each other.
const SHARDS: usize = 16;

/// Time for which an attempt of a keyed call is remembered after its deadline, in seconds.
const KEYED_RETENTION_S: u64 = 120;

/// Ends an attempt from outside; holds why, once it is cancelled.
pub(super) type Cancellation = Arc<SetOnce<Reason>>;

#[derive(Debug)]
struct Shard {
    ledger: Ledger,
    running: Map<AttemptId, Cancellation>,
}

#[derive(Debug)]
struct Cell {
    shard: Mutex<Shard>,
    ended: Notify,
}

/// The attempts that came to this node.
#[derive(Debug)]
pub(super) struct Attempts {
    cells: Vec<Cell>,
}

impl Default for Attempts {
    fn default() -> Self {
        let cell = |_| {
            let ledger = Ledger::new(Options::default());
            let shard = Mutex::new(Shard { ledger, running: Map::default() });
            Cell { shard, ended: Notify::new() }
        };
        Self { cells: (0..SHARDS).map(cell).collect() }
    }
}

impl Attempts {
    /// Notes an attempt that came; returns what cancels it.
    pub fn begin(&self, now: MonoTime, ticket: &Ticket) -> Result<Cancellation, CallError> {
        let retention = ticket.keyed.then(|| Duration::from_secs(KEYED_RETENTION_S));
        let mut shard = self.shard(ticket.attempt);
        match shard.ledger.begin(now, ticket.attempt, ticket.deadline, retention) {
            Ok(()) => {
                let cancelled = Cancellation::default();
                shard.running.insert(ticket.attempt, Arc::clone(&cancelled));
                Ok(cancelled)
            }
            Err(Refusal::Full) => Err(CallError::not_run(Reason::LedgerFull)),
            Err(Refusal::Fenced | Refusal::Forgotten) => Err(CallError::not_run(Reason::Fenced)),
            // What the first arrival did is not this one's to say.
            Err(Refusal::Repeated) => Err(CallError::may_have_run(Reason::StillRunning)),
        }
    }

    /// Marks an attempt as running; fails when it was fenced meanwhile.
    pub fn dispatch(&self, id: AttemptId) -> Result<(), CallError> {
        let result = self.shard(id).ledger.dispatch(id);
        result.or(Err(CallError::not_run(Reason::Fenced)))
    }

    /// Notes that an attempt did not run.
    pub fn not_run(&self, id: AttemptId) {
        self.end(id, |ledger| ledger.not_run(id));
    }

    /// Notes that an attempt ran, with its answer if that is at hand as a whole.
    pub fn done(&self, id: AttemptId, answer: Option<Answer>) {
        self.end(id, |ledger| ledger.done(id, answer));
    }

    /// Notes that an attempt was cut off while it ran.
    pub fn abandoned(&self, id: AttemptId) {
        self.end(id, |ledger| ledger.abandoned(id));
    }

    /// Cancels an attempt that has not ended; one that has not come yet never runs.
    pub fn cancel(&self, now: MonoTime, id: AttemptId, deadline: Deadline, reason: Reason) {
        let mut shard = self.shard(id);
        match shard.running.get(&id) {
            // The first reason stands.
            Some(cancelled) => {
                let _ = cancelled.set(reason);
            }
            None => {
                shard.ledger.settle(now, id, deadline);
            }
        }
    }

    /// Answers what became of an attempt, waiting for its end until `deadline`.
    pub async fn settle(
        &self,
        now: MonoTime,
        id: AttemptId,
        deadline: Deadline,
        until: tokio::time::Instant,
    ) -> Settlement {
        let cell = self.cell(id);
        loop {
            // Registered before the look, so that an end in between is not missed.
            let ended = cell.ended.notified();
            let settlement = self.shard(id).ledger.settle(now, id, deadline);
            if settlement != Settlement::Running {
                return settlement;
            }
            if tokio::time::timeout_at(until, ended).await.is_err() {
                return Settlement::Running;
            }
        }
    }

    /// Returns the attempts remembered and the bytes of answers kept.
    pub fn size(&self) -> (usize, usize) {
        self.cells.iter().fold((0, 0), |(entries, bytes), cell| {
            let shard = lock(cell);
            (entries + shard.ledger.len(), bytes + shard.ledger.answer_bytes())
        })
    }

    fn end(&self, id: AttemptId, change: impl FnOnce(&mut Ledger)) {
        let cell = self.cell(id);
        {
            let mut shard = lock(cell);
            change(&mut shard.ledger);
            shard.running.remove(&id)
        };
        cell.ended.notify_waiters();
    }

    fn cell(&self, id: AttemptId) -> &Cell {
        &self.cells[id.sequence as usize % SHARDS]
    }

    fn shard(&self, id: AttemptId) -> MutexGuard<'_, Shard> {
        lock(self.cell(id))
    }
}

fn lock(cell: &Cell) -> MutexGuard<'_, Shard> {
    cell.shard.lock().unwrap_or_else(PoisonError::into_inner)
}
