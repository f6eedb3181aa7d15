//! Decides when this node polls the configuration table.

use std::time::Duration;

use goldcresttally_core::{Deadline, MonoTime};

use super::{Action, Distribution, Mode};

/// Maximum interval between polls while the platform does not answer, in seconds, unless the
/// regular interval is longer.
const OUTAGE_POLL_LIMIT_S: u64 = 3;

impl Distribution {
    /// Schedules the first poll with jitter, because nodes that start at once see no other members
    /// yet and would all poll.
    pub(super) fn schedule_first_poll(&mut self, now: MonoTime) {
        let delay = self.poll_interval().mul_f64(self.rng.f64());
        self.next_poll = Deadline::after(now, delay);
    }

    pub(super) fn poll_if_due(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        if !self.next_poll.is_past(now) || self.long_poll_pending {
            return;
        }
        let wait = self.poll_interval().mul_f64(0.9 + 0.2 * self.rng.f64());
        self.next_poll = Deadline::after(now, wait);
        let polls =
            self.options.mode == Mode::Poll || self.topology.position() < self.options.pollers;
        if polls {
            self.long_poll_pending = self.options.long_poll;
            actions.push(Action::Poll);
        }
    }

    /// Repeats a long poll that has just returned.
    pub(super) fn repeat_long_poll(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        if self.long_poll_pending {
            self.long_poll_pending = false;
            self.next_poll = Deadline(now);
            self.poll_if_due(now, actions);
        }
    }

    /// Schedules the next poll after a failed one.
    pub(super) fn back_off_poll(&mut self, now: MonoTime) {
        let longest = match self.options.long_poll {
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
