//! The upstreams registered with this node; each holds a lease that its announcements renew.

use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use goldcresttally_core::{
    Deadline, Generation, InstanceId, Map, MonoTime, ReleaseName, ServiceName,
};

use crate::record::{Upstream, UpstreamState};

/// Default duration of a lease, in milliseconds.
pub const LEASE_MS: u64 = 3000;

/// Time by which a clock may be wrong or stepped, in milliseconds. A process that started later than
/// a node by less than this may be older than the node.
const CLOCK_TOLERANCE_MS: u64 = 10_000;

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
    /// The release of its software, if the upstream names it.
    pub release: Option<ReleaseName>,
    /// How much longer the upstream is slow after its start.
    pub cold_left: Duration,
}

impl fmt::Display for Announcement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { service, address, slots, state, process, release, .. } = self;
        write!(f, "{service} at {address} with {slots} slots, {state}")?;
        if let Some(release) = release {
            write!(f, " release={release}")?;
        }
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
    /// It is the first announcement of a process that may be older than this node, and may have
    /// been delayed until after that process ended. It takes effect once the process confirms it.
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
    /// Whether it has been draining. A process does not become ready again.
    draining: bool,
}

/// An announcement that waits for confirmation.
#[derive(Debug)]
struct Unconfirmed {
    announcement: Announcement,
    /// Whether the process is being asked.
    checking: bool,
}

impl Unconfirmed {
    fn is_of(&self, process: &UpstreamProcess) -> bool {
        self.announcement.process.as_ref().is_some_and(|p| p.is_same(process))
    }
}

/// The upstreams attached to this node.
///
/// A draining upstream cannot become ready again under the same lease, because a delayed
/// announcement must not undo the drain. If upstreams report their process, a delayed
/// announcement cannot undo a withdrawal or replace a later process either.
///
/// What an upstream said to an earlier process of this node is not known here, and announcements
/// may arrive in any number and at any time after the upstream has left. So only the upstream itself
/// can confirm that a process which this node may have replaced a record of is still in service.
#[derive(Debug)]
pub struct Registry {
    lease: Duration,
    leases: Map<(ServiceName, SocketAddr), Lease>,
    latest: Map<SocketAddr, LatestProcess>,
    /// Processes with a lower generation need confirmation; 0 disables the check.
    confirm_before: Generation,
    /// Announcements that wait for confirmation, by address.
    unconfirmed: Map<SocketAddr, Unconfirmed>,
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

    /// Requires that the first announcement of a process be confirmed if the process may have
    /// started before `started`, by clocks that may be wrong.
    pub fn require_confirmation_before(&mut self, started: Generation) {
        self.confirm_before = Generation(started.0.saturating_add(CLOCK_TOLERANCE_MS));
    }

    /// Grants or renews a lease.
    pub fn announce(&mut self, now: MonoTime, announcement: Announcement) -> AnnounceOutcome {
        let Some(process) = &announcement.process else { return self.renew(now, announcement) };
        if self.has_ended(process) {
            return AnnounceOutcome::Stale;
        }
        if self.needs_confirmation(&announcement, process) {
            self.await_confirmation(announcement);
            return AnnounceOutcome::Unconfirmed;
        }
        self.unconfirmed.remove(&announcement.address);
        self.accept(now, announcement)
    }

    /// Keeps the latest announcement of the process that is to confirm it.
    fn await_confirmation(&mut self, announcement: Announcement) {
        let Some(process) = &announcement.process else { return };
        let waiting = self.unconfirmed.get_mut(&announcement.address).filter(|w| w.is_of(process));
        let Some(waiting) = waiting else {
            let waiting = Unconfirmed { announcement, checking: false };
            self.unconfirmed.insert(waiting.announcement.address, waiting);
            return;
        };
        let latest = waiting.announcement.process.as_ref();
        if latest.is_none_or(|latest| latest.sequence < process.sequence) {
            waiting.announcement = announcement;
        }
    }

