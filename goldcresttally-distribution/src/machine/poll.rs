//! Decides when this node polls the configuration table, and when a long poll has been lost.
//!
//! A long poll is held for a short time only, so that each answer also shows that the connection
//! still carries bytes. One that is not answered in time is given up and repeated over another
//! connection.

use std::time::Duration;

use goldcresttally_core::{Deadline, MonoTime};

use super::{Action, Distribution, Mode};

/// Maximum interval between polls while the platform does not answer, in seconds, unless the
/// regular interval is longer.
const OUTAGE_POLL_LIMIT_S: u64 = 3;

/// Maximum time from the start of a node until it polls, if there is a change feed and it knows no
/// other reader, in milliseconds.
const FIRST_POLL_MS: u64 = 1000;

/// Time for which the table may hold a long poll, in milliseconds.
const HOLD_MS: u64 = 1800;

/// The same after a poll that failed or was lost, so that the next answer comes soon.
const SHORT_HOLD_MS: u64 = 300;

/// Time for the answer of a long poll to begin once it is no longer held, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 700;

/// The same after a lost poll: the table may be slow, or the way to it congested.
const LONG_ANSWER_TIMEOUT_MS: u64 = 1400;

/// Time without further bytes after which an answer that has begun counts as lost, in milliseconds.
const PROGRESS_TIMEOUT_MS: u64 = 1500;

/// Time after the last bytes for which an answer counts as arriving, in milliseconds.
const ARRIVING_MS: u64 = 500;

/// The state of long polling.
#[derive(Debug, Default)]
pub(super) struct LongPoll {
    /// When the poll in progress counts as lost; `None` if none is in progress.
    answer_by: Option<Deadline>,
    /// Until when the answer counts as arriving.
    arriving_until: Option<Deadline>,
    /// Number of polls that failed or were lost since the last answer.
    failures: u32,
}

impl LongPoll {
    fn is_pending(&self) -> bool {
        self.answer_by.is_some()
    }

    /// Returns whether an answer is arriving.
    pub fn is_arriving(&self, now: MonoTime) -> bool {
        self.is_pending() && self.arriving_until.is_some_and(|until| !until.is_past(now))
    }

    /// Starts a poll; returns the time until which the table may hold it.
    fn start(&mut self, now: MonoTime) -> Deadline {
        let (hold_ms, timeout_ms) = match self.failures {
            0 => (HOLD_MS, ANSWER_TIMEOUT_MS),
            _ => (SHORT_HOLD_MS, LONG_ANSWER_TIMEOUT_MS),
        };
        let hold_until = Deadline::after(now, Duration::from_millis(hold_ms));
        let timeout = Duration::from_millis(timeout_ms);
        self.answer_by = Some(Deadline::after(hold_until.0, timeout));
        self.arriving_until = None;
        hold_until
    }
}

impl Distribution {
    /// Schedules the first poll with jitter, because nodes that start at once see no other members
    /// yet and would all poll. With a change feed, it leaves time to find the readers.
    pub(super) fn schedule_first_poll(&mut self, now: MonoTime) {
        let longest = match self.options.long_poll {
            true => Duration::from_millis(FIRST_POLL_MS),
            false => self.poll_interval(),
        };
        let delay = longest.mul_f64(self.rng.f64());
        self.next_poll = Deadline::after(now, delay);
    }

    pub(super) fn poll_if_due(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        if self.long_poll.answer_by.is_some_and(|answer_by| answer_by.is_past(now)) {
            self.long_poll.answer_by = None;
            self.long_poll.failures += 1;
            self.next_poll = Deadline(now);
            actions.push(Action::AbandonPoll);
        }
        let due = self.next_poll.is_past(now) && !self.long_poll.is_pending();
        if !due || !self.reads_table(now) {
            return;
        }
        let wait = self.poll_interval().mul_f64(0.9 + 0.2 * self.rng.f64());
        self.next_poll = Deadline::after(now, wait);
        let hold_until = match self.options.long_poll {
            true => self.long_poll.start(now),
            false => Deadline(now),
        };
        let position = self.feed_position();
        actions.push(Action::Poll { hold_until, position });
    }

    /// Allows more time for the answer of a long poll, which has begun or gone on to arrive.
    pub(super) fn on_poll_progress(&mut self, now: MonoTime) {
        if self.long_poll.is_pending() {
            let timeout = Duration::from_millis(PROGRESS_TIMEOUT_MS);
            self.long_poll.answer_by = Some(Deadline::after(now, timeout));
            let arriving = Duration::from_millis(ARRIVING_MS);
            self.long_poll.arriving_until = Some(Deadline::after(now, arriving));
        }
    }

    /// Repeats a long poll that has just returned.
    pub(super) fn repeat_long_poll(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        if self.long_poll.is_pending() {
            self.long_poll = LongPoll::default();
            self.next_poll = Deadline(now);
            self.poll_if_due(now, actions);
        }
    }

    /// Schedules the next poll after a failed one.
    pub(super) fn back_off_poll(&mut self, now: MonoTime) {
        self.discard_table_answer();
        self.long_poll.answer_by = None;
        self.long_poll.failures += 1;
        let longest = match self.options.long_poll {
            // The connection of a held poll may break while the table is well.
            true if self.long_poll.failures == 1 => Duration::ZERO,
            // Retried soon: without a long poll new versions arrive late, and the next may succeed.
            true => self.poll_interval(),
            false => Duration::from_secs(OUTAGE_POLL_LIMIT_S).max(self.poll_interval()),
        };
        let wait = longest.mul_f64(0.5 + 0.5 * self.rng.f64());
        self.next_poll = Deadline::after(now, wait);
    }

    /// Returns the interval at which a poller reads the table.
    ///
    /// If a partition splits the fleet into groups as small as the one that this node sees, there
    /// are `fleet_size / seen` groups, each with its own pollers. The interval keeps the reads of
    /// all of them together under `reads_per_second`.
    fn poll_interval(&self) -> Duration {
        if self.options.mode == Mode::Poll {
            return self.options.poll_interval;
        }
        let seen = self.topology.own_domain().len().max(1) as f64;
        let groups = (f64::from(self.options.fleet_size) / seen).max(1.0);
        let pollers = (self.options.pollers as f64).min(seen);
        let shared_interval = groups * pollers / f64::from(self.options.reads_per_second.max(1));
        self.options.poll_interval.max(Duration::from_secs_f64(shared_interval))
    }
}
