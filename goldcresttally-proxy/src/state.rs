//! What the request path reads: snapshot and endpoints, each swapped whole.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use goldcresttally_config::Snapshot;
use goldcresttally_core::{AttemptId, Deadline, Generation, Map, MonoTime, NodeId, ServiceName};
use goldcresttally_routing::{
    BudgetOptions, ClassTable, Endpoint, Patience, RetryAllowance, RetryBudget, Throttles,
};
use tokio_util::sync::CancellationToken;

use crate::call_log::CallLog;
use crate::clock::Clock;
use crate::conventions::Conventions;
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

/// Limits of one service at the entry.
#[derive(Debug, Default)]
pub struct ServiceLimits {
    /// Refuses early what the upstreams would refuse, by class of call, so that a flood of one
    /// class leaves the others theirs.
    pub throttles: Arc<Throttles>,
    /// Times that callers state, by class of call.
    pub patience: Arc<Patience>,
    /// Bounds retries.
    pub retries: Arc<RetryBudget>,
    /// Usual bytes of a call and its answer, by class of call.
    pub bytes: Arc<ClassTable>,
}

/// The snapshot in force, with the limits of each service and rank at the entry.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    /// The configuration.
    pub snapshot: Snapshot,
    /// The limits of each service.
    pub limits: Map<ServiceName, ServiceLimits>,
}

impl ActiveConfig {
    /// Prepares a snapshot for serving; counts go on from the one before it.
    pub fn new(snapshot: Snapshot, before: &Self) -> Self {
        let limits = |name: &ServiceName| {
            let previous = before.limits.get(name);
            ServiceLimits {
                throttles: previous.map(|h| Arc::clone(&h.throttles)).unwrap_or_default(),
                patience: previous.map(|h| Arc::clone(&h.patience)).unwrap_or_default(),
                retries: previous.map(|h| Arc::clone(&h.retries)).unwrap_or_default(),
                bytes: previous.map(|h| Arc::clone(&h.bytes)).unwrap_or_default(),
            }
        };
        let limits = snapshot.services().map(|s| (s.name.clone(), limits(&s.name))).collect();
        Self { snapshot, limits }
    }
}

/// Counts a call as in flight until it is dropped.
#[derive(Debug)]
pub struct CallGuard(Arc<NodeState>);

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.calls_in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// What the request path reads.
#[derive(Debug)]
pub struct NodeState {
    /// Who this node is.
    pub identity: Identity,
    /// Reads the time.
    pub clock: Clock,
    /// Counts what happens.
    pub counters: Counters,
    /// What callers and upstreams agree on.
    pub conventions: Conventions,
    /// Takes what is decided about calls.
    pub call_log: Arc<dyn CallLog>,
    allowance: ArcSwap<RetryAllowance>,
    /// The most members seen at once, this node included; 0 until the others are known.
    members: AtomicUsize,
    serving: ArcSwap<ActiveConfig>,
    endpoints: ArcSwap<EndpointTable>,
    ready: AtomicBool,
    leaving: AtomicBool,
    /// Until when a leaving node takes calls, and until when they must have ended.
    accepts_until_us: AtomicU64,
    exit_by_us: AtomicU64,
    abort: CancellationToken,
    calls_in_flight: AtomicUsize,
    sequence: AtomicU64,
    superseded_by: AtomicU64,
}

impl NodeState {
    /// Returns the state of a node that serves nothing yet.
    pub fn new(
        identity: Identity,
        clock: Clock,
        conventions: Conventions,
        call_log: Arc<dyn CallLog>,
    ) -> Self {
        Self {
            call_log,
            identity,
            clock,
            conventions,
            allowance: ArcSwap::default(),
            members: AtomicUsize::new(0),
            counters: Counters::default(),
            serving: ArcSwap::default(),
            endpoints: ArcSwap::default(),
            ready: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            accepts_until_us: AtomicU64::new(u64::MAX),
            exit_by_us: AtomicU64::new(u64::MAX),
            abort: CancellationToken::new(),
            calls_in_flight: AtomicUsize::new(0),
            sequence: AtomicU64::new(0),
            superseded_by: AtomicU64::new(0),
        }
    }

