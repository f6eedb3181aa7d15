//! The upstreams registered with this node; each holds a lease that its announcements renew.

use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use goldcresttally_core::{Deadline, Generation, InstanceId, Map, MonoTime, ServiceName};

use crate::record::{Upstream, UpstreamState};

/// Default duration of a lease, in milliseconds.
pub const LEASE_MS: u64 = 3000;

/// Maximum number of ended processes remembered; covers a quarter of an hour on a VM with a
/// restart about every ten seconds.
const MAX_ENDED_PROCESSES: usize = 100;

/// A registration of an upstream, sent at first and with every renewal of its lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// The service that it implements.
    pub service: ServiceName,
    /// The address at which it accepts calls.
    pub address: SocketAddr,
    /// The maximum number of concurrent calls.
    pub slots: u32,
    /// Its state.
    pub state: UpstreamState,
    /// The process at the address, if the upstream reports it.
    pub process: Option<UpstreamProcess>,
}

impl fmt::Display for Announcement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { service, address, slots, state, process } = self;
        write!(f, "{service} at {address} with {slots} slots, {state}")?;
        let Some(UpstreamProcess { instance, generation, sequence }) = process else {
            return Ok(());
        };
        write!(f, " instance={instance}/{generation} sequence={sequence}")
    }
}

/// Identifies one of the successive processes at an address, and orders its announcements.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamProcess {
    /// The instance name, which a later process may reuse.
    pub instance: InstanceId,
    /// Increases from one process at the address to the next; 0 if not reported.
    pub generation: Generation,
    /// Increases with each announcement of the process.
    pub sequence: u64,
}

impl UpstreamProcess {
    /// Returns whether `other` identifies the same process.
    pub fn is_same(&self, other: &Self) -> bool {
        self.instance == other.instance && self.generation == other.generation
    }
}

/// The result of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// The set of upstreams, or the slots or state of one, changed.
    Changed,
    /// The lease was renewed.
    Renewed,
    /// It is the first announcement of a process that is older than this node, and may have been
    /// delayed until after that process ended. It takes effect once it is confirmed or repeated.
    Unconfirmed,
    /// It is out of date: a later announcement, a later process or the end of the process is known.
    Stale,
}

#[derive(Debug)]
struct Lease {
    announcement: Announcement,
    deadline: Deadline,
}

/// The latest known process at an address.
#[derive(Debug)]
struct LatestProcess {
    process: UpstreamProcess,
    withdrawn: bool,
}

/// The upstreams attached to this node.
///
/// A draining upstream cannot become ready again under the same lease, because a delayed
/// announcement must not undo the drain. If upstreams report their process, a delayed
/// announcement cannot undo a withdrawal or replace a later process either.
#[derive(Debug)]
pub struct Registry {
    lease: Duration,
    leases: Map<(ServiceName, SocketAddr), Lease>,
    latest: Map<SocketAddr, LatestProcess>,
    /// Processes with a lower generation need confirmation; 0 disables the check.
    confirm_before: Generation,
    /// Announcements that wait for confirmation, by address.
    unconfirmed: Map<SocketAddr, Announcement>,
    /// Processes that have ended, latest last. Includes unknown processes: a recently started node
    /// may learn of an end before it receives an earlier announcement of the same process.
    ended: VecDeque<(InstanceId, Generation)>,
}

impl Default for Registry {
    fn default() -> Self {
        Self::new(Duration::from_millis(LEASE_MS))
    }
}

