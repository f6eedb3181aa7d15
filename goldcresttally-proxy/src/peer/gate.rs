//! Drives the admission machine of one upstream.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use goldcresttally_admission::{
    Action, Admission, CallClass, CallId, Event, Load, Options, Outcome, Policy, Refusal,
};
use goldcresttally_core::{InstanceId, Map};
use goldcresttally_routing::LoadReport;
use tokio::sync::oneshot;

use super::LocalUpstream;
use super::ticket::Ticket;
use super::upstream::UpstreamPool;
use crate::clock::Clock;
use crate::errors::{CallError, Reason};
use crate::state::NodeState;

/// Calls in a row that could not be sent after which an upstream counts as gone.
const UNREACHABLE_CALLS: u32 = 3;

type Decision = Result<(), Refusal>;

#[derive(Debug)]
struct Inner {
    admission: Admission,
    waiting: Map<CallId, oneshot::Sender<Decision>>,
    next: u64,
    actions: Vec<Action>,
}

/// Admission to one upstream.
#[derive(Debug)]
pub struct AdmissionController {
    inner: Mutex<Inner>,
    pool: UpstreamPool,
    instance: Option<InstanceId>,
    /// Calls in a row that could not be sent because no connection stood.
    unreachable: AtomicU32,
}

/// A place at the gate: waiting, then running; given back when it is dropped.
#[derive(Debug)]
pub(super) struct Place<'a> {
    gate: &'a AdmissionController,
    state: &'a NodeState,
    call: CallId,
    /// How the call ended, once it has its turn.
    outcome: Option<Outcome>,
}

impl Place<'_> {
    /// Sets how the call ended; without it, it counts as failed.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = Some(outcome);
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let call = self.call;
        self.gate.step(
            self.state,
            match self.outcome {
                Some(outcome) => Event::Finish { call, outcome },
                None => Event::Withdraw { call },
            },
        );
    }
}

impl AdmissionController {
    /// Returns the gate of an upstream.
    pub fn new(upstream: &LocalUpstream, clock: Clock) -> Self {
        let inner = Inner {
            admission: Admission::new(Options::default()),
            waiting: Map::default(),
            next: 0,
            actions: Vec::new(),
        };
        Self {
            inner: Mutex::new(inner),
            pool: UpstreamPool::new(upstream.address, clock),
            instance: upstream.instance.clone(),
            unreachable: AtomicU32::new(0),
        }
    }

    /// Tells whether the gate is that of this process of an upstream.
    pub fn is_for(&self, upstream: &LocalUpstream) -> bool {
        self.address() == upstream.address && self.instance == upstream.instance
    }

    /// Returns the process of the upstream, where upstreams tell.
    pub fn instance(&self) -> Option<&InstanceId> {
        self.instance.as_ref()
    }

    /// Returns the upstream's address.
    pub fn address(&self) -> SocketAddr {
        self.pool.address()
    }

    /// Returns how loaded the upstream is.
    pub fn load(&self) -> Load {
        self.lock().admission.load()
    }

    /// Returns the calls that one of `rank` would compete with, and the limit.
    pub(super) fn competitors(&self, rank: usize) -> (usize, usize) {
        let inner = self.lock();
        (inner.admission.competitors(rank), inner.admission.load().limit)
    }

    /// Returns the load that a call of a class meets.
    pub(super) fn report(&self, class: CallClass) -> LoadReport {
        let inner = self.lock();
        let (turn, work) = inner.admission.mean_service_times(class);
        let limit = inner.admission.load().limit;
        LoadReport {
            free: limit as i32 - inner.admission.competitors(class.rank) as i32,
            limit: limit as u32,
            turn_ms: turn.as_millis() as u32,
            work_ms: work.as_millis() as u32,
        }
    }

