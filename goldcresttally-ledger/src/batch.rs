//! Groups claim writes into transactions, so that many calls cost the table a single write.

use std::time::Duration;

use goldcresttally_core::{Deadline, MonoTime, Rate, Set};

/// Maximum number of claims in one transaction.
const MAX_BATCH_CLAIMS: usize = 256;

/// Maximum number of claims waiting for a transaction.
const MAX_WAITING_CLAIMS: usize = 4096;

/// A conditional write of one claim; `T` is a handle for replying to the requester.
#[derive(Debug)]
pub struct ClaimWrite<T> {
    /// Key of the row.
    pub key: String,
    /// Revision that the row must have; 0 if it must not exist.
    pub expected: u64,
    /// The claim in its text form.
    pub value: String,
    /// Handle for the reply.
    pub reply: T,
}

/// Outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All rows were written and now have this revision.
    Written(u64),
    /// Nothing was written, because these rows did not have the expected revision.
    Conflict(Vec<String>),
    /// Nothing was written, because the transaction failed.
    Unavailable,
    /// Either all rows were written or none; the answer of the table was lost.
    Unknown,
}

/// Decides which claims go into which transaction, and when. At most one transaction is in flight.
#[derive(Debug)]
pub struct ClaimBatcher<T> {
    waiting: Vec<ClaimWrite<T>>,
    in_flight: bool,
    interval: Duration,
    next_due: Deadline,
}

impl<T> ClaimBatcher<T> {
    /// Returns a batcher that issues at most `rate` transactions per second.
    pub fn new(rate: Rate) -> Self {
        Self {
            waiting: Vec::new(),
            in_flight: false,
            interval: Duration::from_secs_f64(1.0 / rate.0.max(0.1)),
            next_due: Deadline(MonoTime(0)),
        }
    }

    /// Adds a write, or returns it as an error if too many are waiting.
    pub fn push(&mut self, write: ClaimWrite<T>) -> Result<(), ClaimWrite<T>> {
        if self.waiting.len() >= MAX_WAITING_CLAIMS {
            return Err(write);
        }
        self.waiting.push(write);
        Ok(())
    }

    /// Returns when the next transaction is due, or `None` if no write is waiting or a transaction
    /// is in flight.
    pub fn due(&self) -> Option<Deadline> {
        (!self.in_flight && !self.waiting.is_empty()).then_some(self.next_due)
    }

    /// Returns the next batch, if one is due, and marks it as in flight. A batch contains each row
    /// at most once.
    pub fn next_batch(&mut self, now: MonoTime) -> Option<Vec<ClaimWrite<T>>> {
        if !self.due()?.is_past(now) {
            return None;
        }
        let mut keys = Set::default();
        let mut batch = Vec::new();
        let mut rest = Vec::new();
        for write in self.waiting.drain(..) {
            match batch.len() < MAX_BATCH_CLAIMS && keys.insert(write.key.clone()) {
                true => batch.push(write),
                false => rest.push(write),
            }
        }
        self.waiting = rest;
        self.in_flight = true;
        self.next_due = Deadline::after(now, self.interval);
        Some(batch)
    }

    /// Handles the end of the transaction in flight; returns the finished writes and their
    /// outcomes.
    ///
    /// After a conflict on some rows, the writes of the other rows are queued again, ahead of the
    /// waiting ones.
    pub fn finish(
        &mut self,
        batch: Vec<ClaimWrite<T>>,
        outcome: &WriteOutcome,
    ) -> Vec<(ClaimWrite<T>, WriteOutcome)> {
        self.in_flight = false;
        let WriteOutcome::Conflict(keys) = outcome else {
            return batch.into_iter().map(|w| (w, outcome.clone())).collect();
        };
        let (conflicting, retried): (Vec<_>, Vec<_>) =
            batch.into_iter().partition(|w| keys.contains(&w.key));
        self.waiting.splice(0..0, retried);
        conflicting.into_iter().map(|w| (w, WriteOutcome::Conflict(Vec::new()))).collect()
    }
}
