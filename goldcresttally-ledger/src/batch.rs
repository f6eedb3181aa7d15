//! Groups writes of claims into transactions, so that many calls cost the table one write.

use std::time::Duration;

use goldcresttally_core::{Deadline, MonoTime, Rate, Set};

/// Most claims in one transaction.
const BATCH_LIMIT: usize = 256;

/// Most claims that wait for a transaction.
const WAITING_LIMIT: usize = 4096;

/// A conditional write of one claim; `T` is the way back to whoever asked for it.
#[derive(Debug)]
pub struct ClaimWrite<T> {
    /// The row.
    pub key: String,
    /// The revision that the row must have; 0 when it must not exist.
    pub expected: u64,
    /// The claim's text.
    pub value: String,
    /// The way back.
    pub reply: T,
}

/// How a transaction ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All rows were written, with this revision.
    Written(u64),
    /// Nothing was written, because these rows were not as expected.
    Conflict(Vec<String>),
    /// Nothing was written.
    Unavailable,
    /// All or nothing was written.
    Unknown,
}

/// Decides which claims go into which transaction, and when; one transaction is out at a time.
#[derive(Debug)]
pub struct ClaimBatcher<T> {
    waiting: Vec<ClaimWrite<T>>,
    in_flight: bool,
    interval: Duration,
    next: Deadline,
}

impl<T> ClaimBatcher<T> {
    /// Returns a batcher that sends at most `rate` transactions per second.
    pub fn new(rate: Rate) -> Self {
        Self {
            waiting: Vec::new(),
            in_flight: false,
            interval: Duration::from_secs_f64(1.0 / rate.0.max(0.1)),
            next: Deadline(MonoTime(0)),
        }
    }

    /// Adds a write; gives it back when too many wait.
    pub fn push(&mut self, write: ClaimWrite<T>) -> Result<(), ClaimWrite<T>> {
        if self.waiting.len() >= WAITING_LIMIT {
            return Err(write);
        }
        self.waiting.push(write);
        Ok(())
    }

    /// Returns when the next transaction is due; `None` while nothing waits or one is out.
    pub fn due(&self) -> Option<Deadline> {
        (!self.in_flight && !self.waiting.is_empty()).then_some(self.next)
    }

    /// Takes the next batch if one is due; a row is in a batch once.
    pub fn next_batch(&mut self, now: MonoTime) -> Option<Vec<ClaimWrite<T>>> {
        if !self.due()?.is_past(now) {
            return None;
        }
        let mut keys = Set::default();
        let mut batch = Vec::new();
        let mut left = Vec::new();
        for write in self.waiting.drain(..) {
            match batch.len() < BATCH_LIMIT && keys.insert(write.key.clone()) {
                true => batch.push(write),
                false => left.push(write),
            }
        }
        self.waiting = left;
        self.in_flight = true;
        self.next = Deadline::after(now, self.interval);
        Some(batch)
    }

    /// Takes the end of the transaction that was out.
    ///
    /// Returns each write with its own outcome. After a conflict on some rows the others are
    /// queued again, ahead of what waits.
    pub fn finish(
        &mut self,
        batch: Vec<ClaimWrite<T>>,
        outcome: &WriteOutcome,
    ) -> Vec<(ClaimWrite<T>, WriteOutcome)> {
        self.in_flight = false;
        let WriteOutcome::Conflict(keys) = outcome else {
            return batch.into_iter().map(|w| (w, outcome.clone())).collect();
        };
        let (lost, again): (Vec<_>, Vec<_>) =
            batch.into_iter().partition(|w| keys.contains(&w.key));
        self.waiting.splice(0..0, again);
        lost.into_iter().map(|w| (w, WriteOutcome::Conflict(Vec::new()))).collect()
    }
}
