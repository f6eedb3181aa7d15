//! Joins the members through a seed, and repairs the view with a member.

use std::rc::Rc;
use std::time::Duration;

use goldcresttally_core::{Deadline, Map, NodeId};
use goldcresttally_distribution as distribution;
use goldcresttally_membership as members;
use goldcresttally_store::NodeDirectory;

use super::driver::Control;
use crate::events::{self, emit};

/// Shortest wait before the directory is asked again, in milliseconds; half of the time within
/// which a node that starts is to be found by others.
const DIRECTORY_RETRY_MS: u64 = 500;

/// Usual wait before the directory is looked at again, in milliseconds; one node of each domain
/// does, so it costs a tenth of a read a second and domain.
const DIRECTORY_IDLE_MS: u64 = 8000;

/// Nodes through which one attempt to join is made at once.
const JOINS_AT_ONCE: usize = 3;

/// Attempts to join a listed node that must fail before it is taken off the list: at the longest
/// waits, half a minute.
const GONE_AFTER_FAILURES: u32 = 6;

/// Interval at which a node puts itself on the list again: another one may have taken it off.
const RELIST_INTERVAL: Duration = Duration::from_mins(1);

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
        if seeds.is_empty() {
            return;
        }
        self.joining.set(true);
        let control = Rc::clone(self);
        self.tasks.spawn_local(async move {
            control.join_any(seeds).await;
            control.joining.set(false);
        });
    }

    /// Tries some of `seeds` at once: those that are gone take a connection's time-out to tell.
    /// Returns those that could not be joined.
    async fn join_any(self: &Rc<Self>, mut seeds: Vec<NodeId>) -> Vec<NodeId> {
        seeds.sort_unstable();
        seeds.dedup();
        fastrand::shuffle(&mut seeds);
        seeds.truncate(JOINS_AT_ONCE);
        let joins = seeds.iter().map(|seed| Rc::clone(self).join(*seed));
        let joined = futures::future::join_all(joins).await;
        let failed = seeds.into_iter().zip(joined).filter(|(_, joined)| !joined);
        failed.map(|(seed, _)| seed).collect()
    }

    /// Keeps this node on the directory's list, and joins nodes on it that this one does not know:
    /// groups that formed apart, as after a loss of power everywhere, do not find each other
    /// otherwise.
    pub(super) async fn keep_listed(self: Rc<Self>) {
        let Some(directory) = self.directory.clone() else { return };
        let own = self.machines.borrow().membership.own().id;
        let mut add_by = Deadline(self.now());
        let mut strangers_seen = 0;
        let mut failures: Map<NodeId, u32> = Map::default();
        loop {
            if add_by.is_past(self.now()) {
                match directory.add(own).await {
                    Ok(()) => add_by = Deadline::after(self.now(), RELIST_INTERVAL),
                    Err(e) => emit(events::DIRECTORY_FAILED, format_args!("{e}")),
                }
            }
            let listed = add_by.remaining(self.now()) > Duration::ZERO;
            if self.looks_for_others() {
                match self.look_for_others(&*directory, &mut failures).await {
                    Ok(true) => strangers_seen += 1,
                    Ok(false) => strangers_seen = 0,
                    Err(e) => emit(events::DIRECTORY_FAILED, format_args!("{e}")),
                }
            }
            let urgent = !listed || self.is_alone() || strangers_seen > 0;
            let wait_ms = match urgent {
                true => (DIRECTORY_RETRY_MS << strangers_seen.min(4)).min(DIRECTORY_IDLE_MS),
                false => DIRECTORY_IDLE_MS,
            };
            let wait = Duration::from_millis(wait_ms / 2 + fastrand::u64(0..wait_ms));
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.stop.cancelled() => break,
            }
        }
        // Should this fail, others take this node off the list when they cannot join it.
        let _ = directory.remove(vec![own]).await;
    }

    /// Joins listed nodes that are no members here, and takes those off the list that are gone;
    /// returns whether there were any.
    async fn look_for_others(
        self: &Rc<Self>,
        directory: &dyn NodeDirectory,
        failures: &mut Map<NodeId, u32>,
    ) -> goldcresttally_store::Result<bool> {
        let strangers = self.strangers(directory.list().await?);
        let found = !strangers.is_empty();
        let gone = self.meet(strangers, failures).await;
        if !gone.is_empty() {
            directory.remove(gone).await?;
        }
        Ok(found)
    }

    fn is_alone(&self) -> bool {
        self.machines.borrow().membership.members().next().is_none()
    }

    /// Tells whether this node looks for others on behalf of those of its domain that it knows.
    fn looks_for_others(&self) -> bool {
        let machines = self.machines.borrow();
        let own = machines.membership.own();
        let mut near = machines.membership.members().filter(|r| r.domain == own.domain);
        near.all(|r| own.id < r.id)
    }

    /// Returns the listed nodes that are no members here.
    fn strangers(&self, nodes: Vec<NodeId>) -> Vec<NodeId> {
        let strangers: Vec<NodeId> = {
            let machines = self.machines.borrow();
            let membership = &machines.membership;
            let known = |id: &NodeId| {
                *id == membership.own().id || membership.members().any(|r| r.id == *id)
            };
            nodes.iter().copied().filter(|id| !known(id)).collect()
        };
        // With nobody else on the list there is nobody to join yet.
        if self.is_alone() {
            self.set_joined(strangers.is_empty());
        }
        *self.listed.borrow_mut() = nodes;
        strangers
    }

    /// Notes whether this node has joined; the view tells the request path of it.
    fn set_joined(&self, joined: bool) {
        if self.joined.replace(joined) != joined {
            self.view_changed.set(true);
        }
    }

    /// Joins through some of `strangers`; returns those that could not be joined for long.
    async fn meet(
        self: &Rc<Self>,
        strangers: Vec<NodeId>,
        failures: &mut Map<NodeId, u32>,
    ) -> Vec<NodeId> {
        failures.retain(|id, _| strangers.contains(id));
        if strangers.is_empty() || self.joining.replace(true) {
            return Vec::new();
        }
        let failed = self.join_any(strangers).await;
        self.joining.set(false);
        for id in failed {
            *failures.entry(id).or_default() += 1;
        }
        // A node that nobody answers for cannot tell those that are gone from those cut off.
        if self.is_alone() {
            return Vec::new();
        }
        let gone = failures.iter().filter(|(_, n)| **n >= GONE_AFTER_FAILURES);
        gone.map(|(id, _)| *id).collect()
    }

    /// Joins through one node; returns whether it answered.
    async fn join(self: Rc<Self>, seed: NodeId) -> bool {
        let record = self.machines.borrow().membership.own().clone();
        let result = self.connections.join(seed, &record).await;
        let answered = result.is_ok();
        match result {
            Ok(Some(joined)) => {
                self.set_joined(true);
                let now = self.now();
                // Without a floor there is another attempt, at the pace of failures.
                match joined.floor {
                    Some(_) => self.machines.borrow_mut().pacer.record_success(),
                    None => self.machines.borrow_mut().pacer.record_failure(now),
                }
                emit(
                    events::JOINED,
                    format_args!("through {seed}: {} records", joined.records.len()),
                );
                self.on_members(members::Event::RecordsReceived(joined.records));
                if let Some(floor) = joined.floor {
                    let floor = floor.max(joined.version);
                    self.on_distribution(distribution::Event::FloorLearned(floor));
                }
                let (from, version) = (seed, joined.version);
                self.on_distribution(distribution::Event::PeerVersion { from, version });
                // The other's group learns of this node's group too.
                self.spawn_sync(seed);
            }
            Ok(None) => self.machines.borrow_mut().pacer.record_failure(self.now()),
            Err(e) => {
                emit(events::JOIN_FAILED, format_args!("through {seed}: {e}"));
                self.machines.borrow_mut().pacer.record_failure(self.now());
            }
        }
        answered
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
            control.on_members(members::Event::RecordsReceived(records.clone()));
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
