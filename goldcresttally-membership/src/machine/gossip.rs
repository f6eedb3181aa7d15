//! The queue of claims to pass on, and the rounds that send them.

use goldcresttally_core::{Deadline, Map, MonoTime, NodeId};

use super::{Action, Membership};
use crate::message::Body;
use crate::record::Record;

/// Transmissions of one claim, times the logarithm of the number of members.
const RETRANSMIT_FACTOR: f64 = 4.0;

/// A claim that waits to be passed on.
#[derive(Debug, Clone)]
struct Broadcast {
    record: Record,
    sent: u32,
    /// Orders claims that were sent equally often: the newest first.
    serial: u64,
}

/// The claims that wait to be passed on, the newest one of each node.
#[derive(Debug, Default)]
pub(super) struct Broadcasts {
    queue: Map<NodeId, Broadcast>,
    serial: u64,
}

impl Broadcasts {
    /// Queues `record` in place of any older claim about the same node.
    pub fn push(&mut self, record: Record) {
        self.serial += 1;
        let broadcast = Broadcast { sent: 0, serial: self.serial, record };
        self.queue.insert(broadcast.record.id, broadcast);
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Takes up to `count` claims, nodes that drain first, then those sent least often.
    pub fn take(&mut self, count: usize, limit: u32) -> Vec<Record> {
        let order = |b: &Broadcast| (!b.record.is_draining(), b.sent, u64::MAX - b.serial);
        let mut waiting: Vec<_> = self.queue.values().map(|b| (order(b), b.record.id)).collect();
        if waiting.len() > count {
            waiting.select_nth_unstable(count);
            waiting.truncate(count);
        }
        waiting.sort_unstable();
        let mut records = Vec::with_capacity(waiting.len());
        for (_, id) in waiting {
            let Some(broadcast) = self.queue.get_mut(&id) else {
                continue;
            };
            broadcast.sent += 1;
            records.push(broadcast.record.clone());
            if broadcast.sent >= limit {
                self.queue.remove(&id);
            }
        }
        records
    }
}

impl Membership {
    pub(super) fn broadcast_own(&mut self) {
        let own = self.own.clone();
        self.broadcasts.push(own);
    }

    /// Takes the claims that one datagram carries along.
    pub(super) fn take_updates(&mut self) -> Vec<Record> {
        let members = (self.members.len() + 1) as f64;
        let limit = (RETRANSMIT_FACTOR * (members + 1.0).log10().ceil()) as u32;
        self.broadcasts.take(self.options.updates_per_datagram, limit)
    }

    /// Sends a round of gossip when one is due and anything waits.
    pub(super) fn send_gossip(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        if !self.next_gossip.is_past(now) || self.broadcasts.is_empty() {
            return;
        }
        self.next_gossip = Deadline::after(now, self.options.gossip_interval);
        for to in self.random_members(self.options.gossip_fanout) {
            let updates = self.take_updates();
            if updates.is_empty() {
                return;
            }
            self.send(to, Body::Gossip, updates, actions);
        }
    }
}
