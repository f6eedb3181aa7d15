//! Merges received records into the membership view.

use std::time::Duration;

use goldcresttally_core::{Deadline, MonoTime, Version};

use super::{Action, Member, Membership};
use crate::record::{Record, Status};

/// Maximum number of records in one message that are broadcast further.
const REBROADCAST_MAX_RECORDS: usize = 16;

/// Time within which deaths count together towards a mass loss, in seconds.
const MASS_LOSS_WINDOW_S: u64 = 60;

impl Membership {
    /// Merges records and broadcasts the changed ones, unless there are many.
    pub(super) fn merge_received(
        &mut self,
        now: MonoTime,
        records: Vec<Record>,
        actions: &mut Vec<Action>,
    ) {
        // A long list, as in a join, is usually new to this node only.
        let rebroadcast = records.len() <= REBROADCAST_MAX_RECORDS;
        self.merge_records(now, records, rebroadcast, actions);
    }

    fn merge_records(
        &mut self,
        now: MonoTime,
        records: Vec<Record>,
        rebroadcast: bool,
        actions: &mut Vec<Action>,
    ) {
        let mut changed = false;
        for record in records {
            changed |= match record.id == self.own.id {
                true => self.merge_own(&record, actions),
                false => self.merge(now, record, rebroadcast),
            };
        }
        if changed {
            actions.push(Action::ViewChanged);
            self.update_isolation(now, actions);
        }
    }

    /// Refutes records that say this node is not alive; reports a later process at its address.
    fn merge_own(&mut self, record: &Record, actions: &mut Vec<Action>) -> bool {
        if record.generation > self.own.generation {
            actions.push(Action::Superseded { by: record.clone() });
            return false;
        }
        if record.status == Status::Alive || self.own.status == Status::Left {
            return false;
        }
        let current = record.generation == self.own.generation;
        if current && record.incarnation >= self.own.incarnation {
            self.own.incarnation = record.incarnation.next();
        }
        // A node that still sends an older record has missed an earlier refutation.
        self.broadcast_own();
        true
    }

    /// Stores a record of another node if it supersedes the stored one; returns whether it did.
    fn merge(&mut self, now: MonoTime, record: Record, rebroadcast: bool) -> bool {
        let stored = self.members.get(&record.id);
        if stored.is_some_and(|m| !record.supersedes(&m.record)) {
            return false;
        }
        // The death of an unknown node is not stored: there is nothing to do about it.
        if stored.is_none() && !record.status.is_member() {
            return false;
        }
        let same_generation = stored.filter(|m| m.record.generation == record.generation);
        let member = Member {
            suspicion: (record.status == Status::Suspect)
                .then(|| Deadline::after(now, self.suspicion_timeout())),
            tombstone: (!record.status.is_member())
                .then(|| Deadline::after(now, self.options.tombstone_retention)),
            died: (record.status == Status::Dead).then_some(now),
            // The version floor belongs to the address and outlives the process that set it.
            version: stored.map_or(Version(0), |m| m.version),
            refused: same_generation.map_or(Version(0), |m| m.refused),
            record: record.clone(),
        };
        self.members.insert(record.id, member);
        if rebroadcast {
            self.broadcasts.push(record);
        }
        true
    }

    /// Declares suspects dead that did not refute the suspicion in time.
    pub(super) fn expire_suspicions(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        self.update_isolation(now, actions);
        if self.isolated {
            return;
        }
        let expired = |m: &&Member| m.suspicion.is_some_and(|d| d.is_past(now));
        let dead: Vec<Record> =
            self.members.values().filter(expired).map(|m| m.record.clone()).collect();
        let dead = dead.into_iter().map(|r| Record { status: Status::Dead, ..r }).collect();
        self.merge_records(now, dead, true, actions);
    }

    pub(super) fn drop_tombstones(&mut self, now: MonoTime) {
        self.members.retain(|_, m| !m.tombstone.is_some_and(|d| d.is_past(now)));
    }

    /// Treats this node as isolated if it lost contact with most members within a short time: it
    /// then declares no other node dead and keeps the endpoints it knows.
    fn update_isolation(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        let window = Duration::from_secs(MASS_LOSS_WINDOW_S);
        let died_recently = |m: &Member| m.died.is_some_and(|at| now.since(at) < window);
        let members = self.members.values().filter(|m| m.record.status.is_member()).count();
        let suspects = self.members.values().filter(|m| m.record.status == Status::Suspect).count();
        let dead = self.members.values().filter(|m| died_recently(m)).count();
        // The node itself counts as reachable.
        let isolated = 2 * (suspects + dead) > members + dead + 1;
        if isolated != self.isolated {
            self.isolated = isolated;
            actions.push(Action::IsolationChanged { isolated });
        }
    }
}
