//! Probes one member in each interval, directly and then through others.

use std::time::Duration;

use goldcresttally_core::{Deadline, Map, MonoTime, NodeId};

use super::{Action, Membership};
use crate::message::Body;
use crate::record::{Record, Status};

/// Time for which a probe made on another's behalf is remembered, in milliseconds.
const RELAY_TIMEOUT_MS: u64 = 2000;

/// A probe made on another member's behalf.
#[derive(Debug)]
struct Relay {
    requester: NodeId,
    sequence: u64,
    deadline: Deadline,
}

/// The probe in flight.
#[derive(Debug)]
struct Pending {
    target: NodeId,
    sequence: u64,
    /// When other members are asked to probe.
    indirect: Option<Deadline>,
}

/// The state of probing.
#[derive(Debug)]
pub(super) struct Probe {
    order: Vec<NodeId>,
    pending: Option<Pending>,
    next: Deadline,
    sequence: u64,
    relays: Map<u64, Relay>,
}

impl Probe {
    pub fn new(now: MonoTime) -> Self {
        let next = Deadline(now);
        Self { order: Vec::new(), pending: None, next, sequence: now.0, relays: Map::default() }
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}

impl Membership {
    pub(super) fn probe_members(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        self.probe_indirectly(now, actions);
        if !self.probe.next.is_past(now) {
            return;
        }
        if let Some(pending) = self.probe.pending.take() {
            self.suspect(now, pending.target, actions);
        }
        self.probe.relays.retain(|_, r| !r.deadline.is_past(now));
        self.probe.next = Deadline::after(now, self.options.probe_interval);
        if let Some(target) = self.next_target() {
            self.start_probe(now, target, actions);
        }
        self.probe_lost(actions);
    }

    fn start_probe(&mut self, now: MonoTime, target: NodeId, actions: &mut Vec<Action>) {
        let sequence = self.probe.next_sequence();
        let indirect = Some(Deadline::after(now, self.options.probe_timeout));
        self.probe.pending = Some(Pending { target, sequence, indirect });
        self.ping(target, sequence, actions);
    }

    fn ping(&mut self, target: NodeId, sequence: u64, actions: &mut Vec<Action>) {
        let mut updates = self.take_updates();
        // Tells a suspect what is said of it, so that it can refute that at once.
        let held = self.members.get(&target).map(|m| m.record.clone());
        updates.extend(held.filter(|r| r.status != Status::Alive));
        self.send(target, Body::Ping { sequence }, updates, actions);
    }

    /// Asks other members to probe when the target has not answered in time.
    fn probe_indirectly(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        let Some(pending) = &mut self.probe.pending else {
            return;
        };
        if !pending.indirect.is_some_and(|d| d.is_past(now)) {
            return;
        }
        pending.indirect = None;
        let (target, sequence) = (pending.target, pending.sequence);
        for to in self.random_members(self.options.indirect_probes + 1) {
            if to != target {
                self.send(to, Body::PingRequest { sequence, target }, Vec::new(), actions);
            }
        }
    }

    /// Probes on behalf of `requester`, which cannot reach `target`.
    pub(super) fn relay_probe(
        &mut self,
        now: MonoTime,
        requester: NodeId,
        sequence: u64,
        target: NodeId,
        actions: &mut Vec<Action>,
    ) {
        if target == self.own.id {
            self.send(requester, Body::Ack { sequence }, Vec::new(), actions);
            return;
        }
        if !self.members.contains_key(&target) {
            return;
        }
        let own_sequence = self.probe.next_sequence();
        let deadline = Deadline::after(now, Duration::from_millis(RELAY_TIMEOUT_MS));
        self.probe.relays.insert(own_sequence, Relay { requester, sequence, deadline });
        self.ping(target, own_sequence, actions);
    }

    pub(super) fn on_ack(&mut self, now: MonoTime, sequence: u64, actions: &mut Vec<Action>) {
        if self.probe.pending.as_ref().is_some_and(|p| p.sequence == sequence) {
            self.probe.pending = None;
        }
        if let Some(relay) = self.probe.relays.remove(&sequence)
            && !relay.deadline.is_past(now)
        {
            let body = Body::Ack { sequence: relay.sequence };
            self.send(relay.requester, body, Vec::new(), actions);
        }
    }

    fn suspect(&mut self, now: MonoTime, target: NodeId, actions: &mut Vec<Action>) {
        let Some(member) = self.members.get(&target) else {
            return;
        };
        if member.record.status == Status::Alive {
            let claim = Record { status: Status::Suspect, ..member.record.clone() };
            self.merge_all(now, vec![claim], actions);
        }
    }

    /// Returns the next member in a shuffled order, so that each is probed within bounded time.
    fn next_target(&mut self) -> Option<NodeId> {
        loop {
            if self.probe.order.is_empty() {
                self.probe.order = self.member_ids();
                self.probe.order.sort_unstable();
                self.rng.shuffle(&mut self.probe.order);
            }
            let target = self.probe.order.pop()?;
            if self.members.get(&target).is_some_and(|m| m.record.status.is_member()) {
                return Some(target);
            }
        }
    }

    /// Pings members that have not told `version` or a refusal of it; their answers tell theirs.
    pub(super) fn ask_versions(
        &mut self,
        version: goldcresttally_core::Version,
        limit: usize,
        actions: &mut Vec<Action>,
    ) {
        let behind = |m: &&super::Member| {
            m.record.status.is_member() && m.version < version && m.refused < version
        };
        let mut lagging: Vec<NodeId> =
            self.members.values().filter(behind).map(|m| m.record.id).collect();
        lagging.sort_unstable();
        self.rng.shuffle(&mut lagging);
        for target in lagging.into_iter().take(limit) {
            let sequence = self.probe.next_sequence();
            self.ping(target, sequence, actions);
        }
    }

    /// Pings one dead member, so that domains find each other again after a partition.
    fn probe_lost(&mut self, actions: &mut Vec<Action>) {
        let dead = |m: &&super::Member| m.record.status == Status::Dead;
        let mut lost: Vec<NodeId> =
            self.members.values().filter(dead).map(|m| m.record.id).collect();
        lost.sort_unstable();
        if let Some(target) = self.rng.choice(lost) {
            let sequence = self.probe.next_sequence();
            self.ping(target, sequence, actions);
        }
    }
}
