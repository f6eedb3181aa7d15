//! Decides whether this node knows that no newer version was accepted, and tells other nodes.
//!
//! The first members of each failure domain, its readers, follow the table. As long as the table
//! answers them, they send notices with the newest version to the other members of their domain
//! and to the readers of other domains. A member without recent notices reads the table itself. A
//! reader that the table does not answer relays what a reader of another domain has told it;
//! relayed notices are not relayed again.

use std::time::Duration;

use goldcresttally_core::{Deadline, FeedPosition, MonoTime, NodeId, Version};

use super::{Action, Distribution, Mode};
use crate::notice::Notice;

/// Interval between notices of a reader, in milliseconds.
const NOTICE_INTERVAL_MS: u64 = 400;

/// Time for which a notice counts, in milliseconds: two lost notices do not matter, and a version
/// can still be read from the table in time after it.
const NOTICE_LIFETIME_MS: u64 = 1200;

/// Time for which an answer of the table counts, in milliseconds: the time for which it may hold a
/// long poll, and the time limit for its answer.
const ANSWER_LIFETIME_MS: u64 = 2600;

/// Time from the start of a node until it reads the table without having received a notice, in
/// milliseconds.
const START_GRACE_MS: u64 = 1500;

/// A notice with the time until which it counts.
#[derive(Debug, Clone, Copy)]
struct Received {
    notice: Notice,
    until: Deadline,
}

/// What this node knows about the newest accepted version.
#[derive(Debug)]
pub(super) struct Freshness {
    /// The version in the last answer of the table, and until when that answer counts.
    answer: Option<(Version, Deadline)>,
    /// The last notice.
    received: Option<Received>,
    /// The last notice that came from a node to which the table had answered itself.
    received_direct: Option<Received>,
    /// Until when the notices received so far prove that the version in force is the newest.
    confirmed_until: Deadline,
    /// The position in the change feed at which the version in force was the newest.
    position: Option<FeedPosition>,
    next_notice: Deadline,
}

impl Freshness {
    pub fn new(now: MonoTime) -> Self {
        Self {
            answer: None,
            received: None,
            received_direct: None,
            confirmed_until: Deadline::after(now, Duration::from_millis(START_GRACE_MS)),
            position: None,
            next_notice: Deadline(now),
        }
    }
}

impl Distribution {
    /// Returns whether this node knows that the version in force was the newest a short time ago,
    /// as far as it can know.
    pub fn is_fresh(&self, now: MonoTime) -> bool {
        // Without a change feed there are no notices, and nodes poll at intervals.
        !self.options.long_poll
            || self.fresh_answer(now).is_some()
            || !self.freshness.confirmed_until.is_past(now)
    }

    /// Returns the position from which this node continues the change feed, if it has none of its
    /// own.
    pub fn feed_position(&self) -> Option<FeedPosition> {
        self.freshness.position
    }

    /// Returns whether this node follows the table: it is a reader of its domain, or it receives
    /// no notices.
    pub(super) fn reads_table(&self, now: MonoTime) -> bool {
        let reader = self.topology.position() < self.options.pollers;
        // An answer of the table is no substitute for notices: a later version needs another poll.
        let notified = !self.freshness.confirmed_until.is_past(now);
        self.options.mode == Mode::Poll || reader || (self.options.long_poll && !notified)
    }

    /// Records an answer of the table with its newest version.
    pub(super) fn on_table_answer(
        &mut self,
        now: MonoTime,
        version: Version,
        position: Option<FeedPosition>,
    ) {
        let until = Deadline::after(now, Duration::from_millis(ANSWER_LIFETIME_MS));
        self.freshness.answer = Some((version, until));
        self.freshness.position = position.max(self.freshness.position);
    }

    /// Discards the last answer of the table, which no longer answers.
    pub(super) fn discard_table_answer(&mut self) {
        self.freshness.answer = None;
    }

    /// Records a notice, and schedules a fetch of its version if that is newer.
    pub(super) fn on_notice(&mut self, now: MonoTime, from: NodeId, notice: Notice) {
        let until = Deadline::after(now, Duration::from_millis(NOTICE_LIFETIME_MS));
        let received = Received { notice, until };
        self.freshness.received = Some(received);
        if notice.direct {
            self.freshness.received_direct = Some(received);
        }
        self.confirm_by_notice();
        self.on_peer_version(now, from, notice.version, self.options.notice_repair_delay);
    }

    /// Applies the last notice once the version that it names is in force.
    pub(super) fn confirm_by_notice(&mut self) {
        let Some(Received { notice, until }) = self.freshness.received else { return };
        if notice.version <= self.version().max(self.refused) {
            let freshness = &mut self.freshness;
            freshness.confirmed_until = freshness.confirmed_until.max(until);
            freshness.position = notice.position.max(freshness.position);
        }
    }

    /// Sends notices if this node is a reader, and one is due or `newly_installed` is set.
    pub(super) fn notify_if_due(
        &mut self,
        now: MonoTime,
        newly_installed: bool,
        actions: &mut Vec<Action>,
    ) {
        let due = newly_installed || self.freshness.next_notice.is_past(now);
        let reader = self.topology.position() < self.options.pollers;
        if !(self.options.long_poll && self.options.mode == Mode::Tree && due && reader) {
            return;
        }
        let Some(notice) = self.own_notice(now) else { return };
        let interval = Duration::from_millis(NOTICE_INTERVAL_MS);
        self.freshness.next_notice = Deadline::after(now, interval);
        let own = self.own.id;
        let mut to: Vec<_> =
            self.topology.own_domain().iter().copied().filter(|id| *id != own).collect();
        if notice.direct {
            to.extend(self.topology.cross_domain_targets(self.options.pollers));
        }
        if !to.is_empty() {
            actions.push(Action::Notify { to, notice });
        }
    }

    /// Returns the notice that this node may send now: its own, or one that it relays.
    fn own_notice(&self, now: MonoTime) -> Option<Notice> {
        let version = self.version();
        if self.fresh_answer(now).is_some() {
            let position = self.freshness.position;
            return Some(Notice { version, position, direct: true });
        }
        let Received { notice, until } = self.freshness.received_direct?;
        let relayed = !until.is_past(now) && notice.version <= version;
        relayed.then_some(Notice { version, direct: false, ..notice })
    }

    /// Returns the version in the last answer of the table if that answer still counts.
    fn fresh_answer(&self, now: MonoTime) -> Option<Version> {
        let (version, until) = self.freshness.answer?;
        (!until.is_past(now) && version <= self.version().max(self.refused)).then_some(version)
    }
}
