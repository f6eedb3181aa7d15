//! Passes a version on: down the tree, over the links between domains, or to random members.

use std::sync::Arc;

use goldcresttally_core::{Deadline, MonoTime, NodeId};

use super::{Action, Distribution, Mode, Source};
use crate::update::VersionUpdate;

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
        let appeared_here = from.is_none_or(|id| self.topology.is_local(id));
        if position == 0 && appeared_here {
            targets.extend(self.topology.remote_links(self.options.links));
        }
        targets.retain(|id| Some(*id) != from);
        push_to(&targets, update, actions);
    }

    /// Takes over for a member that cannot be reached: pushes to those that it would push to.
    pub(super) fn on_push_failed(
        &mut self,
        to: NodeId,
        update: &Arc<VersionUpdate>,
        actions: &mut Vec<Action>,
    ) {
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
        let mut others = self.topology.others();
        self.rng.shuffle(&mut others);
        others.truncate(self.options.fanout);
        push_to(&others, &update, actions);
    }
}

fn push_to(targets: &[NodeId], update: &Arc<VersionUpdate>, actions: &mut Vec<Action>) {
    let push = |to: &NodeId| Action::Push { to: *to, update: Arc::clone(update) };
    actions.extend(targets.iter().map(push));
}
