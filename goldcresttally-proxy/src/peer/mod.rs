//! Upstream side of a node: admits the calls that nodes send here, runs them at the local
//! upstreams, and remembers their outcome.

mod attempt_info;
mod attempts;
mod health;
mod limiter;
mod processor;
mod read_budget;
mod reserve;
mod rollout;
mod run;
mod settle;
mod spawn_on_drop;
mod transfers;
mod upstream;
mod upstream_messages;

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::{ArcSwap, ArcSwapOption};
use goldcresttally_admission::{Load, Policy, TransferLoad};
use goldcresttally_core::{AttemptId, BitRate, Generation, InstanceId, Map, ServiceName};
use http::{Request, Response};
use tokio_util::task::TaskTracker;

use crate::body::{CallBody, ReplayableBody, boxed, full};
use crate::errors::{CallError, Reason};
use crate::headers;
use crate::service::Handler;
use crate::state::NodeState;
use crate::transport::Transport;
use attempt_info::AttemptInfo;
use attempts::AttemptLedger;
pub use health::Health;
pub use limiter::Limiter;
pub use rollout::{AnswerCount, RolloutGate};
use spawn_on_drop::SpawnOnDrop;
use transfers::{ArrivingBody, TransferQueue};

/// An upstream on this VM, as announced to its node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalUpstream {
    /// The service it runs.
    pub service: ServiceName,
    /// The address at which it accepts calls.
    pub address: SocketAddr,
    /// The number of calls that it runs at once.
    pub slots: u32,
    /// Whether it accepts no new calls.
    pub draining: bool,
    /// The process that runs it, if upstreams report one.
    pub instance: Option<InstanceId>,
    /// The generation of the process; 0 if upstreams report none.
    pub generation: Generation,
}

/// The limiters of each service's local upstreams.
type Limiters = Map<ServiceName, Vec<Arc<Limiter>>>;

/// The upstream side of a node: handles messages from other nodes and from this node's entry.
#[derive(Debug)]
pub struct Peer {
    state: Arc<NodeState>,
    transport: Arc<dyn Transport>,
    tasks: TaskTracker,
    attempts: AttemptLedger,
    limiters: ArcSwap<Limiters>,
    transfers: Arc<TransferQueue>,
    policy: Policy,
    redirects: bool,
    overload_control: bool,
    rollout_gate: ArcSwapOption<RolloutGate>,
}

impl Peer {
    /// Returns a peer without upstreams. The tasks of its calls are tracked in `tasks`; with
    /// `redirects`, refusals name a less loaded node.
    pub fn new(
        state: Arc<NodeState>,
        transport: Arc<dyn Transport>,
        tasks: TaskTracker,
        policy: Policy,
        redirects: bool,
    ) -> Self {
        let transfers = Arc::new(TransferQueue::new(state.clock, BitRate::default()));
        Self {
            state,
            transport,
            tasks,
            attempts: AttemptLedger::default(),
            limiters: ArcSwap::default(),
            transfers,
            policy,
            redirects,
            overload_control: false,
            rollout_gate: ArcSwapOption::empty(),
        }
    }

    /// Sets the rate of the VM's link, by which large bodies are scheduled.
    #[must_use]
    pub fn with_link(self, link: BitRate) -> Self {
        let transfers = Arc::new(TransferQueue::new(self.state.clock, link));
        Self { transfers, ..self }
    }

    /// Sets whether calls are refused early and nested calls are preferred under an overload.
    #[must_use]
    pub fn with_overload_control(self, overload_control: bool) -> Self {
        Self { overload_control, ..self }
    }

    /// Returns whether calls are refused early and nested calls are preferred under an overload.
    pub fn overload_control(&self) -> bool {
        self.overload_control
    }

    /// Returns the load of the link by large bodies that arrive.
    pub fn transfer_load(&self) -> TransferLoad {
        self.transfers.load()
    }

    /// Returns the node state that is shared by the request path.
    pub fn state(&self) -> &Arc<NodeState> {
        &self.state
    }

    /// Replaces the list of local upstreams and applies the limits of the active configuration.
    ///
    /// Calls that run at a removed upstream continue. Calls that wait for one are refused as not
    /// run.
    pub fn set_upstreams(&self, upstreams: &[LocalUpstream]) {
        let previous = self.limiters.load_full();
        let mut limiters = Limiters::default();
        for upstream in upstreams {
            let list = previous.get(&upstream.service);
            let prev = list.and_then(|all| all.iter().find(|l| l.is_same_process(upstream)));
            let limiter =
                prev.map_or_else(|| Arc::new(Limiter::new(upstream, self.state.clock)), Arc::clone);
            limiter.configure(&self.state, upstream, self.policy, self.overload_control);
            limiter.set_gate_rate(&self.state, self.rollout_rate(&upstream.service));
            limiters.entry(upstream.service.clone()).or_default().push(limiter);
        }
        let kept =
            |limiter: &Arc<Limiter>| limiters.values().flatten().any(|l| Arc::ptr_eq(l, limiter));
        let gone: Vec<_> =
            previous.values().flatten().filter(|l| !kept(l)).map(Arc::clone).collect();
        self.limiters.store(Arc::new(limiters));
        for limiter in gone {
            limiter.drain(&self.state);
        }
    }

    /// Refuses all waiting calls and accepts no new ones.
    pub fn drain(&self) {
        for limiter in self.limiters.load().values().flatten() {
            limiter.drain(&self.state);
        }
    }