    /// Notes whether a call could be sent.
    pub(super) fn note_sent(&self, sent: bool) {
        if sent {
            self.unreachable.store(0, Ordering::Relaxed);
        } else {
            self.unreachable.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Tells whether the upstream has not taken connections for several calls in a row.
    pub(super) fn is_unreachable(&self) -> bool {
        self.unreachable.load(Ordering::Relaxed) >= UNREACHABLE_CALLS
    }

    pub(super) fn pool(&self) -> &UpstreamPool {
        &self.pool
    }

    pub(super) fn is_draining(&self) -> bool {
        self.lock().admission.is_draining()
    }

    /// Takes over what the upstream announced and what the snapshot in force says of its service.
    pub(super) fn configure(&self, state: &NodeState, upstream: &LocalUpstream, policy: Policy) {
        let serving = state.active_config();
        let service = serving.snapshot.service(&upstream.service);
        let floor_shares = serving.snapshot.ranks().iter().map(|r| r.floor.fraction()).collect();
        let options = Options {
            policy,
            max_concurrency: service
                .map_or(upstream.slots, |s| s.max_concurrency.min(upstream.slots)),
            adaptive: service.is_none_or(|s| s.adaptive_limit),
            queue_capacity: service.map_or(0, |s| s.queue as usize),
            floor_shares,
        };
        self.step(state, Event::Configure(options));
        self.step(state, if upstream.draining { Event::Drain } else { Event::Open });
    }

    pub(super) fn drain(&self, state: &NodeState) {
        self.step(state, Event::Drain);
    }

    pub(super) fn tick(&self, state: &NodeState) {
        self.step(state, Event::Tick);
    }

    /// Waits for the call's turn; the place that is returned holds the slot.
    pub(super) async fn enter<'a>(
        &'a self,
        state: &'a NodeState,
        ticket: &Ticket,
    ) -> Result<Place<'a>, CallError> {
        let (call, decided) = self.offer(state, ticket);
        let mut place = Place { gate: self, state, call, outcome: None };
        let decision = match decided {
            Ok(decision) => decision,
            Err(waiting) => waiting.await.unwrap_or(Err(Refusal::Draining)),
        };
        match decision {
            Ok(()) => {
                place.set_outcome(Outcome::Failed);
                Ok(place)
            }
            Err(Refusal::Overloaded) => Err(CallError::not_run(Reason::Overloaded)),
            Err(Refusal::Deadline) => Err(CallError::not_run(Reason::Deadline)),
            Err(Refusal::Draining) => Err(CallError::not_run(Reason::Draining)),
        }
    }

    /// Offers a call; returns the decision, or the way by which it will come.
    fn offer(
        &self,
        state: &NodeState,
        ticket: &Ticket,
    ) -> (CallId, Result<Decision, oneshot::Receiver<Decision>>) {
        let Ticket { rank, deadline, on_time_by, target, .. } = *ticket;
        let mut inner = self.lock();
        inner.next += 1;
        let call = CallId(inner.next);
        let offer = Event::Offer { call, rank, deadline, on_time_by, target };
        if let Some(decision) = inner.step(state, offer, Some(call)) {
            return (call, Ok(decision));
        }
        let (tx, rx) = oneshot::channel();
        inner.waiting.insert(call, tx);
        (call, Err(rx))
    }

    fn step(&self, state: &NodeState, event: Event) {
        self.lock().step(state, event, None);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Gives an event to the machine and passes its decisions on; returns the one on `own`.
    fn step(&mut self, state: &NodeState, event: Event, own: Option<CallId>) -> Option<Decision> {
        if let Event::Withdraw { call } = &event {
            self.waiting.remove(call);
        }
        self.admission.on_event(state.clock.now(), event, &mut self.actions);
        let mut decided = None;
        for action in self.actions.drain(..) {
            let (call, decision) = match action {
                Action::Dispatch(call) => (call, Ok(())),
                Action::Refuse(call, refusal) => (call, Err(refusal)),
            };
            if Some(call) == own {
                decided = Some(decision);
            } else if let Some(tx) = self.waiting.remove(&call) {
                // A receiver that is gone gives its place back by itself.
                let _ = tx.send(decision);
            }
        }
        decided
    }
}
