//! Decides when this node reads the table.

use std::time::Duration;

use goldcresttally_core::{Deadline, MonoTime};

use super::{Action, Distribution, Mode};

/// Longest interval between polls while the platform does not answer, in seconds.
const OUTAGE_POLL_LIMIT_S: u64 = 3;

impl Distribution {
    /// Spreads the first polls of nodes that start at once and see no others yet.
    pub(super) fn schedule_first_poll(&mut self, now: MonoTime) {
        let spread = self.poll_interval().mul_f64(self.rng.f64());
        self.next_poll = Deadline::after(now, spread);
    }

    pub(super) fn poll_if_due(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        if !self.next_poll.is_past(now) || self.watching {
            return;
        }
        let wait = self.poll_interval().mul_f64(0.9 + 0.2 * self.rng.f64());
        self.next_poll = Deadline::after(now, wait);
        let polls =
            self.options.mode == Mode::Poll || self.topology.position() < self.options.pollers;
        if polls {
            self.watching = self.options.long_poll;
            actions.push(Action::Poll);
        }
    }

    /// Asks a feed for what comes after what it has just told.
    pub(super) fn watch_again(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        if self.watching {
            self.watching = false;
            self.next_poll = Deadline(now);
            self.poll_if_due(now, actions);
        }
    }

    pub(super) fn back_off_poll(&mut self, now: MonoTime) {
        let longest = match self.options.long_poll {
            // A feed that broke is missed by callers; the next one may hold.
            true => self.poll_interval(),
            false => Duration::from_secs(OUTAGE_POLL_LIMIT_S).max(self.poll_interval()),
        };
        let wait = longest.mul_f64(0.5 + 0.5 * self.rng.f64());
        self.next_poll = Deadline::after(now, wait);
    }

    /// Returns the interval at which a poller reads the table.
    ///
    /// A fleet that has fallen into groups as small as the one this node sees has `fleet / seen`
    /// groups with their own pollers; all of them together stay under the limit on reads.
    fn poll_interval(&self) -> Duration {
        if self.options.mode == Mode::Poll {
            return self.options.poll_interval;
        }
        let seen = self.topology.own_domain().len().max(1) as f64;
        let groups = (f64::from(self.options.fleet_size) / seen).max(1.0);
        let pollers = (self.options.pollers as f64).min(seen);
        let shared = groups * pollers / f64::from(self.options.reads_per_second.max(1));
        self.options.poll_interval.max(Duration::from_secs_f64(shared))
    }
}
