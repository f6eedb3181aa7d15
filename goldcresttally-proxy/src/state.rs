//! State of a node that the request path reads. The active configuration and the endpoint table are
//! each replaced atomically.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use goldcresttally_config::Snapshot;
use goldcresttally_core::{AttemptId, Deadline, Generation, Map, MonoTime, NodeId, ServiceName};
use goldcresttally_routing::{
    BudgetOptions, CallerTimeouts, ClassTable, Endpoint, Notices, RetryAllowance, RetryBudget,
    Throttles,
};
use tokio_util::sync::CancellationToken;

use crate::call_log::CallLog;
use crate::clients::{ClientOptions, Clients};
use crate::clock::Clock;
use crate::conventions::Conventions;
use crate::counters::Counters;
use crate::entry::AccountLimits;
use crate::processor::Processor;

/// The identity of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Identity {
    /// The node's id.
    pub node: NodeId,
    /// The node's address for calls from other nodes.
    pub peer: SocketAddr,
    /// The generation of the node's process.
    pub generation: Generation,
}

/// The endpoints of each service.
pub type EndpointTable = Map<ServiceName, Arc<[Endpoint]>>;

/// Limits and statistics of one service at the entry.
#[derive(Debug, Default)]
pub struct ServiceLimits {
    /// Throttles by class of call, which refuse calls that upstreams would probably refuse. Each
    /// class has its own, so that a flood of one class does not affect the others.
    pub throttles: Arc<Throttles>,
    /// Timeouts that callers state, by class of call, to estimate the time spent on earlier tries.
    pub caller_timeouts: Arc<CallerTimeouts>,
    /// Limits retries to a share of the calls.
    pub retries: Arc<RetryBudget>,
    /// Average size of a call and its response, in bytes, by class of call.
    pub bytes: Arc<ClassTable>,
}

/// The configuration in force, with the limits of each service.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    /// The configuration snapshot.
    pub snapshot: Snapshot,
    /// The limits of each service.
    pub limits: Map<ServiceName, ServiceLimits>,
}

impl ActiveConfig {
    /// Builds the active configuration from a snapshot; the limits and statistics of services that
    /// `before` contains are carried over.
    pub fn new(snapshot: Snapshot, before: &Self) -> Self {
        let limits = |name: &ServiceName| {
            let previous = before.limits.get(name);
            ServiceLimits {
                throttles: previous.map(|p| Arc::clone(&p.throttles)).unwrap_or_default(),
                caller_timeouts: previous
                    .map(|p| Arc::clone(&p.caller_timeouts))
                    .unwrap_or_default(),
                retries: previous.map(|p| Arc::clone(&p.retries)).unwrap_or_default(),
                bytes: previous.map(|p| Arc::clone(&p.bytes)).unwrap_or_default(),
            }
        };
        let limits = snapshot.services().map(|s| (s.name.clone(), limits(&s.name))).collect();
        Self { snapshot, limits }
    }
}

/// Counts a call as in flight until dropped.
#[derive(Debug)]
pub struct CallGuard(Arc<NodeState>);

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.calls_in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// The state of a node, shared by its entry, peer and control threads.
#[derive(Debug)]
pub struct NodeState {
    /// The node's identity.
    pub identity: Identity,
    /// The node's clock.
    pub clock: Clock,
    /// The node's counters.
    pub counters: Counters,
    /// Headers and rules towards callers and upstreams.
    pub conventions: Conventions,
    /// The limits on the clients of this node.
    pub clients: Arc<Clients>,
    /// Receives decisions about calls.
    pub call_log: Arc<dyn CallLog>,
    allowance: ArcSwap<RetryAllowance>,
    /// Maximum number of members seen at once, including this node; 0 until others are known.
    max_members: AtomicUsize,
    config: ArcSwap<ActiveConfig>,
    endpoints: ArcSwap<EndpointTable>,
    ready: AtomicBool,
    fresh: AtomicBool,
    leaving: AtomicBool,
    /// Times until which a leaving node accepts calls, and by which they must have ended.
    accepts_until_us: AtomicU64,
    exit_by_us: AtomicU64,
    abort: CancellationToken,
    calls_in_flight: AtomicUsize,
    sequence: AtomicU64,
    superseded_by: AtomicU64,
    limits: Option<AccountLimits>,
    /// What the upstreams beside other nodes have said about themselves.
    pub notices: Notices,
    /// Whether this node is short of processor time.
    pub processor: Processor,
}

impl NodeState {
    /// Returns the state of a node that has no configuration yet and is not ready.
    pub fn new(
        identity: Identity,
        clock: Clock,
        conventions: Conventions,
        call_log: Arc<dyn CallLog>,
    ) -> Self {
        Self {
            clients: Arc::default(),
            call_log,
            identity,
            clock,
            conventions,
            allowance: ArcSwap::default(),
            max_members: AtomicUsize::new(0),
            counters: Counters::default(),
            config: ArcSwap::default(),
            endpoints: ArcSwap::default(),
            ready: AtomicBool::new(false),
            fresh: AtomicBool::new(true),
            leaving: AtomicBool::new(false),
            accepts_until_us: AtomicU64::new(u64::MAX),
            exit_by_us: AtomicU64::new(u64::MAX),
            abort: CancellationToken::new(),
            calls_in_flight: AtomicUsize::new(0),
            sequence: AtomicU64::new(0),
            superseded_by: AtomicU64::new(0),
            limits: None,
            notices: Notices::default(),
            processor: Processor::default(),
        }
    }

