//! Merges claims into the view.

use std::time::Duration;

use goldcresttally_core::{Deadline, MonoTime, Version};

use super::{Action, Member, Membership};
use crate::record::{Record, Status};

/// Records in one message above which none of them is passed on.
const BULK_RECORDS: usize = 16;

/// Time within which the loss of most members counts as one event, in seconds.
const MASS_LOSS_WINDOW_S: u64 = 60;

impl Membership {
    /// Merges claims that others made.
    pub(super) fn merge_all(
        &mut self,
        now: MonoTime,
        records: Vec<Record>,
        actions: &mut Vec<Action>,
    ) {
        // What comes by the dozen is news to this node alone, as when it joins.
        let pass_on = records.len() <= BULK_RECORDS;
        self.merge_claims(now, records, pass_on, actions);
    }

    fn merge_claims(
        &mut self,
        now: MonoTime,
        records: Vec<Record>,
        pass_on: bool,
        actions: &mut Vec<Action>,
    ) {
        let mut changed = false;
        for record in records {
            changed |= match record.id == self.own.id {
                true => self.merge_own(&record, actions),
                false => self.merge(now, record, pass_on),
            };
        }
        if changed {
            actions.push(Action::ViewChanged);
            self.update_isolation(now, actions);
        }
    }

    /// Refutes claims that this node is not alive; reports a later process at its address.
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
        // Whoever still makes this claim has missed an earlier refutation.
        self.broadcast_own();
        true
    }

    /// Takes a claim about another node if it supersedes what is held; returns whether it did.
    fn merge(&mut self, now: MonoTime, record: Record, pass_on: bool) -> bool {
        let held = self.members.get(&record.id);
        if held.is_some_and(|m| !record.supersedes(&m.record)) {
            return false;
        }
        // News of a death that nobody can act on any more is not worth keeping.
        if held.is_none() && !record.status.is_member() {
            return false;
        }
        let same_generation = held.filter(|m| m.record.generation == record.generation);
        let member = Member {
            suspicion: (record.status == Status::Suspect)
                .then(|| Deadline::after(now, self.suspicion_timeout())),
            tombstone: (!record.status.is_member())
                .then(|| Deadline::after(now, self.options.tombstone_retention)),
            died: (record.status == Status::Dead).then_some(now),
            // The version floor of an address outlives the process that set it.
            version: held.map_or(Version(0), |m| m.version),
            refused: same_generation.map_or(Version(0), |m| m.refused),
            record: record.clone(),
        };
        self.members.insert(record.id, member);
        if pass_on {
            self.broadcasts.push(record);
        }
        true
    }

    /// Declares suspects dead whose time to refute is over.
    pub(super) fn end_suspicions(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        self.update_isolation(now, actions);
        if self.isolated {
            return;
        }
        let over = |m: &&Member| m.suspicion.is_some_and(|d| d.is_past(now));
        let dead: Vec<Record> =
            self.members.values().filter(over).map(|m| m.record.clone()).collect();
        let dead = dead.into_iter().map(|r| Record { status: Status::Dead, ..r }).collect();
        self.merge_claims(now, dead, true, actions);
    }

    pub(super) fn drop_tombstones(&mut self, now: MonoTime) {
        self.members.retain(|_, m| !m.tombstone.is_some_and(|d| d.is_past(now)));
    }

    /// Suspects this node itself when it lost sight of most of all members within a short time: it
    /// then declares nobody else dead and keeps the endpoints it knows.
    fn update_isolation(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        let window = Duration::from_secs(MASS_LOSS_WINDOW_S);
        let died_of_late = |m: &Member| m.died.is_some_and(|at| now.since(at) < window);
        let members = self.members.values().filter(|m| m.record.status.is_member()).count();
        let suspects = self.members.values().filter(|m| m.record.status == Status::Suspect).count();
        let dead = self.members.values().filter(|m| died_of_late(m)).count();
        // This node counts as one that is not lost.
        let isolated = 2 * (suspects + dead) > members + dead + 1;
        if isolated != self.isolated {
            self.isolated = isolated;
            actions.push(Action::IsolationChanged { isolated });
        }
    }
}