    /// Refuses waiting calls whose deadline has passed; call it every few milliseconds.
    pub fn tick(&self) {
        self.transfers.tick();
        for limiter in self.limiters.load().values().flatten() {
            limiter.tick(&self.state);
        }
    }

    /// Returns the load of each local upstream.
    pub fn loads(&self) -> Vec<(ServiceName, SocketAddr, Load)> {
        let limiters = self.limiters.load();
        let load = |(service, list): (&ServiceName, &Vec<Arc<Limiter>>)| {
            let service = service.clone();
            list.iter().map(|l| (service.clone(), l.address(), l.load())).collect::<Vec<_>>()
        };
        limiters.iter().flat_map(load).collect()
    }

    /// Returns the upstreams that refuse connections, so that their leases can be ended early.
    pub fn unreachable_upstreams(&self) -> Vec<(ServiceName, SocketAddr)> {
        self.select_upstreams(Limiter::is_unreachable)
    }

    /// Returns the upstreams that have said in a response that they are leaving.
    pub fn leaving_upstreams(&self) -> Vec<(ServiceName, SocketAddr)> {
        self.select_upstreams(Limiter::is_leaving)
    }

    fn select_upstreams(&self, matches: fn(&Limiter) -> bool) -> Vec<(ServiceName, SocketAddr)> {
        let limiters = self.limiters.load();
        let select = |(service, list): (&ServiceName, &Vec<Arc<Limiter>>)| {
            let selected = list.iter().filter(|l| matches(l));
            selected.map(|l| (service.clone(), l.address())).collect::<Vec<_>>()
        };
        limiters.iter().flat_map(select).collect()
    }

    /// Returns the number of attempts in the ledger and the bytes of stored answers.
    pub fn ledger_size(&self) -> (usize, usize) {
        self.attempts.size()
    }

    /// Handles a message from another node or from this node's own entry.
    pub(crate) async fn handle_message(
        self: &Arc<Self>,
        req: Request<CallBody>,
    ) -> Response<CallBody> {
        let op = headers::parse::<String>(req.headers(), &headers::OP);
        match op.as_deref() {
            Some("call") => self.call(req).await,
            Some("reserve") => {
                let (parts, _) = req.into_parts();
                self.reserve(&parts.headers).await
            }
            Some("settle") => {
                let (parts, _) = req.into_parts();
                self.settle(&parts.headers).await
            }
            Some("cancel") => self.cancel(req.headers()),
            Some("ping") => Response::new(full("")),
            _ => CallError::not_run(Reason::BadRequest).into_response(),
        }
    }

    async fn call(self: &Arc<Self>, req: Request<CallBody>) -> Response<CallBody> {
        self.state.counters.attempts.increment();
        let info = match AttemptInfo::read(req.headers(), &self.state) {
            Ok(info) => info,
            Err(error) => return error.into_response(),
        };
        if let Some(refusal) = self.refuse_if_short(&info, req.headers()) {
            return refusal;
        }
        let granted = req.headers().contains_key(headers::GRANTED);
        // The grant may have ended while this process or the sender was paused.
        if granted && !self.transfers.is_granted(info.attempt) {
            return CallError::not_run(Reason::LinkFull).into_response();
        }
        let cancelled = match self.attempts.begin(self.state.clock.now(), &info) {
            Ok(cancelled) => cancelled,
            Err(error) => return error.into_response(),
        };
        let (parts, mut body) = req.into_parts();
        if granted {
            let queue = Arc::clone(&self.transfers);
            body = boxed(ArrivingBody::new(body, queue, info.attempt));
        }
        let read = ReplayableBody::read(body);
        let limit = self.state.clock.instant(info.deadline);
        // Nothing is sent to the upstream until the start of the body has arrived. Until then, an
        // attempt that is given up counts as not run.
        let guard = NotRunOnDrop { peer: self, attempt: info.attempt };
        let body = match tokio::time::timeout_at(limit, read).await {
            Ok(Ok(body)) => body,
            Ok(Err(_)) => return CallError::not_run(Reason::BadRequest).into_response(),
            Err(_) => return CallError::not_run(Reason::Deadline).into_response(),
        };
        guard.disarm();
        // The attempt continues if the connection to its entry node breaks: the entry asks for the
        // outcome over another connection.
        let (tx, rx) = tokio::sync::oneshot::channel();
        let run = run::AttemptRun {
            peer: Arc::clone(self),
            info,
            call_id: self.state.conventions.id_of(&parts.headers).to_owned(),
            started: self.state.clock.now(),
            cancelled,
            sent_call: None,
            response_tx: Some(tx),
        };
        let run = SpawnOnDrop::new(run.run(parts, body), self.tasks.clone());
        run.until(rx)
            .await
            .unwrap_or_else(|| CallError::may_have_run(Reason::ConnectionLost).into_response())
    }
}

/// Records an attempt as not run when dropped; held while the start of its body is awaited.
struct NotRunOnDrop<'a> {
    peer: &'a Peer,
    attempt: AttemptId,
}

impl NotRunOnDrop<'_> {
    /// Disarms the guard: recording the outcome is now up to the attempt's task.
    fn disarm(self) {
        std::mem::forget(self);
    }
}

impl Drop for NotRunOnDrop<'_> {
    fn drop(&mut self) {
        self.peer.attempts.not_run(self.attempt);
    }
}

impl Handler for Peer {
    async fn handle(self: Arc<Self>, req: Request<CallBody>) -> Response<CallBody> {
        self.handle_message(req).await
    }
}
