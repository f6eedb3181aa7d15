//! Beside an upstream: admits a call, runs it, and remembers what became of it.

mod attempts;
mod detach;
mod exchange;
mod gate;
mod health;
mod run;
mod settle;
mod ticket;
mod upstream;

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use goldcresttally_admission::{Load, Policy};
use goldcresttally_core::{AttemptId, InstanceId, Map, ServiceName};
use http::{Request, Response};
use tokio_util::task::TaskTracker;

use crate::body::{CallBody, ReplayableBody, full};
use crate::errors::{CallError, Reason};
use crate::headers;
use crate::service::Handler;
use crate::state::NodeState;
use crate::transport::Transport;
use attempts::Attempts;
use detach::Detaching;
pub use gate::AdmissionController;
use ticket::Ticket;

/// An upstream beside this node, as its registry knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalUpstream {
    /// The service it runs.
    pub service: ServiceName,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// The calls it runs at once.
    pub slots: u32,
    /// Whether it takes nothing new.
    pub draining: bool,
    /// Which process it is, where upstreams tell.
    pub instance: Option<InstanceId>,
}

/// The gates of each service.
type Gates = Map<ServiceName, Vec<Arc<AdmissionController>>>;

/// The part of a node that runs calls beside its upstreams.
#[derive(Debug)]
pub struct Peer {
    state: Arc<NodeState>,
    transport: Arc<dyn Transport>,
    tasks: TaskTracker,
    attempts: Attempts,
    gates: ArcSwap<Gates>,
    policy: Policy,
    redirects: bool,
}

impl Peer {
    /// Returns a peer without upstreams; the tasks of its calls are tracked in `tasks`.
    pub fn new(
        state: Arc<NodeState>,
        transport: Arc<dyn Transport>,
        tasks: TaskTracker,
        policy: Policy,
        redirects: bool,
    ) -> Self {
        let attempts = Attempts::default();
        Self { state, transport, tasks, attempts, gates: ArcSwap::default(), policy, redirects }
    }

    /// Returns what the request path reads.
    pub fn state(&self) -> &Arc<NodeState> {
        &self.state
    }

    /// Takes over the list of upstreams and the limits of the snapshot in force.
    ///
    /// Calls that run at an upstream that is gone from the list go on; those that wait are
    /// refused as not run.
    pub fn set_upstreams(&self, upstreams: &[LocalUpstream]) {
        let held = self.gates.load_full();
        let mut gates = Gates::default();
        for upstream in upstreams {
            let list = held.get(&upstream.service);
            let known = list.and_then(|l| l.iter().find(|g| g.is_for(upstream)));
            let gate = known.map_or_else(
                || Arc::new(AdmissionController::new(upstream, self.state.clock)),
                Arc::clone,
            );
            gate.configure(&self.state, upstream, self.policy);
            gates.entry(upstream.service.clone()).or_default().push(gate);
        }
        let kept = |gate: &Arc<AdmissionController>| {
            gates.values().flatten().any(|g| Arc::ptr_eq(g, gate))
        };
        let gone: Vec<_> = held.values().flatten().filter(|g| !kept(g)).map(Arc::clone).collect();
        self.gates.store(Arc::new(gates));
        for gate in gone {
            gate.drain(&self.state);
        }
    }

    /// Refuses all that waits and takes nothing new.
    pub fn drain(&self) {
        for gate in self.gates.load().values().flatten() {
            gate.drain(&self.state);
        }
    }

    /// Refuses what waits beyond its deadline; to be called every few milliseconds.
    pub fn tick(&self) {
        for gate in self.gates.load().values().flatten() {
            gate.tick(&self.state);
        }
    }

    /// Returns the load of each upstream beside this node.
    pub fn loads(&self) -> Vec<(ServiceName, SocketAddr, Load)> {
        let gates = self.gates.load();
        let load = |(service, list): (&ServiceName, &Vec<Arc<AdmissionController>>)| {
            let service = service.clone();
            list.iter().map(|g| (service.clone(), g.address(), g.load())).collect::<Vec<_>>()
        };
        gates.iter().flat_map(load).collect()
    }

    /// Returns the upstreams that take no connections; their leases are not worth waiting for.
    pub fn unreachable_upstreams(&self) -> Vec<(ServiceName, SocketAddr)> {
        let gates = self.gates.load();
        let gone = |(service, list): (&ServiceName, &Vec<Arc<AdmissionController>>)| {
            let service = service.clone();
            let gone = list.iter().filter(|g| g.is_unreachable());
            gone.map(|g| (service.clone(), g.address())).collect::<Vec<_>>()
        };
        gates.iter().flat_map(gone).collect()
    }

    /// Returns the number of attempts in the ledger and the bytes of answers kept.
    pub fn ledger_size(&self) -> (usize, usize) {
        self.attempts.size()
    }

    /// Takes a message from another node, or from this node's own entry.
    pub(crate) async fn answer(self: &Arc<Self>, req: Request<CallBody>) -> Response<CallBody> {
        let op = headers::parse::<String>(req.headers(), &headers::OP);
        match op.as_deref() {
            Some("call") => self.call(req).await,
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
        let ticket = match Ticket::read(req.headers(), &self.state) {
            Ok(ticket) => ticket,
            Err(error) => return error.into_response(),
        };
        let cancelled = match self.attempts.begin(self.state.clock.now(), &ticket) {
            Ok(cancelled) => cancelled,
            Err(error) => return error.into_response(),
        };
        let (parts, body) = req.into_parts();
        let read = ReplayableBody::read(body);
        let limit = self.state.clock.instant(ticket.deadline);
        // Nothing is sent to the upstream before the start of the body has come.
        let begun = Begun { peer: self, attempt: ticket.attempt };
        let body = match tokio::time::timeout_at(limit, read).await {
            Ok(Ok(body)) => body,
            Ok(Err(_)) => return CallError::not_run(Reason::BadRequest).into_response(),
            Err(_) => return CallError::not_run(Reason::Deadline).into_response(),
        };
        begun.disarm();
        // The attempt goes on when the connection that brought it breaks: its entry node will ask
        // for the outcome on another one.
        let (tx, rx) = tokio::sync::oneshot::channel();
        let run = run::Run {
            peer: Arc::clone(self),
            ticket,
            call_id: self.state.conventions.id_of(&parts.headers).to_owned(),
            began: self.state.clock.now(),
            cancelled,
            answer: Some(tx),
        };
        let run = Detaching::new(run.run(parts, body), self.tasks.clone());
        run.until(rx)
            .await
            .unwrap_or_else(|| CallError::may_have_run(Reason::ConnectionLost).into_response())
    }
}

/// An attempt that has come and whose body has not; it ends as not run when this is dropped.
struct Begun<'a> {
    peer: &'a Peer,
    attempt: AttemptId,
}

impl Begun<'_> {
    /// Leaves the attempt's end to whoever runs it.
    fn disarm(self) {
        std::mem::forget(self);
    }
}

impl Drop for Begun<'_> {
    fn drop(&mut self) {
        self.peer.attempts.not_run(self.attempt);
    }
}

impl Handler for Peer {
    async fn handle(self: Arc<Self>, req: Request<CallBody>) -> Response<CallBody> {
        self.answer(req).await
    }
}
