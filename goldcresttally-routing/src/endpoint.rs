//! An endpoint and what this node has observed of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use goldcresttally_core::{Generation, MonoTime, NodeId};

/// Latency assumed of an endpoint that has not answered yet, in microseconds.
const FIRST_LATENCY_US: u64 = 5000;

/// Time for which a reported load is used, in milliseconds.
const REPORT_VALIDITY_MS: u64 = 1000;

/// How near an endpoint is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Locality {
    /// In this node's failure domain.
    Domain,
    /// In another failure domain of this node's region.
    Region,
    /// In another region.
    Remote,
}

/// Ranks whose load is told apart; the least urgent ones share the last class.
const RANK_CLASSES: usize = 4;

#[derive(Debug, Default)]
struct Reported {
    load: AtomicU32,
    at_us: AtomicU64,
}

fn class(rank: usize) -> usize {
    rank.min(RANK_CLASSES - 1)
}

/// What this node has observed of an endpoint; shared by the threads that serve calls.
#[derive(Debug, Default)]
pub struct Observed {
    /// By rank class.
    in_flight: [AtomicU32; RANK_CLASSES],
    latency_us: AtomicU64,
    failures: AtomicU32,
    ejected_until_us: AtomicU64,
    /// Load in thousandths of the limit by rank class, as the node beside the upstream reported it.
    reported: [Reported; RANK_CLASSES],
}

impl Observed {
    /// Returns the calls that this node has in flight there and that a call of `rank` would have
    /// to wait for: those of its own rank and of more urgent ones.
    pub fn in_flight(&self, rank: usize) -> u32 {
        self.in_flight[..=class(rank)].iter().map(|n| n.load(Ordering::Relaxed)).sum()
    }

    /// Returns the average latency, in microseconds.
    pub fn latency_us(&self) -> u64 {
        match self.latency_us.load(Ordering::Relaxed) {
            0 => FIRST_LATENCY_US,
            latency => latency,
        }
    }

    /// Notes the start of a call of `rank`.
    pub fn start(&self, rank: usize) {
        self.in_flight[class(rank)].fetch_add(1, Ordering::Relaxed);
    }

    /// Notes the end of a call of `rank`, whatever came of it.
    pub fn end(&self, rank: usize) {
        self.in_flight[class(rank)].fetch_sub(1, Ordering::Relaxed);
    }

    /// Notes an answer that took `latency`.
    pub fn answered(&self, latency: Duration) {
        let sample = latency.as_micros() as u64;
        let old = self.latency_us();
        // Two threads may overwrite each other; an average does not mind a lost sample.
        let new = (old * 7 + sample) / 8;
        self.latency_us.store(new.max(1), Ordering::Relaxed);
        self.failures.store(0, Ordering::Relaxed);
    }

    /// Notes a failure; returns how many have followed each other.
    pub fn failed(&self) -> u32 {
        self.failures.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Notes the load that the node beside the upstream reported to a call of `rank`, in
    /// thousandths of its limit.
    pub fn report(&self, now: MonoTime, rank: usize, load: u32) {
        let reported = &self.reported[class(rank)];
        reported.load.store(load, Ordering::Relaxed);
        reported.at_us.store(now.0, Ordering::Relaxed);
    }

    /// Returns the load reported to `rank` of late, in thousandths of the limit; 0 when there is
    /// none.
    pub fn reported_load(&self, now: MonoTime, rank: usize) -> u32 {
        let reported = &self.reported[class(rank)];
        let at = MonoTime(reported.at_us.load(Ordering::Relaxed));
        match now.since(at) < Duration::from_millis(REPORT_VALIDITY_MS) {
            true => reported.load.load(Ordering::Relaxed),
            false => 0,
        }
    }

    /// Leaves the endpoint out until `until`.
    pub fn eject(&self, until: MonoTime) {
        self.ejected_until_us.store(until.0, Ordering::Relaxed);
    }

    /// Tells whether the endpoint is left out at `now`.
    pub fn is_ejected(&self, now: MonoTime) -> bool {
        self.ejected_until_us.load(Ordering::Relaxed) > now.0
    }
}

/// An endpoint of a service: the node beside the upstream.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// The node.
    pub node: NodeId,
    /// The generation of the node.
    pub generation: Generation,
    /// The node's address for calls from other nodes.
    pub peer: SocketAddr,
    /// How near it is.
    pub locality: Locality,
    /// The calls that its upstreams run at once.
    pub slots: u32,
    /// Whether an upstream there is ready; a starting one gets calls only when none is.
    pub ready: bool,
    /// When this node first saw it, for slow start.
    pub since: MonoTime,
    /// What was observed of it.
    pub observed: Arc<Observed>,
}
