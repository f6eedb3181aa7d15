//! The upstreams that announce themselves to this node, under leases.

use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use goldcresttally_core::{Deadline, Generation, InstanceId, Map, MonoTime, ServiceName};

use crate::record::{Upstream, UpstreamState};

/// Duration of a lease that is not renewed, in milliseconds, unless the settings say otherwise.
pub const LEASE_MS: u64 = 3000;

/// Ended processes that are remembered: those of one VM over a quarter of an hour of restarts
/// every ten seconds or so.
const ENDED_LIMIT: usize = 100;

/// What an upstream says of itself, at first and with every renewal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// The service it runs.
    pub service: ServiceName,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// The calls it runs at once.
    pub slots: u32,
    /// Its state.
    pub state: UpstreamState,
    /// Which process at the address it is, where upstreams tell.
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

/// Orders what the processes that run in turn at one address say of themselves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamProcess {
    /// Its name, which a later process may bear again.
    pub instance: InstanceId,
    /// Grows from one process at the address to the next; 0 when it is not told.
    pub generation: Generation,
    /// Grows with each announcement of the process.
    pub sequence: u64,
}

impl UpstreamProcess {
    /// Tells whether `other` is the same process.
    pub fn is_same(&self, other: &Self) -> bool {
        self.instance == other.instance && self.generation == other.generation
    }
}

/// What became of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// The set of upstreams, or what is known of one, changed.
    Changed,
    /// The lease was renewed.
    Renewed,
    /// It is the first that is heard of a process that ran before this one started, and may have
    /// been on its way since before the process's end; it counts once it is confirmed, or repeated.
    Unconfirmed,
    /// It was overtaken: a later announcement, a later process or the end of the process is known.
    Stale,
}

#[derive(Debug)]
struct Lease {
    announcement: Announcement,
    deadline: Deadline,
}

/// The latest process known at an address.
#[derive(Debug)]
struct Latest {
    process: UpstreamProcess,
    withdrawn: bool,
}

/// The upstreams beside this node.
///
/// A draining upstream cannot become ready again under the same lease: an announcement that
/// was delayed on its way must not undo the drain. Where upstreams tell their processes apart,
/// a delayed announcement cannot undo a withdrawal or displace a later process either.
#[derive(Debug)]
pub struct Registry {
    lease: Duration,
    leases: Map<(ServiceName, SocketAddr), Lease>,
    latest: Map<SocketAddr, Latest>,
    /// The start of this process, as a generation; 0 doubts nothing.
    started: Generation,
    /// What was heard first of processes older than this one.
    doubtful: Map<SocketAddr, Announcement>,
    /// Processes that have ended, the latest last, whether or not they were known: a node that has
    /// just started may hear of an end first, and then what the process had said before.
    ended: VecDeque<(InstanceId, Generation)>,
}

impl Default for Registry {
    fn default() -> Self {
        Self::new(Duration::from_millis(LEASE_MS))
    }
}

