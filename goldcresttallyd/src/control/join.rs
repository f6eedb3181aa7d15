//! Joins the members through seeds or the directory, and synchronizes the membership view with
//! other members.

use std::rc::Rc;
use std::time::Duration;

use goldcresttally_core::{Deadline, FeedPosition, Map, NodeId};
use goldcresttally_distribution as distribution;
use goldcresttally_membership as members;
use goldcresttally_membership::Record;
use goldcresttally_store::NodeDirectory;

use super::connections::JoinResponse;
use super::driver::Control;
use crate::events::{self, emit};

/// Initial retry interval of the directory, in milliseconds: half of the time within which other
/// nodes must find a started node.
const DIRECTORY_RETRY_MS: u64 = 500;

/// Regular interval of directory reads, in milliseconds. One node of each failure domain reads,
/// which costs about a tenth of a read per second and domain.
const DIRECTORY_INTERVAL_MS: u64 = 8000;

/// Maximum number of nodes tried concurrently in one attempt to join.
const MAX_CONCURRENT_JOINS: usize = 3;

/// Number of members that a node names which is too busy to accept a join.
const BUSY_MEMBERS: usize = 8;

/// Minimum time for which a node with seeds waits for them before it reads the directory, in
/// milliseconds; at most twice that.
const SEED_WAIT_MS: u64 = 800;

/// Interval at which a node checks during that wait whether it has found others, in milliseconds.
const SEED_CHECK_MS: u64 = 50;

/// Number of attempts to join that fail at all seeds, after which the directory is read at once.
const MAX_FAILED_JOINS: u32 = 2;

/// Number of failed joins after which a listed node is removed from the directory: about half a
/// minute at the longest retry interval.
const REMOVE_AFTER_FAILURES: u32 = 6;

/// Interval at which a node adds itself to the directory again: another node may have removed it.
const RELIST_INTERVAL: Duration = Duration::from_mins(1);

/// Interval at which a node checks whether the store was restored from a copy, in milliseconds.
const ERA_CHECK_MS: u64 = 1000;

/// Time over which the nodes add themselves to a restored directory, in milliseconds.
const RESTORE_SPREAD_MS: u64 = 3000;

impl Control {
    /// Tries to join when due, through seeds, listed nodes and members, until this node has joined
    /// and knows its version floor.
    pub(super) fn join_if_due(self: &Rc<Self>) {
        let due = self.machines.borrow().join_backoff.is_due(self.now());
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
        seeds.extend(&*self.directory_nodes.borrow());
        seeds.retain(|s| *s != own);
        if seeds.is_empty() {
            return;
        }
        self.joining.set(true);
        let control = Rc::clone(self);
        self.tasks.spawn(async move {
            let asked = seeds.len().min(MAX_CONCURRENT_JOINS);
            let failed = control.join_sample(seeds).await.len();
            if failed == asked {
                control.failed_joins.set(control.failed_joins.get() + 1);
            }
            control.joining.set(false);
        });
    }

    /// Returns a random sample of the members, for a node that cannot join here now.
    pub(super) fn some_members(&self) -> Vec<Record> {
        let machines = self.machines.borrow();
        let mut members: Vec<_> = machines.membership.members().collect();
        fastrand::shuffle(&mut members);
        members.into_iter().take(BUSY_MEMBERS).cloned().collect()
    }

    /// Waits before the first read of the directory while the seeds may be sufficient.
    async fn wait_for_seeds(&self) {
        if self.settings.node.seeds.iter().all(|s| *s == self.settings.node.control) {
            return;
        }
        let wait_ms = SEED_WAIT_MS + fastrand::u64(0..SEED_WAIT_MS);
        let until = Deadline::after(self.now(), Duration::from_millis(wait_ms));
        while !until.is_past(self.now())
            && self.is_alone()
            && self.failed_joins.get() < MAX_FAILED_JOINS
        {
            tokio::time::sleep(Duration::from_millis(SEED_CHECK_MS)).await;
        }
    }

