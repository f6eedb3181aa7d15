//! An endpoint and this node's statistics about it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicI32, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use goldcresttally_core::{BitRate, Generation, MonoTime, NodeId};

use crate::class_table::{ClassTable, class_key};
use crate::load::LoadReport;

/// Time after which a reported load is out of date, in milliseconds.
const REPORT_VALIDITY_MS: u64 = 1500;

/// Weight of one outcome in the moving failure rate, in thousandths.
const FAILURE_WEIGHT_MILLI: u32 = 60;

/// Network distance of an endpoint from this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Locality {
    /// On this node's VM.
    Vm,
    /// In this node's failure domain.
    Domain,
    /// In another failure domain of this node's region.
    Region,
    /// In another region.
    Remote,
}

/// Number of rank classes with separate load; the least urgent ranks share the last one.
const RANK_CLASSES: usize = 4;

/// Index of the load that nested calls meet, of whatever rank.
const NESTED_LOAD: usize = RANK_CLASSES;

/// Bit of a reported service time that marks the calls of its class as nested.
const NESTED_BIT: u32 = 1 << 31;

/// The load last reported in answers to calls of one rank class.
#[derive(Debug, Default)]
struct ReportedLoad {
    free: AtomicI32,
    /// Calls of this node in flight at the endpoint when the report arrived.
    own_in_flight: AtomicU32,
    link_ms: AtomicU32,
    received_at_us: AtomicU64,
}

/// Room for calls of one rank, as an endpoint reported it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReportedRoom {
    /// Free slots; negative values count the waiting calls.
    pub free: f64,
    /// Calls that this node has started there since, less those that have ended.
    pub started_since: f64,
    /// Time since the report arrived.
    pub age: Duration,
}

fn rank_class(rank: usize) -> usize {
    rank.min(RANK_CLASSES - 1)
}

fn load_index(rank: usize, nested: bool) -> usize {
    if nested { NESTED_LOAD } else { rank_class(rank) }
}

/// This node's statistics about an endpoint. Shared by the threads that serve calls.
#[derive(Debug, Default)]
pub struct EndpointStats {
    /// Calls in flight by rank class.
    in_flight: [AtomicU32; RANK_CLASSES],
    /// Consecutive failures.
    failures: AtomicU32,
    /// Times that the node was found silent since its last answer.
    silent_probes: AtomicU32,
    /// Moving share of calls that failed, in thousandths.
    failure_rate_milli: AtomicU32,
    ejected_until_us: AtomicU64,
    /// Load by rank class and of nested calls, as last reported by the node beside the upstream.
    reported: [ReportedLoad; RANK_CLASSES + 1],
    limit: AtomicU32,
    turn_ms: AtomicU32,
    /// Reported average service time by call class, in milliseconds, with `NESTED_BIT`.
    service_times_ms: ClassTable,
}

impl EndpointStats {
    /// Returns the number of this node's calls in flight at the endpoint that a call of `rank`
    /// would have to wait for: those of its own rank and of more urgent ones.
    pub fn in_flight(&self, rank: usize) -> u32 {
        self.in_flight[..=rank_class(rank)].iter().map(|n| n.load(Ordering::Relaxed)).sum()
    }

    /// Records the start of a call of `rank`.
    pub fn call_started(&self, rank: usize) {
        self.in_flight[rank_class(rank)].fetch_add(1, Ordering::Relaxed);
    }

    /// Records the end of a call of `rank`, whatever its outcome.
    pub fn call_ended(&self, rank: usize) {
        self.in_flight[rank_class(rank)].fetch_sub(1, Ordering::Relaxed);
    }

    /// Records an answer. A node that was ejected as silent is readmitted at once.
    pub fn on_answer(&self) {
        self.failures.store(0, Ordering::Relaxed);
        if self.silent_probes.swap(0, Ordering::Relaxed) > 0 {
            self.ejected_until_us.store(0, Ordering::Relaxed);
        }
        self.record_outcome(false);
    }