    /// Returns the configuration in force; a call keeps the one it began with.
    pub fn active_config(&self) -> Arc<ActiveConfig> {
        self.serving.load_full()
    }

    /// Puts a snapshot in force if it is newer; returns whether it is in force now.
    pub fn install(&self, snapshot: Snapshot) -> bool {
        let version = snapshot.version();
        // The control thread alone writes, so nothing can come between the test and the store.
        if version <= self.serving.load().snapshot.version() {
            return false;
        }
        let serving = ActiveConfig::new(snapshot, &self.serving.load());
        self.serving.store(Arc::new(serving));
        true
    }

    /// Sets what all nodes together may spend on retries.
    pub fn set_retry_allowance(&self, allowance: RetryAllowance) {
        self.allowance.store(Arc::new(allowance));
    }

    /// Returns what all nodes together may spend on retries.
    pub fn retry_allowance(&self) -> RetryAllowance {
        **self.allowance.load()
    }

    /// Returns this node's part of what may be spent on retries.
    pub fn retry_options(&self) -> BudgetOptions {
        let age = self.clock.now().since(MonoTime::default());
        self.allowance.load().part(self.members.load(Ordering::Relaxed), age)
    }

    /// Notes how many members are seen, this node included.
    pub fn record_member_count(&self, count: usize) {
        self.members.fetch_max(count, Ordering::Relaxed);
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

    /// Takes no new calls to run from now on; callers are served through other nodes until
    /// `accepts_until`, as long as they can be answered by `exit_by`.
    pub fn set_leaving(&self, accepts_until: Deadline, exit_by: Deadline) {
        self.accepts_until_us.store(accepts_until.0.0, Ordering::Release);
        self.exit_by_us.store(exit_by.0.0, Ordering::Release);
        self.leaving.store(true, Ordering::Release);
    }

    /// Refuses callers from now on; calls in flight go on.
    pub fn refuse_calls(&self) {
        self.accepts_until_us.store(0, Ordering::Release);
    }

    /// Tells whether this node can see a call that ends by `deadline` to its end.
    pub fn can_complete_by(&self, deadline: Deadline) -> bool {
        let accepts_until = Deadline(MonoTime(self.accepts_until_us.load(Ordering::Acquire)));
        let exit_by = Deadline(MonoTime(self.exit_by_us.load(Ordering::Acquire)));
        deadline <= exit_by && !accepts_until.is_past(self.clock.now())
    }

    /// Returns how long this node still runs.
    pub fn time_until_exit(&self) -> Duration {
        let exit_by = Deadline(MonoTime(self.exit_by_us.load(Ordering::Acquire)));
        exit_by.remaining(self.clock.now())
    }

    /// Ends the calls that are still in flight with an answer.
    pub fn abort_calls(&self) {
        self.abort.cancel();
    }

    /// Tells whether calls are to end.
    pub fn is_aborting(&self) -> bool {
        self.abort.is_cancelled()
    }

    /// Waits until calls are to end.
    pub async fn aborted(&self) {
        self.abort.cancelled().await;
    }

    /// Counts a call that entered here until it is answered.
    pub fn begin_call(self: &Arc<Self>) -> CallGuard {
        self.calls_in_flight.fetch_add(1, Ordering::AcqRel);
        CallGuard(Arc::clone(self))
    }

    /// Returns the calls that entered here and are not answered yet.
    pub fn calls_in_flight(&self) -> usize {
        self.calls_in_flight.load(Ordering::Acquire)
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
    pub fn next_attempt_id(&self) -> AttemptId {
        AttemptId {
            origin: self.identity.node,
            generation: self.identity.generation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }
}
