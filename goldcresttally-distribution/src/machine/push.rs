//! Passes a version on: down the tree, over the links between domains, or to random members.

use std::sync::Arc;
use std::time::Duration;

use goldcresttally_core::{Deadline, Map, MonoTime, NodeId, Version};

use super::{Action, Distribution, Mode, Source};
use crate::update::VersionUpdate;

/// Wait before a failed push is tried again, in milliseconds.
const PUSH_RETRY_MS: u64 = 400;

/// Tries of one push after the first.
const PUSH_RETRY_LIMIT: u32 = 3;

/// Pushes that failed and are tried again.
#[derive(Debug, Default)]
pub(super) struct PushRetries {
    /// Failures by member, of pushes of the newest version that failed.
    failures: Map<NodeId, u32>,
    version: Version,
    waiting: Vec<(Deadline, NodeId, Arc<VersionUpdate>)>,
}

impl PushRetries {
    fn is_first_failure(&self, to: NodeId, update: &VersionUpdate) -> bool {
        update.version > self.version || !self.failures.contains_key(&to)
    }

    fn add(&mut self, due: Deadline, to: NodeId, update: &Arc<VersionUpdate>) {
        if update.version > self.version {
            *self = Self { version: update.version, ..Self::default() };
        }
        let failures = self.failures.entry(to).or_default();
        *failures += 1;
        // A later version makes this one needless; a member that stays away fetches it itself.
        if update.version == self.version && *failures <= PUSH_RETRY_LIMIT {
            self.waiting.push((due, to, Arc::clone(update)));
        }
    }

    fn take_due(&mut self, now: MonoTime, current: Version) -> Vec<(NodeId, Arc<VersionUpdate>)> {
        let ended = |(due, _, update): &mut (Deadline, NodeId, Arc<VersionUpdate>)| {
            due.is_past(now) || update.version < current
        };
        let ended = self.waiting.extract_if(.., ended);
        let wanted = ended.filter(|(_, _, update)| update.version >= current);
        wanted.map(|(_, to, update)| (to, update)).collect()
    }
}

impl Distribution {
    pub(super) fn pass_on(
        &mut self,
        now: MonoTime,
        source: Source,
        update: &Arc<VersionUpdate>,
        actions: &mut Vec<Action>,
    ) {
        match self.options.mode {
            Mode::Poll => {}
            Mode::Tree => self.push_along_tree(source, update, actions),
            Mode::Gossip => {
                self.last_update = Some(Arc::clone(update));
                self.gossip_rounds = self.options.gossip_rounds;
                self.next_gossip = Deadline(now);
                self.gossip_if_due(now, actions);
            }
        }
    }

    fn push_along_tree(
        &mut self,
        source: Source,
        update: &Arc<VersionUpdate>,
        actions: &mut Vec<Action>,
    ) {
        let fanout = self.options.fanout;
        let position = self.topology.position();
        let mut targets = self.topology.children(position, fanout).to_vec();
        let from = match source {
            Source::Peer(id) => Some(id),
            Source::Platform => None,
        };
        // What did not come down the tree has to be brought to its root.
        if position > 0 && from != self.topology.parent(fanout) {
            targets.extend(self.topology.own_domain().first());
        }
        // Only the domain in which a version appears first passes it on to the others.
        let appeared_here = from.is_none_or(|id| self.topology.is_in_own_domain(id));
        if position == 0 && appeared_here {
            targets.extend(self.topology.cross_domain_targets(self.options.cross_domain_fanout));
        }
        targets.retain(|id| Some(*id) != from);
        if self.options.long_poll {
            // Who watches the feed itself has the version by the time a push could bring it.
            targets.retain(|id| !self.topology.is_among_first(*id, self.options.pollers));
        }
        push_to(&targets, update, actions);
    }

    /// Takes over for a member that cannot be reached: pushes to those that it would push to, and
    /// to the member itself a little later.
    pub(super) fn on_push_failed(
        &mut self,
        now: MonoTime,
        to: NodeId,
        update: &Arc<VersionUpdate>,
        actions: &mut Vec<Action>,
    ) {
        if self.push_retries.is_first_failure(to, update) {
            self.adopt_children(to, update, actions);
        }
        let jitter = 0.75 + 0.5 * self.rng.f64();
        let wait = Duration::from_millis(PUSH_RETRY_MS).mul_f64(jitter);
        self.push_retries.add(Deadline::after(now, wait), to, update);
    }

    pub(super) fn push_again_if_due(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        let current = self.version().max(self.refused);
        for (to, update) in self.push_retries.take_due(now, current) {
            actions.push(Action::Push { to, update });
        }
    }

    fn adopt_children(&self, to: NodeId, update: &Arc<VersionUpdate>, actions: &mut Vec<Action>) {
        let members = self.topology.own_domain();
        let position = members.iter().position(|id| *id == to);
        let Some(position) = position.filter(|_| self.options.mode == Mode::Tree) else {
            return;
        };
        // The root's children are told by whoever failed to reach the root.
        if position < self.topology.position() && position > 0 {
            return;
        }
        let mut targets = self.topology.children(position, self.options.fanout).to_vec();
        targets.retain(|id| *id != self.own.id);
        push_to(&targets, update, actions);
    }

    pub(super) fn gossip_if_due(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        let Some(update) = self.last_update.clone() else {
            return;
        };
        if self.gossip_rounds == 0 || !self.next_gossip.is_past(now) {
            return;
        }
        self.gossip_rounds -= 1;
        self.next_gossip = Deadline::after(now, self.options.gossip_interval);
        let mut others = self.topology.other_members();
        self.rng.shuffle(&mut others);
        others.truncate(self.options.fanout);
        push_to(&others, &update, actions);
    }
}

fn push_to(targets: &[NodeId], update: &Arc<VersionUpdate>, actions: &mut Vec<Action>) {
    let push = |to: &NodeId| Action::Push { to: *to, update: Arc::clone(update) };
    actions.extend(targets.iter().map(push));
}