    /// Records that the node did not answer a probe; returns how often that had happened before,
    /// since its last answer. Calls that detect it while it is already ejected do not count again.
    pub fn on_silent(&self, now: MonoTime) -> u32 {
        match self.is_ejected(now) {
            true => self.silent_probes.load(Ordering::Relaxed).saturating_sub(1),
            false => self.silent_probes.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Records a failure; returns the number of consecutive failures.
    pub fn on_failure(&self) -> u32 {
        self.record_outcome(true);
        self.failures.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Updates the moving failure rate, without counting towards ejection.
    pub fn record_outcome(&self, failed: bool) {
        let sample = if failed { 1000 } else { 0 };
        let previous = self.failure_rate_milli.load(Ordering::Relaxed);
        let weighted = previous * (1000 - FAILURE_WEIGHT_MILLI);
        let mean = (weighted + sample * FAILURE_WEIGHT_MILLI) / 1000;
        self.failure_rate_milli.store(mean, Ordering::Relaxed);
    }

    /// Returns the moving share of calls that failed, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        f64::from(self.failure_rate_milli.load(Ordering::Relaxed)) / 1000.0
    }

    /// Records the load that the node beside the upstream reported with the answer to a call of
    /// `rank` and `target`.
    pub fn record_load(&self, now: MonoTime, rank: usize, target: Duration, load: LoadReport) {
        let reported = &self.reported[load_index(rank, load.nested)];
        reported.free.store(load.free, Ordering::Relaxed);
        reported.own_in_flight.store(self.in_flight(rank), Ordering::Relaxed);
        reported.link_ms.store(load.link_ms, Ordering::Relaxed);
        reported.received_at_us.store(now.0, Ordering::Relaxed);
        self.limit.store(load.limit, Ordering::Relaxed);
        self.turn_ms.store(load.turn_ms, Ordering::Relaxed);
        if load.work_ms > 0 {
            let work_ms = load.work_ms.min(NESTED_BIT - 1);
            let nested = if load.nested { NESTED_BIT } else { 0 };
            let key = class_key(rank, target.as_millis() as u64);
            self.service_times_ms.set(key, work_ms | nested);
        }
    }

    /// Returns the load that a call of `rank`, `nested` or not, would meet now: the last report, if it is recent,
    /// adjusted by the calls that this node has started since. Without one, assumes the `slots`
    /// that the upstream announced, less this node's own calls.
    pub fn load(&self, now: MonoTime, rank: usize, nested: bool, slots: u32) -> LoadReport {
        let own = self.in_flight(rank) as i32;
        let reported = &self.reported[load_index(rank, nested)];
        let at = MonoTime(reported.received_at_us.load(Ordering::Relaxed));
        let valid = at.0 > 0 && now.since(at) < Duration::from_millis(REPORT_VALIDITY_MS);
        let free = match valid {
            true => {
                let started_since = own - reported.own_in_flight.load(Ordering::Relaxed) as i32;
                reported.free.load(Ordering::Relaxed) - started_since
            }
            false => slots as i32 - own,
        };
        let limit = match self.limit.load(Ordering::Relaxed) {
            0 => slots,
            limit => limit,
        };
        let link_ms = if valid { reported.link_ms.load(Ordering::Relaxed) } else { 0 };
        let turn_ms = self.turn_ms.load(Ordering::Relaxed);
        LoadReport { free, limit, turn_ms, work_ms: 0, link_ms, nested }
    }

    /// Returns the room that was last reported for calls of `rank`, `nested` or not, however long ago;
    /// `None` without a report.
    pub fn reported_room(&self, now: MonoTime, rank: usize, nested: bool) -> Option<ReportedRoom> {
        let reported = &self.reported[load_index(rank, nested)];
        let at = MonoTime(reported.received_at_us.load(Ordering::Relaxed));
        if at.0 == 0 {
            return None;
        }
        let own = f64::from(self.in_flight(rank));
        Some(ReportedRoom {
            free: f64::from(reported.free.load(Ordering::Relaxed)),
            started_since: own - f64::from(reported.own_in_flight.load(Ordering::Relaxed)),
            age: now.since(at),
        })
    }

    /// Returns when the load that a call of `rank`, `nested` or not, would meet was last reported;
    /// `None` if that is too long ago.
    pub fn reported_at(&self, now: MonoTime, rank: usize, nested: bool) -> Option<MonoTime> {
        let at = &self.reported[load_index(rank, nested)].received_at_us;
        let at = MonoTime(at.load(Ordering::Relaxed));
        let valid = at.0 > 0 && now.since(at) < Duration::from_millis(REPORT_VALIDITY_MS);
        valid.then_some(at)
    }

    /// Returns the reported average service time of a call class, in milliseconds.
    pub fn service_time_ms(&self, key: u32) -> Option<u32> {
        self.service_times_ms.get(key).map(|value| value & !NESTED_BIT)
    }

    /// Returns whether the calls of a class were reported as nested.
    pub fn is_nested(&self, key: u32) -> bool {
        self.service_times_ms.get(key).is_some_and(|value| value & NESTED_BIT != 0)
    }

    /// Ejects the endpoint until `until`.
    pub fn eject(&self, until: MonoTime) {
        self.ejected_until_us.store(until.0, Ordering::Relaxed);
    }

    /// Returns whether the endpoint is ejected at `now`.
    pub fn is_ejected(&self, now: MonoTime) -> bool {
        self.ejected_until_us.load(Ordering::Relaxed) > now.0
    }
}

/// An endpoint of a service: the node beside one or more of its upstreams.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// The node's identity.
    pub node: NodeId,
    /// The generation of the node.
    pub generation: Generation,
    /// The node's address for calls from other nodes.
    pub peer: SocketAddr,
    /// Network distance from this node.
    pub locality: Locality,
    /// The rate of its VM's link; 0 if unknown.
    pub link: BitRate,
    /// Number of calls that its upstreams run at the same time.
    pub slots: u32,
    /// Whether an upstream there is ready. Endpoints that are still starting get calls only when no
    /// endpoint is ready.
    pub ready: bool,
    /// When this node first saw it ready; slow start counts from here.
    pub ready_since: MonoTime,
    /// Thousandths of the service's calls that upstreams of a release under test are to get; 0 for
    /// any other upstream.
    pub trial_milli: u16,
    /// This node's statistics about it; kept when the list of endpoints is rebuilt.
    pub stats: Arc<EndpointStats>,
}
