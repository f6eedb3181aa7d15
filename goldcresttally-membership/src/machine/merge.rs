//! Merges claims into the view.

use goldcresttally_core::{Deadline, MonoTime, Version};

use super::{Action, Member, Membership};
use crate::record::{Record, Status};

impl Membership {
    pub(super) fn merge_all(
        &mut self,
        now: MonoTime,
        records: Vec<Record>,
        actions: &mut Vec<Action>,
    ) {
        let mut changed = false;
        for record in records {
            changed |= match record.id == self.own.id {
                true => self.merge_own(&record, actions),
                false => self.merge(now, record),
            };
        }
        if changed {
            actions.push(Action::ViewChanged);
            self.update_isolation(actions);
        }
    }

    /// Refutes claims that this node is not alive; reports a later process at its address.
    fn merge_own(&mut self, record: &Record, actions: &mut Vec<Action>) -> bool {
        if record.generation > self.own.generation {
            actions.push(Action::Superseded { by: record.clone() });
            return false;
        }
        let outdated = record.generation < self.own.generation;
        let harmless = record.status == Status::Alive || self.own.status == Status::Left;
        if outdated || harmless || record.incarnation < self.own.incarnation {
            return false;
        }
        self.own.incarnation = record.incarnation.next();
        self.broadcast_own();
        true
    }

    /// Takes a claim about another node if it supersedes what is held; returns whether it did.
    pub(super) fn merge(&mut self, now: MonoTime, record: Record) -> bool {
        let held = self.members.get(&record.id);
        if held.is_some_and(|m| !record.supersedes(&m.record)) {
            return false;
        }
        // News of a death that nobody can act on any more is not worth keeping.
        if held.is_none() && !record.status.is_member() {
            return false;
        }
        let same_life = held.filter(|m| m.record.generation == record.generation);
        let member = Member {
            suspicion: (record.status == Status::Suspect)
                .then(|| Deadline::after(now, self.suspicion_timeout())),
            tombstone: (!record.status.is_member())
                .then(|| Deadline::after(now, self.options.tombstone_retention)),
            // The version floor of an address outlives the process that set it.
            version: held.map_or(Version(0), |m| m.version),
            refused: same_life.map_or(Version(0), |m| m.refused),
            heard: same_life.and_then(|m| m.heard),
            record: record.clone(),
        };
        self.members.insert(record.id, member);
        self.broadcasts.push(record);
        true
    }

    /// Declares suspects dead whose time to refute is over.
    pub(super) fn end_suspicions(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        self.update_isolation(actions);
        if self.isolated {
            return;
        }
        let over = |m: &&Member| m.suspicion.is_some_and(|d| d.is_past(now));
        let dead: Vec<Record> =
            self.members.values().filter(over).map(|m| m.record.clone()).collect();
        let dead = dead.into_iter().map(|r| Record { status: Status::Dead, ..r }).collect();
        self.merge_all(now, dead, actions);
    }

    pub(super) fn drop_tombstones(&mut self, now: MonoTime) {
        self.members.retain(|_, m| !m.tombstone.is_some_and(|d| d.is_past(now)));
    }

    /// Suspects this node itself when most of all members, itself included, are suspect at once:
    /// it then keeps the endpoints it knows instead of emptying its table.
    fn update_isolation(&mut self, actions: &mut Vec<Action>) {
        let members = self.members.values().filter(|m| m.record.status.is_member()).count();
        let suspects = self.members.values().filter(|m| m.record.status == Status::Suspect).count();
        let isolated = 2 * suspects > members + 1;
        if isolated != self.isolated {
            self.isolated = isolated;
            actions.push(Action::IsolationChanged { isolated });
        }
    }
}
