//! The queue of updates to broadcast, and the gossip rounds that send them.

use goldcresttally_core::{Deadline, Map, MonoTime, NodeId};

use super::{Action, Membership};
use crate::message::Body;
use crate::record::Record;

/// Transmissions of one update, multiplied by the decimal logarithm of the number of members.
const RETRANSMIT_FACTOR: f64 = 4.0;

/// A queued update.
#[derive(Debug, Clone)]
struct Broadcast {
    record: Record,
    /// Number of times that it was sent.
    sent: u32,
    /// Orders updates that were sent equally often, newest first.
    serial: u64,
}

/// The updates to broadcast, at most one per node.
#[derive(Debug, Default)]
pub(super) struct BroadcastQueue {
    queue: Map<NodeId, Broadcast>,
    serial: u64,
}

impl BroadcastQueue {
    /// Queues `record`, replacing a queued update about the same node.
    pub fn push(&mut self, record: Record) {
        self.serial += 1;
        let broadcast = Broadcast { sent: 0, serial: self.serial, record };
        self.queue.insert(broadcast.record.id, broadcast);
    }

    /// Returns whether no update is queued.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns up to `count` updates to send: draining nodes first, then the updates sent least
    /// often. An update sent `transmit_limit` times is removed from the queue.
    pub fn take(&mut self, count: usize, transmit_limit: u32) -> Vec<Record> {
        let order = |b: &Broadcast| (!b.record.is_draining(), b.sent, u64::MAX - b.serial);
        let mut queued: Vec<_> = self.queue.values().map(|b| (order(b), b.record.id)).collect();
        if queued.len() > count {
            queued.select_nth_unstable(count);
            queued.truncate(count);
        }
        queued.sort_unstable();
        let mut records = Vec::with_capacity(queued.len());
        for (_, id) in queued {
            let Some(broadcast) = self.queue.get_mut(&id) else {
                continue;
            };
            broadcast.sent += 1;
            records.push(broadcast.record.clone());
            if broadcast.sent >= transmit_limit {
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

    /// Returns the queued updates to piggyback on the next datagram.
    pub(super) fn next_updates(&mut self) -> Vec<Record> {
        let members = (self.members.len() + 1) as f64;
        let transmit_limit = (RETRANSMIT_FACTOR * (members + 1.0).log10().ceil()) as u32;
        self.broadcasts.take(self.options.updates_per_datagram, transmit_limit)
    }

    /// Sends a gossip round if one is due and an update is queued.
    pub(super) fn send_gossip(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        if !self.next_gossip.is_past(now) || self.broadcasts.is_empty() {
            return;
        }
        self.next_gossip = Deadline::after(now, self.options.gossip_interval);
        for to in self.random_members(self.options.gossip_fanout) {
            let updates = self.next_updates();
            if updates.is_empty() {
                return;
            }
            self.send(to, Body::Gossip, updates, actions);
        }
    }
}