    /// Grants or renews the lease of a process that needs no confirmation, unless the announcement
    /// is out of date.
    fn accept(&mut self, now: MonoTime, mut announcement: Announcement) -> AnnounceOutcome {
        let Some(process) = &announcement.process else { return self.renew(now, announcement) };
        let address = announcement.address;
        let mut draining = announcement.state == UpstreamState::Draining;
        match self.compare_process(address, process) {
            ProcessOrder::Stale => return AnnounceOutcome::Stale,
            ProcessOrder::Same => draining |= self.latest.get(&address).is_some_and(|l| l.draining),
            // Leases of an earlier process do not apply to this one.
            ProcessOrder::Later => self.leases.retain(|(_, at), _| *at != address),
        }
        let latest = LatestProcess { process: process.clone(), withdrawn: false, draining };
        self.latest.insert(address, latest);
        if draining {
            announcement.state = UpstreamState::Draining;
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
        let unchanged = stored.slots == announcement.slots
            && stored.state == announcement.state
            && stored.release == announcement.release;
        if stored.state == UpstreamState::Draining || unchanged {
            return AnnounceOutcome::Renewed;
        }
        lease.announcement = announcement;
        AnnounceOutcome::Changed
    }

    /// Returns whether the process at `address` is to be asked for confirmation now, and marks it as
    /// being asked.
    pub fn begin_confirmation(&mut self, address: SocketAddr, process: &UpstreamProcess) -> bool {
        let waiting = self.unconfirmed.get_mut(&address).filter(|w| w.is_of(process));
        waiting.is_some_and(|w| !std::mem::replace(&mut w.checking, true))
    }

    /// Returns whether an announcement of the process still waits for confirmation.
    pub fn awaits_confirmation(&self, address: SocketAddr, process: &UpstreamProcess) -> bool {
        self.unconfirmed.get(&address).is_some_and(|w| w.is_of(process))
    }

    /// Applies the unconfirmed announcement of a process that has confirmed it; returns whether that
    /// changed the upstreams.
    pub fn confirm(
        &mut self,
        now: MonoTime,
        address: SocketAddr,
        process: &UpstreamProcess,
    ) -> bool {
        if !self.awaits_confirmation(address, process) {
            return false;
        }
        let Some(waiting) = self.unconfirmed.remove(&address) else { return false };
        self.accept(now, waiting.announcement) == AnnounceOutcome::Changed
    }

    /// Forgets the unconfirmed announcement of a process that has not confirmed it; the next one is
    /// checked anew.
    pub fn abandon_confirmation(&mut self, address: SocketAddr, process: &UpstreamProcess) {
        if self.awaits_confirmation(address, process) {
            self.unconfirmed.remove(&address);
        }
    }

    fn needs_confirmation(&self, announcement: &Announcement, process: &UpstreamProcess) -> bool {
        if self.confirm_before == Generation(0) || announcement.state == UpstreamState::Draining {
            return false;
        }
        let latest = self.latest.get(&announcement.address).map(|l| &l.process);
        if latest.is_some_and(|p| p.is_same(process)) {
            return false;
        }
        // Nothing but the start time distinguishes a later process of the same name from a malformed
        // announcement of one that has ended.
        let has_known_name = latest.is_some_and(|p| p.instance == process.instance)
            || self.ended.iter().any(|(instance, _)| *instance == process.instance);
        has_known_name || process.generation < self.confirm_before
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
        if let Some(latest) = self.latest.get_mut(&address) {
            latest.draining = true;
        }
        previous != UpstreamState::Draining
    }

    /// Ends a lease; returns whether there was one.
    pub fn withdraw(&mut self, service: &ServiceName, address: SocketAddr) -> bool {
        self.leases.remove(&(service.clone(), address)).is_some()
    }

    /// Ends the lease of the process `instance`; returns the removed upstream, if any.
    ///
    /// `generation` is that of the process: the end of an earlier process with the same name does
    /// not affect a later one.
    pub fn withdraw_process(
        &mut self,
        instance: &InstanceId,
        generation: Generation,
    ) -> Option<Announcement> {
        let ends = |p: &UpstreamProcess| p.instance == *instance && p.generation <= generation;
        self.ended.push_back((instance.clone(), generation));
        if self.ended.len() > MAX_ENDED_PROCESSES {
            self.ended.pop_front();
        }
        self.unconfirmed.retain(|_, w| !w.announcement.process.as_ref().is_some_and(ends));
        for latest in self.latest.values_mut().filter(|l| ends(&l.process)) {
            latest.withdrawn = true;
        }
        let ends_lease = |lease: &&Lease| lease.announcement.process.as_ref().is_some_and(ends);
        let removed = self.leases.values().find(ends_lease)?.announcement.clone();
        self.leases.remove(&(removed.service.clone(), removed.address));
        Some(removed)
    }

    /// Returns the generation of the latest known process named `instance`; 0 if there is none.
    pub fn generation_of(&self, instance: &InstanceId) -> Generation {
        let waiting = self.unconfirmed.values().filter_map(|w| w.announcement.process.as_ref());
        let known = self.latest.values().map(|l| &l.process).chain(waiting);
        let named = known.filter(|p| p.instance == *instance).map(|p| p.generation);
        named.max().unwrap_or_default()
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
        let upstream = |a: Announcement| Upstream {
            service: a.service,
            slots: a.slots,
            state: a.state,
            release: a.release,
            trial_milli: 0,
        };
        self.current(now).into_iter().map(upstream).collect()
    }
}

/// The order of an announcement relative to the latest one known at its address.
enum ProcessOrder {
    Stale,
    Same,
    Later,
}