    /// Enforces the limits of accounts.
    #[must_use]
    pub fn with_account_limits(self, limits: AccountLimits) -> Self {
        Self { limits: Some(limits), ..self }
    }

    /// Returns the limits of accounts; `None` if they are not enforced.
    pub fn account_limits(&self) -> Option<&AccountLimits> {
        self.limits.as_ref()
    }

    /// Sets the limits on the clients of this node.
    #[must_use]
    pub fn with_clients(mut self, options: ClientOptions) -> Self {
        self.clients = Arc::new(Clients::new(options));
        self
    }

    /// Returns the configuration in force. A call uses the one that it began with until it ends.
    pub fn active_config(&self) -> Arc<ActiveConfig> {
        self.config.load_full()
    }

    /// Activates a snapshot if it is newer than the active one; returns whether it was activated.
    pub fn install(&self, snapshot: Snapshot) -> bool {
        let version = snapshot.version();
        // Only the control thread writes, so nothing changes between the check and the store.
        if version <= self.config.load().snapshot.version() {
            return false;
        }
        let config = ActiveConfig::new(snapshot, &self.config.load());
        self.config.store(Arc::new(config));
        true
    }

    /// Sets the retry allowance of all nodes together.
    pub fn set_retry_allowance(&self, allowance: RetryAllowance) {
        self.allowance.store(Arc::new(allowance));
    }

    /// Returns the retry allowance of all nodes together.
    pub fn retry_allowance(&self) -> RetryAllowance {
        **self.allowance.load()
    }

    /// Returns this node's part of the retry allowance.
    pub fn retry_options(&self) -> BudgetOptions {
        let age = self.clock.now().since(MonoTime::default());
        self.allowance.load().node_budget(self.max_members.load(Ordering::Relaxed), age)
    }

    /// Records the number of members currently seen, including this node; the maximum is kept.
    pub fn record_member_count(&self, count: usize) {
        self.max_members.fetch_max(count, Ordering::Relaxed);
    }

    /// Returns the endpoints of all services.
    pub fn endpoints(&self) -> Arc<EndpointTable> {
        self.endpoints.load_full()
    }

    /// Replaces the endpoints of all services.
    pub fn set_endpoints(&self, table: EndpointTable) {
        self.endpoints.store(Arc::new(table));
    }

    /// Returns whether this node may serve calls.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Allows this node to serve calls.
    pub fn set_ready(&self) {
        self.ready.store(true, Ordering::Release);
    }

    /// Returns whether the configuration in force was the newest a short time ago. If not, what it
    /// lacks may exist.
    pub fn is_fresh(&self) -> bool {
        self.fresh.load(Ordering::Acquire)
    }

    /// Sets whether the configuration in force is known to be the newest.
    pub fn set_fresh(&self, fresh: bool) {
        self.fresh.store(fresh, Ordering::Release);
    }

    /// Returns whether this node is leaving, so that it accepts no new calls to run.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Marks this node as leaving: it accepts no new calls to run. Calls from callers are still
    /// served by other nodes until `accepts_until`, if they can be answered by `exit_by`.
    pub fn set_leaving(&self, accepts_until: Deadline, exit_by: Deadline) {
        self.accepts_until_us.store(accepts_until.0.0, Ordering::Release);
        self.exit_by_us.store(exit_by.0.0, Ordering::Release);
        self.leaving.store(true, Ordering::Release);
    }

    /// Refuses new calls from callers; calls in flight continue.
    pub fn refuse_calls(&self) {
        self.accepts_until_us.store(0, Ordering::Release);
    }

    /// Returns whether a call that ends by `deadline` can be completed before this node stops.
    pub fn can_complete_by(&self, deadline: Deadline) -> bool {
        let accepts_until = Deadline(MonoTime(self.accepts_until_us.load(Ordering::Acquire)));
        let exit_by = Deadline(MonoTime(self.exit_by_us.load(Ordering::Acquire)));
        deadline <= exit_by && !accepts_until.is_past(self.clock.now())
    }

    /// Returns the time left until this node stops.
    pub fn time_until_exit(&self) -> Duration {
        let exit_by = Deadline(MonoTime(self.exit_by_us.load(Ordering::Acquire)));
        exit_by.remaining(self.clock.now())
    }

    /// Aborts the calls that are still in flight; their callers receive an error response.
    pub fn abort_calls(&self) {
        self.abort.cancel();
    }

    /// Returns whether calls in flight are being aborted.
    pub fn is_aborting(&self) -> bool {
        self.abort.is_cancelled()
    }

    /// Waits until calls in flight are aborted.
    pub async fn aborted(&self) {
        self.abort.cancelled().await;
    }

    /// Counts a call that entered here as in flight until the guard is dropped.
    pub fn begin_call(self: &Arc<Self>) -> CallGuard {
        self.calls_in_flight.fetch_add(1, Ordering::AcqRel);
        CallGuard(Arc::clone(self))
    }

    /// Returns the number of calls in flight that entered here.
    pub fn calls_in_flight(&self) -> usize {
        self.calls_in_flight.load(Ordering::Acquire)
    }

    /// Records that a later generation was seen at this node's address.
    pub fn set_superseded(&self, by: Generation) {
        self.superseded_by.store(by.0, Ordering::Release);
    }

    /// Returns the latest generation seen at this node's address, at least its own.
    pub fn latest_generation(&self) -> Generation {
        self.identity.generation.max(Generation(self.superseded_by.load(Ordering::Acquire)))
    }

    /// Returns a new attempt id.
    pub fn next_attempt_id(&self) -> AttemptId {
        AttemptId {
            origin: self.identity.node,
            generation: self.identity.generation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }
}