impl Registry {
    /// Returns a registry whose leases last for `lease`.
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            leases: Map::default(),
            latest: Map::default(),
            started: Generation(0),
            doubtful: Map::default(),
            ended: VecDeque::new(),
        }
    }

    /// Has processes doubted that run since before `started`, on the scale of their generations,
    /// until what is heard of them first is confirmed.
    pub fn require_confirmation_before(&mut self, started: Generation) {
        self.started = started;
    }

    /// Takes or renews a lease.
    pub fn announce(&mut self, now: MonoTime, announcement: Announcement) -> AnnounceOutcome {
        if let Some(process) = &announcement.process {
            if self.has_ended(process) {
                return AnnounceOutcome::Stale;
            }
            if self.is_doubtful(&announcement, process) {
                self.doubtful.insert(announcement.address, announcement);
                return AnnounceOutcome::Unconfirmed;
            }
            self.doubtful.remove(&announcement.address);
            match self.order(announcement.address, process) {
                Order::Stale => return AnnounceOutcome::Stale,
                Order::Same => {}
                // What was said of an earlier process says nothing of this one.
                Order::Later => self.leases.retain(|(_, at), _| *at != announcement.address),
            }
            let latest = Latest { process: process.clone(), withdrawn: false };
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
        let held = &lease.announcement;
        let same = held.slots == announcement.slots && held.state == announcement.state;
        if held.state == UpstreamState::Draining || same {
            return AnnounceOutcome::Renewed;
        }
        lease.announcement = announcement;
        AnnounceOutcome::Changed
    }

    /// Takes a doubtful announcement as true: the process has confirmed it since.
    pub fn confirm(&mut self, now: MonoTime, address: SocketAddr, instance: &InstanceId) -> bool {
        let is_it = |a: &Announcement| a.process.as_ref().is_some_and(|p| p.instance == *instance);
        if !self.doubtful.get(&address).is_some_and(is_it) {
            return false;
        }
        let Some(announcement) = self.doubtful.remove(&address) else { return false };
        let process = announcement.process.clone();
        let latest = process.map(|process| Latest { process, withdrawn: false });
        self.latest.extend(latest.map(|latest| (address, latest)));
        self.renew(now, announcement) == AnnounceOutcome::Changed
    }

    fn is_doubtful(&self, announcement: &Announcement, process: &UpstreamProcess) -> bool {
        let known =
            self.latest.get(&announcement.address).is_some_and(|l| l.process.is_same(process));
        let older = process.generation > Generation(0) && process.generation < self.started;
        let draining = announcement.state == UpstreamState::Draining;
        let repeated = self.doubtful.get(&announcement.address).and_then(|a| a.process.as_ref());
        let repeated =
            repeated.is_some_and(|p| p.is_same(process) && p.sequence < process.sequence);
        !known && older && !draining && !repeated
    }

    fn has_ended(&self, process: &UpstreamProcess) -> bool {
        let is_it = |(instance, last): &(InstanceId, Generation)| {
            // Of a process that tells no generation, an end says nothing about the next one.
            let told = process.generation > Generation(0);
            told && *instance == process.instance && process.generation <= *last
        };
        self.ended.iter().any(is_it)
    }

    /// Orders an announcement of `process` after what is known at the address.
    fn order(&self, address: SocketAddr, process: &UpstreamProcess) -> Order {
        let Some(latest) = self.latest.get(&address) else { return Order::Later };
        if !latest.process.is_same(process) {
            let earlier = process.generation < latest.process.generation;
            return if earlier { Order::Stale } else { Order::Later };
        }
        match !latest.withdrawn && process.sequence > latest.process.sequence {
            true => Order::Same,
            false => Order::Stale,
        }
    }

    /// Ends a lease at the upstream's wish; returns whether there was one.
    pub fn withdraw(&mut self, service: &ServiceName, address: SocketAddr) -> bool {
        self.leases.remove(&(service.clone(), address)).is_some()
    }

    /// Ends the lease of the process `instance`; returns the upstream that is gone.
    ///
    /// `generation` is that of the process, where it is told: the end of an earlier process of
    /// that name says nothing of a later one.
    pub fn withdraw_process(
        &mut self,
        instance: &InstanceId,
        generation: Option<Generation>,
    ) -> Option<Announcement> {
        let ends = |p: &UpstreamProcess| {
            p.instance == *instance && generation.is_none_or(|g| g >= p.generation)
        };
        self.ended.push_back((instance.clone(), generation.unwrap_or(Generation(0))));
        if self.ended.len() > ENDED_LIMIT {
            self.ended.pop_front();
        }
        self.doubtful.retain(|_, a| !a.process.as_ref().is_some_and(ends));
        for latest in self.latest.values_mut().filter(|l| ends(&l.process)) {
            latest.withdrawn = true;
        }
        let held = |lease: &&Lease| lease.announcement.process.as_ref().is_some_and(ends);
        let gone = self.leases.values().find(held)?.announcement.clone();
        self.leases.remove(&(gone.service.clone(), gone.address));
        Some(gone)
    }

    /// Ends the leases that lapsed; returns the upstreams that are gone.
    pub fn expire(&mut self, now: MonoTime) -> Vec<Announcement> {
        let mut gone = Vec::new();
        self.leases.retain(|_, lease| {
            let lapsed = lease.deadline.is_past(now);
            if lapsed {
                gone.push(lease.announcement.clone());
            }
            !lapsed
        });
        gone
    }

    /// Returns the upstreams whose lease holds at `now`, ordered.
    pub fn current(&self, now: MonoTime) -> Vec<Announcement> {
        let live = self.leases.values().filter(|l| !l.deadline.is_past(now));
        let mut list: Vec<_> = live.map(|l| l.announcement.clone()).collect();
        list.sort_by(|a, b| (&a.service, a.address).cmp(&(&b.service, b.address)));
        list
    }

    /// Returns the upstreams as other nodes need to know them.
    pub fn summary(&self, now: MonoTime) -> Vec<Upstream> {
        let upstream =
            |a: Announcement| Upstream { service: a.service, slots: a.slots, state: a.state };
        self.current(now).into_iter().map(upstream).collect()
    }
}

/// How an announcement stands to what is known at its address.
enum Order {
    Stale,
    Same,
    Later,
}
