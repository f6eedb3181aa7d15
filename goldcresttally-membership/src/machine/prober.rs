//! Failure detection: probes one member per interval, directly and then through other members.

use std::time::Duration;

use goldcresttally_core::{Deadline, Map, MonoTime, NodeId};

use super::{Action, Membership};
use crate::message::Body;
use crate::record::{Record, Status};

/// Time within which the acknowledgement of a relayed probe is forwarded, in milliseconds.
const RELAY_TIMEOUT_MS: u64 = 2000;

/// A probe made on behalf of another member.
#[derive(Debug)]
struct Relay {
    requester: NodeId,
    sequence: u64,
    deadline: Deadline,
}

/// A direct probe in flight.
#[derive(Debug)]
struct PendingProbe {
    target: NodeId,
    sequence: u64,
    /// When other members are asked to probe; `None` once they were asked.
    indirect_at: Option<Deadline>,
}

/// The state of the failure detector.
#[derive(Debug)]
pub(super) struct Prober {
    /// Members still to be probed in this round, in reverse order.
    order: Vec<NodeId>,
    pending: Option<PendingProbe>,
    next_probe: Deadline,
    sequence: u64,
    /// Relayed probes by this node's own sequence number.
    relays: Map<u64, Relay>,
}

impl Prober {
    pub fn new(now: MonoTime) -> Self {
        let next_probe = Deadline(now);
        Self {
            order: Vec::new(),
            pending: None,
            next_probe,
            sequence: now.0,
            relays: Map::default(),
        }
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}

impl Membership {
    pub(super) fn probe_if_due(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        self.probe_indirectly(now, actions);
        if !self.prober.next_probe.is_past(now) {
            return;
        }
        if let Some(pending) = self.prober.pending.take() {
            self.suspect(now, pending.target, actions);
        }
        self.prober.relays.retain(|_, r| !r.deadline.is_past(now));
        self.prober.next_probe = Deadline::after(now, self.options.probe_interval);
        if let Some(target) = self.next_target() {
            self.start_probe(now, target, actions);
        }
        self.ping_dead_member(actions);
    }

    fn start_probe(&mut self, now: MonoTime, target: NodeId, actions: &mut Vec<Action>) {
        let sequence = self.prober.next_sequence();
        let indirect_at = Some(Deadline::after(now, self.options.probe_timeout));
        self.prober.pending = Some(PendingProbe { target, sequence, indirect_at });
        self.ping(target, sequence, actions);
    }

    fn ping(&mut self, target: NodeId, sequence: u64, actions: &mut Vec<Action>) {
        let mut updates = self.next_updates();
        // Sends a suspect or dead target its own record, so that it can refute it.
        let stored = self.members.get(&target).map(|m| m.record.clone());
        updates.extend(stored.filter(|r| r.status != Status::Alive));
        self.send(target, Body::Ping { sequence }, updates, actions);
    }

    /// Asks other members to probe the target if it has not answered in time.
    fn probe_indirectly(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        let Some(pending) = &mut self.prober.pending else {
            return;
        };
        if !pending.indirect_at.is_some_and(|d| d.is_past(now)) {
            return;
        }
        pending.indirect_at = None;
        let (target, sequence) = (pending.target, pending.sequence);
        for to in self.random_members(self.options.indirect_probes + 1) {
            if to != target {
                self.send(to, Body::PingRequest { sequence, target }, Vec::new(), actions);
            }
        }
    }

    /// Probes `target` on behalf of `requester`, which got no answer from it.
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
        let own_sequence = self.prober.next_sequence();
        let deadline = Deadline::after(now, Duration::from_millis(RELAY_TIMEOUT_MS));
        self.prober.relays.insert(own_sequence, Relay { requester, sequence, deadline });
        self.ping(target, own_sequence, actions);
    }

    pub(super) fn on_ack(&mut self, now: MonoTime, sequence: u64, actions: &mut Vec<Action>) {
        if self.prober.pending.as_ref().is_some_and(|p| p.sequence == sequence) {
            self.prober.pending = None;
        }
        if let Some(relay) = self.prober.relays.remove(&sequence)
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
            let suspected = Record { status: Status::Suspect, ..member.record.clone() };
            self.merge_received(now, vec![suspected], actions);
        }
    }

    /// Returns the next member of a shuffled round, so that each is probed within bounded time.
    fn next_target(&mut self) -> Option<NodeId> {
        loop {
            if self.prober.order.is_empty() {
                self.prober.order = self.member_ids();
                self.prober.order.sort_unstable();
                self.rng.shuffle(&mut self.prober.order);
            }
            let target = self.prober.order.pop()?;
            if self.members.get(&target).is_some_and(|m| m.record.status.is_member()) {
                return Some(target);
            }
        }
    }

    /// Pings up to `limit` members that have reported neither `version` nor a refusal of it; their
    /// acknowledgements carry their versions.
    pub(super) fn query_versions(
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
            let sequence = self.prober.next_sequence();
            self.ping(target, sequence, actions);
        }
    }

    /// Pings one dead member, so that the sides of a healed partition find each other again.
    fn ping_dead_member(&mut self, actions: &mut Vec<Action>) {
        let dead = |m: &&super::Member| m.record.status == Status::Dead;
        let mut dead_members: Vec<NodeId> =
            self.members.values().filter(dead).map(|m| m.record.id).collect();
        dead_members.sort_unstable();
        if let Some(target) = self.rng.choice(dead_members) {
            let sequence = self.prober.next_sequence();
            self.ping(target, sequence, actions);
        }
    }
}
