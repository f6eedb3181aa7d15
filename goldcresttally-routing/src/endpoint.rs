//! An endpoint and what this node has observed of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicI32, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use goldcresttally_core::{Generation, MonoTime, NodeId};

use crate::class_table::{ClassTable, class_key};
use crate::load::LoadReport;

/// Time for which a reported load is used, in milliseconds.
const REPORT_VALIDITY_MS: u64 = 1500;

/// Weight of one outcome in the share of failures, in thousandths.
const FAILURE_WEIGHT_MILLI: u32 = 60;

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

/// The load last reported to calls of one rank class.
#[derive(Debug, Default)]
struct Reported {
    free: AtomicI32,
    /// Calls of this node in flight there when it was reported.
    own: AtomicU32,
    at_us: AtomicU64,
}

fn class(rank: usize) -> usize {
    rank.min(RANK_CLASSES - 1)
}

/// What this node has observed of an endpoint; shared by the threads that serve calls.
#[derive(Debug, Default)]
pub struct EndpointStats {
    /// By rank class.
    in_flight: [AtomicU32; RANK_CLASSES],
    failures: AtomicU32,
    /// Silences since the last answer.
    silences: AtomicU32,
    /// Share of calls that failed of late, in thousandths.
    failed_milli: AtomicU32,
    ejected_until_us: AtomicU64,
    /// By rank class, as the node beside the upstream reported it.
    reported: [Reported; RANK_CLASSES],
    limit: AtomicU32,
    turn_ms: AtomicU32,
    /// Usual time of a call by class, in milliseconds.
    work_ms: ClassTable,
}

impl EndpointStats {
    /// Returns the calls that this node has in flight there and that a call of `rank` would have
    /// to wait for: those of its own rank and of more urgent ones.
    pub fn in_flight(&self, rank: usize) -> u32 {
        self.in_flight[..=class(rank)].iter().map(|n| n.load(Ordering::Relaxed)).sum()
    }

    /// Notes the start of a call of `rank`.
    pub fn call_started(&self, rank: usize) {
        self.in_flight[class(rank)].fetch_add(1, Ordering::Relaxed);
    }

    /// Notes the end of a call of `rank`, whatever came of it.
    pub fn call_ended(&self, rank: usize) {
        self.in_flight[class(rank)].fetch_sub(1, Ordering::Relaxed);
    }

    /// Notes an answer: a node that was silent is so no more.
    pub fn on_answer(&self) {
        self.failures.store(0, Ordering::Relaxed);
        if self.silences.swap(0, Ordering::Relaxed) > 0 {
            self.ejected_until_us.store(0, Ordering::Relaxed);
        }
        self.record_outcome(false);
    }

    /// Notes that the node was silent; returns how often it had been since its last answer. Calls
    /// that find out at the same time, while it is left out, count once.
    pub fn on_silent(&self, now: MonoTime) -> u32 {
        match self.is_ejected(now) {
            true => self.silences.load(Ordering::Relaxed).saturating_sub(1),
            false => self.silences.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Notes a failure; returns how many have followed each other.
    pub fn on_failure(&self) -> u32 {
        self.record_outcome(true);
        self.failures.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Notes whether the upstream itself failed a call.
    pub fn record_outcome(&self, failed: bool) {
        let sample = if failed { 1000 } else { 0 };
        let held = self.failed_milli.load(Ordering::Relaxed);
        let kept = held * (1000 - FAILURE_WEIGHT_MILLI);
        let mean = (kept + sample * FAILURE_WEIGHT_MILLI) / 1000;
        self.failed_milli.store(mean, Ordering::Relaxed);
    }

    /// Returns the share of calls that failed of late.
    pub fn failure_rate(&self) -> f64 {
        f64::from(self.failed_milli.load(Ordering::Relaxed)) / 1000.0
    }

    /// Notes the load that the node beside the upstream reported to a call of `rank` and `target`.
    pub fn record_load(&self, now: MonoTime, rank: usize, target: Duration, load: LoadReport) {
        let reported = &self.reported[class(rank)];
        reported.free.store(load.free, Ordering::Relaxed);
        reported.own.store(self.in_flight(rank), Ordering::Relaxed);
        reported.at_us.store(now.0, Ordering::Relaxed);
        self.limit.store(load.limit, Ordering::Relaxed);
        self.turn_ms.store(load.turn_ms, Ordering::Relaxed);
        if load.work_ms > 0 {
            self.work_ms.set(class_key(rank, target.as_millis() as u64), load.work_ms);
        }
    }

    /// Returns the load that a call of `rank` would meet now: what was reported of late, and the
    /// calls that this node has sent since; `slots` are what the upstream announced.
    pub fn load(&self, now: MonoTime, rank: usize, slots: u32) -> LoadReport {
        let own = self.in_flight(rank) as i32;
        let reported = &self.reported[class(rank)];
        let at = MonoTime(reported.at_us.load(Ordering::Relaxed));
        let valid = at.0 > 0 && now.since(at) < Duration::from_millis(REPORT_VALIDITY_MS);
        let free = match valid {
            true => {
                let since = own - reported.own.load(Ordering::Relaxed) as i32;
                reported.free.load(Ordering::Relaxed) - since
            }
            false => slots as i32 - own,
        };
        let limit = match self.limit.load(Ordering::Relaxed) {
            0 => slots,
            limit => limit,
        };
        LoadReport { free, limit, turn_ms: self.turn_ms.load(Ordering::Relaxed), work_ms: 0 }
    }

    /// Returns the usual time of calls of a class, in milliseconds, once it was reported.
    pub fn service_time_ms(&self, key: u32) -> Option<u32> {
        self.work_ms.get(key)
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
    pub ready_since: MonoTime,
    /// What was observed of it.
    pub stats: Arc<EndpointStats>,
}