    /// Tries to join through a random sample of `seeds` and returns the nodes that failed.
    ///
    /// The attempts run concurrently, since each unreachable node takes a full connection timeout.
    async fn join_sample(self: &Rc<Self>, mut seeds: Vec<NodeId>) -> Vec<NodeId> {
        seeds.sort_unstable();
        seeds.dedup();
        fastrand::shuffle(&mut seeds);
        seeds.truncate(MAX_CONCURRENT_JOINS);
        let joins = seeds.iter().map(|seed| Rc::clone(self).join_through(*seed));
        let joined = futures::future::join_all(joins).await;
        let failed = seeds.into_iter().zip(joined).filter(|(_, joined)| !joined);
        failed.map(|(seed, _)| seed).collect()
    }

    /// Keeps this node listed in the directory, and joins listed nodes that it does not know.
    ///
    /// Otherwise, groups that formed separately, as after a power loss everywhere, would not find
    /// each other.
    pub(super) async fn maintain_directory(self: Rc<Self>) {
        let Some(directory) = self.directory.clone() else { return };
        let own = self.machines.borrow().membership.own().id;
        let mut relist_at = Deadline(self.now());
        let mut waited = false;
        let mut unknown_rounds = 0;
        let mut failures: Map<NodeId, u32> = Map::default();
        let mut listed_era = None;
        loop {
            let era = self.store_era();
            let restored = listed_era.is_some() && era > listed_era;
            if relist_at.is_past(self.now()) || restored {
                match directory.add(own).await {
                    Ok(()) => {
                        relist_at = Deadline::after(self.now(), RELIST_INTERVAL);
                        listed_era = era.or(listed_era);
                    }
                    Err(e) => emit(events::DIRECTORY_FAILED, format_args!("{e}")),
                }
            }
            if !waited {
                waited = true;
                self.wait_for_seeds().await;
            }
            let is_listed = relist_at.remaining(self.now()) > Duration::ZERO;
            if self.is_directory_reader() {
                match self.join_unknown_listed(&*directory, &mut failures).await {
                    Ok(true) => unknown_rounds += 1,
                    Ok(false) => unknown_rounds = 0,
                    Err(e) => emit(events::DIRECTORY_FAILED, format_args!("{e}")),
                }
            }
            let urgent = !is_listed || self.is_alone() || unknown_rounds > 0;
            let wait_ms = match urgent {
                true => (DIRECTORY_RETRY_MS << unknown_rounds.min(4)).min(DIRECTORY_INTERVAL_MS),
                false => DIRECTORY_INTERVAL_MS,
            };
            let wait = Duration::from_millis(wait_ms / 2 + fastrand::u64(0..wait_ms));
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.wait_until_restored(&mut listed_era) => {}
                () = self.stop.cancelled() => break,
            }
        }
        // If this fails, other nodes remove this one from the directory when joins to it fail.
        let _ = directory.remove(vec![own]).await;
    }

    /// Returns how often the store was restored from a copy, as far as the change feed has told.
    fn store_era(&self) -> Option<u64> {
        self.machines.borrow().distribution.feed_position().map(FeedPosition::era)
    }

    /// Waits until the store was restored from a copy after `listed_era`, which may have lost this
    /// node's entry, and then for a random time, so that not all nodes write at once.
    async fn wait_until_restored(&self, listed_era: &mut Option<u64>) {
        while listed_era.is_none() || self.store_era() <= *listed_era {
            *listed_era = listed_era.or(self.store_era());
            tokio::time::sleep(Duration::from_millis(ERA_CHECK_MS)).await;
        }
        tokio::time::sleep(Duration::from_millis(fastrand::u64(0..RESTORE_SPREAD_MS))).await;
    }

    /// Joins listed nodes that are not known as members, and removes unreachable ones from the
    /// directory.
    ///
    /// Returns whether the directory lists any unknown nodes.
    async fn join_unknown_listed(
        self: &Rc<Self>,
        directory: &dyn NodeDirectory,
        failures: &mut Map<NodeId, u32>,
    ) -> goldcresttally_store::Result<bool> {
        let unknown_nodes = self.unknown_nodes(directory.list().await?);
        let found = !unknown_nodes.is_empty();
        let unreachable = self.join_unknown(unknown_nodes, failures).await;
        if !unreachable.is_empty() {
            directory.remove(unreachable).await?;
        }
        Ok(found)
    }

    fn is_alone(&self) -> bool {
        self.machines.borrow().membership.members().next().is_none()
    }

    /// Returns whether this node reads the directory on behalf of its failure domain, as the member
    /// with the lowest id.
    fn is_directory_reader(&self) -> bool {
        let machines = self.machines.borrow();
        let own = machines.membership.own();
        let mut local = machines.membership.members().filter(|r| r.domain == own.domain);
        local.all(|r| own.id < r.id)
    }

    /// Records the listed nodes and returns those that are not known as members.
    fn unknown_nodes(&self, nodes: Vec<NodeId>) -> Vec<NodeId> {
        let unknown_nodes: Vec<NodeId> = {
            let machines = self.machines.borrow();
            let membership = &machines.membership;
            let known = |id: &NodeId| {
                *id == membership.own().id || membership.members().any(|r| r.id == *id)
            };
            nodes.iter().copied().filter(|id| !known(id)).collect()
        };
        // A node that is alone in the directory has nothing to join and counts as joined.
        if self.is_alone() {
            self.set_joined(unknown_nodes.is_empty());
        }
        *self.directory_nodes.borrow_mut() = nodes;
        unknown_nodes
    }

    /// Records whether this node has joined; the next publication informs the request path.
    fn set_joined(&self, joined: bool) {
        if self.joined.replace(joined) != joined {
            self.endpoints_stale.set(true);
        }
    }

    /// Joins through a sample of `unknown_nodes`; returns nodes that have failed too often.
    async fn join_unknown(
        self: &Rc<Self>,
        unknown_nodes: Vec<NodeId>,
        failures: &mut Map<NodeId, u32>,
    ) -> Vec<NodeId> {
        failures.retain(|id, _| unknown_nodes.contains(id));
        if unknown_nodes.is_empty() || self.joining.replace(true) {
            return Vec::new();
        }
        let failed = self.join_sample(unknown_nodes).await;
        self.joining.set(false);
        for id in failed {
            *failures.entry(id).or_default() += 1;
        }
        // A node without contact to any member cannot tell whether it is itself the one cut off.
        if self.is_alone() {
            return Vec::new();
        }
        let unreachable = failures.iter().filter(|(_, n)| **n >= REMOVE_AFTER_FAILURES);
        unreachable.map(|(id, _)| *id).collect()
    }

    /// Joins through one node and returns whether it answered.
    async fn join_through(self: Rc<Self>, seed: NodeId) -> bool {
        let record = self.machines.borrow().membership.own().clone();
        let result = self.connections.join(seed, &record).await;
        let answered = result.is_ok();
        match result {
            Ok(JoinResponse::Joined(joined)) => {
                self.set_joined(true);
                let now = self.now();
                // Without a floor, the join is retried with the backoff of a failure.
                match joined.floor {
                    Some(_) => self.machines.borrow_mut().join_backoff.record_success(),
                    None => self.machines.borrow_mut().join_backoff.record_failure(now),
                }
                emit(
                    events::JOINED,
                    format_args!("through {seed}: {} records", joined.records.len()),
                );
                self.on_membership(members::Event::RecordsReceived(joined.records));
                if let Some(floor) = joined.floor {
                    let floor = floor.max(joined.version);
                    self.on_distribution(distribution::Event::FloorLearned(floor));
                }
                let (from, version) = (seed, joined.version);
                self.on_distribution(distribution::Event::PeerVersion { from, version });
                // The seed's group must learn of this node's group too.
                self.spawn_sync(seed);
            }
            Ok(JoinResponse::Busy(records)) => {
                self.machines.borrow_mut().join_backoff.record_failure(self.now());
                self.on_membership(members::Event::RecordsReceived(records));
            }
            Err(e) => {
                emit(events::JOIN_FAILED, format_args!("through {seed}: {e}"));
                self.machines.borrow_mut().join_backoff.record_failure(self.now());
            }
        }
        answered
    }

    /// Starts a task that compares membership views with a member and exchanges differing records.
    pub(super) fn spawn_sync(self: &Rc<Self>, with: NodeId) {
        let control = Rc::clone(self);
        self.tasks.spawn(async move {
            let hashes = control.machines.borrow().membership.bucket_hashes();
            // The failure detector handles unreachable members.
            let Ok(records) = control.connections.compare(with, &hashes).await else {
                return;
            };
            control.on_membership(members::Event::RecordsReceived(records.clone()));
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
