//! Joins the members through a seed, and repairs the view with a member.

use std::rc::Rc;

use goldcresttally_core::NodeId;
use goldcresttally_distribution as distribution;
use goldcresttally_membership as members;

use super::driver::Control;
use crate::events::{self, emit};

impl Control {
    /// Tries the next seed when an attempt is due.
    pub(super) fn join_if_due(self: &Rc<Self>) {
        let due = self.machines.borrow().pacer.is_due(self.now());
        if self.joined.get() || self.joining.get() || !due {
            return;
        }
        let own = self.machines.borrow().membership.own().id;
        let seeds: Vec<NodeId> = self
            .settings
            .node
            .seeds
            .iter()
            .copied()
            .filter(|s| *s != own)
            .collect();
        let Some(seed) = fastrand::choice(seeds) else {
            return;
        };
        self.joining.set(true);
        let control = Rc::clone(self);
        self.tasks
            .spawn_local(async move { control.join(seed).await });
    }

    async fn join(self: Rc<Self>, seed: NodeId) {
        let record = self.machines.borrow().membership.own().clone();
        let result = self.connections.join(seed, &record).await;
        self.joining.set(false);
        match result {
            Ok(Some(joined)) => {
                self.joined.set(true);
                self.machines.borrow_mut().pacer.succeeded();
                emit(
                    events::JOINED,
                    format_args!("through {seed}: {} records", joined.records.len()),
                );
                self.on_members(members::Event::Learned(joined.records));
                let floor = joined.floor.max(joined.version);
                self.on_distribution(distribution::Event::FloorLearned(floor));
                let (from, version) = (seed, joined.version);
                self.on_distribution(distribution::Event::PeerVersion { from, version });
            }
            Ok(None) => self.machines.borrow_mut().pacer.failed(self.now()),
            Err(e) => {
                emit(events::JOIN_FAILED, format_args!("through {seed}: {e}"));
                self.machines.borrow_mut().pacer.failed(self.now());
            }
        }
    }

    /// Compares views with a member and exchanges what differs.
    pub(super) fn spawn_sync(self: &Rc<Self>, with: NodeId) {
        let control = Rc::clone(self);
        self.tasks.spawn_local(async move {
            let hashes = control.machines.borrow().membership.bucket_hashes();
            // A member that cannot be reached is the prober's matter.
            let Ok(records) = control.connections.compare(with, &hashes).await else {
                return;
            };
            control.on_members(members::Event::Learned(records.clone()));
            let theirs: Vec<_> = records.iter().map(|r| r.id).collect();
            let ours: Vec<_> = {
                let machines = control.machines.borrow();
                let known = machines
                    .membership
                    .records()
                    .chain([machines.membership.own()]);
                known.filter(|r| theirs.contains(&r.id)).cloned().collect()
            };
            let newer: Vec<_> = ours
                .into_iter()
                .filter(|o| records.iter().any(|r| r.id == o.id && o.supersedes(r)))
                .collect();
            if !newer.is_empty() {
                let _ = control.connections.offer(with, &newer).await;
            }
        });
    }
}