impl Registry {
    /// Returns an empty registry with leases of duration `lease`.
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            leases: Map::default(),
            latest: Map::default(),
            confirm_before: Generation(0),
            unconfirmed: Map::default(),
            ended: VecDeque::new(),
        }
    }

    /// Requires that the first announcement of a process be confirmed if its generation is lower
    /// than `started`.
    pub fn require_confirmation_before(&mut self, started: Generation) {
        self.confirm_before = started;
    }

    /// Grants or renews a lease.
    pub fn announce(&mut self, now: MonoTime, announcement: Announcement) -> AnnounceOutcome {
        if let Some(process) = &announcement.process {
            if self.has_ended(process) {
                return AnnounceOutcome::Stale;
            }
            if self.needs_confirmation(&announcement, process) {
                self.unconfirmed.insert(announcement.address, announcement);
                return AnnounceOutcome::Unconfirmed;
            }
            self.unconfirmed.remove(&announcement.address);
            match self.compare_process(announcement.address, process) {
                ProcessOrder::Stale => return AnnounceOutcome::Stale,
                ProcessOrder::Same => {}
                // Leases of an earlier process do not apply to this one.
                ProcessOrder::Later => self.leases.retain(|(_, at), _| *at != announcement.address),
            }
            let latest = LatestProcess { process: process.clone(), withdrawn: false };
            self.latest.insert(announcement.address, latest);
        }
        self.renew(now, announcement)
    }

    fn renew(&mut self, now: MonoTime, announcement: Announcement) -> AnnounceOutcome {
        let key = (announcement.service.clone(), announcement.address);
        let deadline = Deadline::after(now, self.lease);
        let Some(lease) = self.leases.get_mut(&key) else {
            self.leases.insert(key, Lease { announcement, deadline });
            return AnnounceOutcome::Changed;
        };
        lease.deadline = deadline;
        let stored = &lease.announcement;
        let unchanged = stored.slots == announcement.slots && stored.state == announcement.state;
        if stored.state == UpstreamState::Draining || unchanged {
            return AnnounceOutcome::Renewed;
        }
        lease.announcement = announcement;
        AnnounceOutcome::Changed
    }

    /// Applies the unconfirmed announcement of `instance`, which the process has confirmed since;
    /// returns whether that changed the upstreams.
    pub fn confirm(&mut self, now: MonoTime, address: SocketAddr, instance: &InstanceId) -> bool {
        let is_instance =
            |a: &Announcement| a.process.as_ref().is_some_and(|p| p.instance == *instance);
        if !self.unconfirmed.get(&address).is_some_and(is_instance) {
            return false;
        }
        let Some(announcement) = self.unconfirmed.remove(&address) else { return false };
        let process = announcement.process.clone();
        let latest = process.map(|process| LatestProcess { process, withdrawn: false });
        self.latest.extend(latest.map(|latest| (address, latest)));
        self.renew(now, announcement) == AnnounceOutcome::Changed
    }

    fn needs_confirmation(&self, announcement: &Announcement, process: &UpstreamProcess) -> bool {
        let known =
            self.latest.get(&announcement.address).is_some_and(|l| l.process.is_same(process));
        let older = process.generation > Generation(0) && process.generation < self.confirm_before;
        let draining = announcement.state == UpstreamState::Draining;
        let repeated = self.unconfirmed.get(&announcement.address).and_then(|a| a.process.as_ref());
        let repeated =
            repeated.is_some_and(|p| p.is_same(process) && p.sequence < process.sequence);
        !known && older && !draining && !repeated
    }

    fn has_ended(&self, process: &UpstreamProcess) -> bool {
        let covers = |(instance, last): &(InstanceId, Generation)| {
            // Without a generation, a process cannot be told apart from an ended one of that name.
            let has_generation = process.generation > Generation(0);
            has_generation && *instance == process.instance && process.generation <= *last
        };
        self.ended.iter().any(covers)
    }

    /// Compares an announcement of `process` with the latest one known at the address.
    fn compare_process(&self, address: SocketAddr, process: &UpstreamProcess) -> ProcessOrder {
        let Some(latest) = self.latest.get(&address) else { return ProcessOrder::Later };
        if !latest.process.is_same(process) {
            let is_earlier = process.generation < latest.process.generation;
            return if is_earlier { ProcessOrder::Stale } else { ProcessOrder::Later };
        }
        match !latest.withdrawn && process.sequence > latest.process.sequence {
            true => ProcessOrder::Same,
            false => ProcessOrder::Stale,
        }
    }

    /// Marks an upstream as draining; returns whether that is new.
    pub fn drain(&mut self, service: &ServiceName, address: SocketAddr) -> bool {
        let Some(lease) = self.leases.get_mut(&(service.clone(), address)) else { return false };
        let previous = std::mem::replace(&mut lease.announcement.state, UpstreamState::Draining);
        previous != UpstreamState::Draining
    }

    /// Ends a lease; returns whether there was one.
    pub fn withdraw(&mut self, service: &ServiceName, address: SocketAddr) -> bool {
        self.leases.remove(&(service.clone(), address)).is_some()
    }

    /// Ends the lease of the process `instance`; returns the removed upstream, if any.
    ///
    /// `generation` is that of the process, if known: the end of an earlier process with the same
    /// name does not affect a later one.
    pub fn withdraw_process(
        &mut self,
        instance: &InstanceId,
        generation: Option<Generation>,
    ) -> Option<Announcement> {
        let ends = |p: &UpstreamProcess| {
            p.instance == *instance && generation.is_none_or(|g| g >= p.generation)
        };
        self.ended.push_back((instance.clone(), generation.unwrap_or(Generation(0))));
        if self.ended.len() > MAX_ENDED_PROCESSES {
            self.ended.pop_front();
        }
        self.unconfirmed.retain(|_, a| !a.process.as_ref().is_some_and(ends));
        for latest in self.latest.values_mut().filter(|l| ends(&l.process)) {
            latest.withdrawn = true;
        }
        let ends_lease = |lease: &&Lease| lease.announcement.process.as_ref().is_some_and(ends);
        let removed = self.leases.values().find(ends_lease)?.announcement.clone();
        self.leases.remove(&(removed.service.clone(), removed.address));
        Some(removed)
    }

    /// Removes expired leases; returns the removed upstreams.
    pub fn expire(&mut self, now: MonoTime) -> Vec<Announcement> {
        let mut removed = Vec::new();
        self.leases.retain(|_, lease| {
            let expired = lease.deadline.is_past(now);
            if expired {
                removed.push(lease.announcement.clone());
            }
            !expired
        });
        removed
    }

    /// Returns the upstreams whose lease is valid at `now`, ordered by service and address.
    pub fn current(&self, now: MonoTime) -> Vec<Announcement> {
        let live = self.leases.values().filter(|l| !l.deadline.is_past(now));
        let mut list: Vec<_> = live.map(|l| l.announcement.clone()).collect();
        list.sort_by(|a, b| (&a.service, a.address).cmp(&(&b.service, b.address)));
        list
    }

    /// Returns the current upstreams in the form sent to other nodes.
    pub fn summary(&self, now: MonoTime) -> Vec<Upstream> {
        let upstream =
            |a: Announcement| Upstream { service: a.service, slots: a.slots, state: a.state };
        self.current(now).into_iter().map(upstream).collect()
    }
}

/// The order of an announcement relative to the latest one known at its address.
enum ProcessOrder {
    Stale,
    Same,
    Later,
}
