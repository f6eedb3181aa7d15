//! What the request path reads: snapshot and endpoints, each swapped whole.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use arc_swap::ArcSwap;
use goldcresttally_config::Snapshot;
use goldcresttally_core::{AttemptId, Generation, Map, NodeId, ServiceName};
use goldcresttally_routing::{Endpoint, RetryBudget, Throttle};

use crate::clock::Clock;
use crate::counters::Counters;

/// Who this node is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Identity {
    /// The node.
    pub node: NodeId,
    /// Its address for calls from other nodes.
    pub peer: SocketAddr,
    /// Its generation.
    pub generation: Generation,
}

/// The endpoints of each service.
pub type EndpointTable = Map<ServiceName, Arc<[Endpoint]>>;

/// Limits of one service and rank at the entry; a flood of one rank leaves the others theirs.
#[derive(Debug, Default)]
pub struct EntryLimits {
    /// Refuses early what the upstreams would refuse.
    pub throttle: Throttle,
    /// Bounds retries.
    pub retries: RetryBudget,
}

/// The snapshot in force, with the limits of each service and rank at the entry.
#[derive(Debug, Default)]
pub struct Serving {
    /// The configuration.
    pub snapshot: Snapshot,
    /// The limits of each service and rank.
    pub limits: Map<ServiceName, Vec<EntryLimits>>,
}

impl Serving {
    /// Prepares a snapshot for serving.
    pub fn new(snapshot: Snapshot) -> Self {
        let ranks = snapshot.ranks().len();
        let by_rank = || (0..ranks).map(|_| EntryLimits::default()).collect();
        let limits = snapshot.services().map(|s| (s.name.clone(), by_rank())).collect();
        Self { snapshot, limits }
    }
}

/// What the request path reads.
#[derive(Debug)]
pub struct State {
    /// Who this node is.
    pub identity: Identity,
    /// Reads the time.
    pub clock: Clock,
    /// Counts what happens.
    pub counters: Counters,
    serving: ArcSwap<Serving>,
    endpoints: ArcSwap<EndpointTable>,
    ready: AtomicBool,
    leaving: AtomicBool,
    sequence: AtomicU64,
    superseded_by: AtomicU64,
}

impl State {
    /// Returns the state of a node that serves nothing yet.
    pub fn new(identity: Identity, clock: Clock) -> Self {
        Self {
            identity,
            clock,
            counters: Counters::default(),
            serving: ArcSwap::default(),
            endpoints: ArcSwap::default(),
            ready: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            superseded_by: AtomicU64::new(0),
        }
    }

    /// Returns the configuration in force; a call keeps the one it began with.
    pub fn serving(&self) -> Arc<Serving> {
        self.serving.load_full()
    }

    /// Puts a snapshot in force if it is newer; returns whether it is in force now.
    pub fn install(&self, snapshot: Snapshot) -> bool {
        let version = snapshot.version();
        // The control thread alone writes, so nothing can come between the test and the store.
        if version <= self.serving.load().snapshot.version() {
            return false;
        }
        self.serving.store(Arc::new(Serving::new(snapshot)));
        true
    }

    /// Returns the endpoints of all services.
    pub fn endpoints(&self) -> Arc<EndpointTable> {
        self.endpoints.load_full()
    }

    /// Replaces the endpoints of all services.
    pub fn set_endpoints(&self, table: EndpointTable) {
        self.endpoints.store(Arc::new(table));
    }

    /// Tells whether this node may serve.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Lets this node serve.
    pub fn set_ready(&self) {
        self.ready.store(true, Ordering::Release);
    }

    /// Tells whether this node takes no new calls to run.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Takes no new calls to run from now on.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Notes that a later generation was seen at this node's address.
    pub fn set_superseded(&self, by: Generation) {
        self.superseded_by.store(by.0, Ordering::Release);
    }

    /// Returns the latest generation seen at this node's address after its own, or its own.
    pub fn latest_generation(&self) -> Generation {
        self.identity.generation.max(Generation(self.superseded_by.load(Ordering::Acquire)))
    }

    /// Returns the id of a new attempt.
    pub fn next_attempt(&self) -> AttemptId {
        AttemptId {
            origin: self.identity.node,
            generation: self.identity.generation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }
}
