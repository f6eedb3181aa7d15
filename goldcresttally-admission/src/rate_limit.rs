//! The rate limit that an upstream names in its answers, and the pacing of calls to it.

use std::time::Duration;

use goldcresttally_core::{MonoTime, Rate};

/// Minimum rate at which calls are sent, per second: an upstream that takes no calls can tell only in
/// an answer that it takes some again.
const MIN_RATE: f64 = 0.5;

/// Time for which unused calls of the limit may be saved up, in milliseconds.
const BURST_MS: u64 = 250;

/// The limit that one process of an upstream has named.
#[derive(Debug, Clone, Copy, Default)]
pub struct NamedLimit {
    rate: Option<Rate>,
    /// When an answer last named a limit.
    named_at: Option<MonoTime>,
    /// Whether an answer of the upstream was seen by this node.
    observed: bool,
}

impl NamedLimit {
    /// Returns the limit, if there is one.
    pub fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// Records an answer, which names a limit or none, to a call that was sent at `sent_at`; returns
    /// whether that changed the limit.
    ///
    /// The limit ends with an answer without one, but not with the answer to a call that was sent
    /// before the limit was known: it may be older than the limit.
    pub fn on_answer(&mut self, now: MonoTime, sent_at: MonoTime, named: Option<Rate>) -> bool {
        let is_later = self.named_at.is_none_or(|named_at| sent_at > named_at);
        self.observed = true;
        match named {
            Some(_) => self.named_at = Some(now),
            None if !is_later => return false,
            None => {}
        }
        std::mem::replace(&mut self.rate, named) != named
    }

    /// Records the limit that another node has seen; returns whether that changed the limit.
    ///
    /// Used only until this node has seen an answer itself, as after a restart.
    pub fn on_report(&mut self, now: MonoTime, rate: Rate) -> bool {
        if self.observed || self.rate.is_some() {
            return false;
        }
        self.rate = Some(rate);
        self.named_at = Some(now);
        true
    }
}

/// Spaces the calls to an upstream so that they keep to its limit in every period.
#[derive(Debug, Clone, Copy)]
pub struct Pacer {
    rate: f64,
    /// Calls that may be sent now, and the fraction of the next one.
    tokens: f64,
    updated_at: MonoTime,
}

impl Pacer {
    /// Returns a pacer that allows one call at once and then `rate`.
    pub fn new(now: MonoTime, rate: Rate) -> Self {
        Self { rate: rate.0.max(MIN_RATE), tokens: 1.0, updated_at: now }
    }

    /// Changes the rate; calls that were saved up are kept as far as the new rate allows.
    pub fn set_rate(&mut self, now: MonoTime, rate: Rate) {
        self.refill(now);
        self.rate = rate.0.max(MIN_RATE);
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Adds the calls that have become allowed since the last refill.
    pub fn refill(&mut self, now: MonoTime) {
        let elapsed = now.since(self.updated_at);
        self.updated_at = now;
        self.tokens = (self.tokens + self.rate * elapsed.as_secs_f64()).min(self.capacity());
    }

    /// Returns whether a call may be sent.
    pub fn allows_call(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Counts a call that is sent.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// Returns the number of calls that may be sent now.
    pub fn allowed_calls(&self) -> usize {
        self.tokens.max(0.0) as usize
    }

    /// Returns how long a call has to wait behind `ahead` others.
    pub fn wait_behind(&self, ahead: usize) -> Duration {
        let missing = (ahead as f64 + 1.0 - self.tokens).max(0.0);
        Duration::from_secs_f64(missing / self.rate)
    }

    /// Returns the mean time between calls.
    pub fn interval(&self) -> Duration {
        Duration::from_secs_f64(1.0 / self.rate)
    }

    fn capacity(&self) -> f64 {
        (self.rate * Duration::from_millis(BURST_MS).as_secs_f64()).max(1.0)
    }
}
