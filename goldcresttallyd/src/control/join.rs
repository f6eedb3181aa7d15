//! Joins the members through a seed, and repairs the view with a member.

use std::rc::Rc;
use std::time::Duration;

use goldcresttally_core::NodeId;
use goldcresttally_distribution as distribution;
use goldcresttally_membership as members;

use super::driver::Control;
use crate::events::{self, emit};

/// Shortest wait before the directory is asked again, in milliseconds; half of the time within
/// which a node that starts is to be found by others.
const DIRECTORY_RETRY_MS: u64 = 500;

impl Control {
    /// Tries a seed when an attempt is due, or any member while the floor is not known yet.
    pub(super) fn join_if_due(self: &Rc<Self>) {
        let due = self.machines.borrow().pacer.is_due(self.now());
        let knows_floor = self.machines.borrow().distribution.floor().is_some();
        if (self.joined.get() && knows_floor) || self.joining.get() || !due {
            return;
        }
        let (own, mut seeds): (NodeId, Vec<NodeId>) = {
            let machines = self.machines.borrow();
            let members = machines.membership.members().map(|r| r.id);
            (machines.membership.own().id, members.collect())
        };
        seeds.extend(&self.settings.node.seeds);
        seeds.extend(&*self.listed.borrow());
        seeds.retain(|s| *s != own);
        let Some(seed) = fastrand::choice(seeds) else {
            return;
        };
        self.joining.set(true);
        let control = Rc::clone(self);
        self.tasks.spawn_local(async move { control.join(seed).await });
    }

    /// Puts this node on the directory's list, and reads the list while nobody is known.
    pub(super) async fn enlist(self: Rc<Self>) {
        let Some(directory) = self.directory.clone() else { return };
        let own = self.machines.borrow().membership.own().id;
        let mut enlisted = false;
        loop {
            if !enlisted {
                let added = directory.add(own).await;
                enlisted = added.is_ok();
                if let Err(e) = added {
                    emit(events::DIRECTORY_FAILED, format_args!("{e}"));
                }
            }
            let alone = self.machines.borrow().membership.members().next().is_none();
            if alone && let Ok(nodes) = directory.list().await {
                // With nobody else on the list there is nobody to join yet.
                self.joined.set(nodes.iter().all(|n| *n == own));
                *self.listed.borrow_mut() = nodes;
            }
            if enlisted && !alone {
                return;
            }
            let wait = DIRECTORY_RETRY_MS + fastrand::u64(0..DIRECTORY_RETRY_MS);
            tokio::select! {
                () = tokio::time::sleep(Duration::from_millis(wait)) => {}
                () = self.stop.cancelled() => return,
            }
        }
    }

    async fn join(self: Rc<Self>, seed: NodeId) {
        let record = self.machines.borrow().membership.own().clone();
        let result = self.connections.join(seed, &record).await;
        self.joining.set(false);
        match result {
            Ok(Some(joined)) => {
                self.joined.set(true);
                let now = self.now();
                // Without a floor there is another attempt, at the pace of failures.
                match joined.floor {
                    Some(_) => self.machines.borrow_mut().pacer.succeeded(),
                    None => self.machines.borrow_mut().pacer.failed(now),
                }
                emit(
                    events::JOINED,
                    format_args!("through {seed}: {} records", joined.records.len()),
                );
                self.on_members(members::Event::Learned(joined.records));
                if let Some(floor) = joined.floor {
                    let floor = floor.max(joined.version);
                    self.on_distribution(distribution::Event::FloorLearned(floor));
                }
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
                let known = machines.membership.records().chain([machines.membership.own()]);
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
