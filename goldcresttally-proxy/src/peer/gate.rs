//! Drives the admission machine of one upstream.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use goldcresttally_admission::{
    Action, Admission, CallId, Event, Load, Options, Outcome, Policy, Refusal,
};
use goldcresttally_core::Map;
use tokio::sync::oneshot;

use super::LocalUpstream;
use super::ticket::Ticket;
use super::upstream::UpstreamPool;
use crate::errors::{CallError, Reason};
use crate::state::State;

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
pub struct Gate {
    inner: Mutex<Inner>,
    pool: UpstreamPool,
}

/// A place at the gate: waiting, then running; given back when it is dropped.
#[derive(Debug)]
pub(super) struct Place<'a> {
    gate: &'a Gate,
    state: &'a State,
    call: CallId,
    outcome: Outcome,
}

impl Place<'_> {
    /// Sets how the call ended; without it, it counts as failed.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let (call, outcome) = (self.call, self.outcome);
        self.gate.step(self.state, Event::Withdraw { call });
        self.gate.step(self.state, Event::Finish { call, outcome });
    }
}

impl Gate {
    /// Returns the gate of the upstream at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let inner = Inner {
            admission: Admission::new(Options::default()),
            waiting: Map::default(),
            next: 0,
            actions: Vec::new(),
        };
        Self { inner: Mutex::new(inner), pool: UpstreamPool::new(address) }
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

    pub(super) fn pool(&self) -> &UpstreamPool {
        &self.pool
    }

    pub(super) fn is_draining(&self) -> bool {
        self.lock().admission.is_draining()
    }

    /// Takes over what the upstream announced and what the snapshot in force says of its service.
    pub(super) fn configure(&self, state: &State, upstream: &LocalUpstream, policy: Policy) {
        let serving = state.serving();
        let service = serving.snapshot.service(&upstream.service);
        let floors = serving.snapshot.ranks().iter().map(|r| r.floor.fraction()).collect();
        let options = Options {
            policy,
            concurrency: service.map_or(upstream.slots, |s| s.max_concurrency.min(upstream.slots)),
            queue: service.map_or(0, |s| s.queue as usize),
            floors,
        };
        self.step(state, Event::Configure(options));
        self.step(state, if upstream.draining { Event::Drain } else { Event::Open });
    }

    pub(super) fn drain(&self, state: &State) {
        self.step(state, Event::Drain);
    }

    pub(super) fn tick(&self, state: &State) {
        self.step(state, Event::Tick);
    }

    /// Waits for the call's turn; the place that is returned holds the slot.
    pub(super) async fn enter<'a>(
        &'a self,
        state: &'a State,
        ticket: &Ticket,
    ) -> Result<Place<'a>, CallError> {
        let (tx, rx) = oneshot::channel();
        let call = {
            let mut inner = self.lock();
            inner.next += 1;
            let call = CallId(inner.next);
            inner.waiting.insert(call, tx);
            call
        };
        let Ticket { rank, deadline, on_time_by, target, .. } = *ticket;
        let offer = Event::Offer { call, rank, deadline, on_time_by, target };
        let place = Place { gate: self, state, call, outcome: Outcome::Failed };
        self.step(state, offer);
        match rx.await {
            Ok(Ok(())) => Ok(place),
            Ok(Err(Refusal::Overloaded)) => Err(CallError::not_run(Reason::Overloaded)),
            Ok(Err(Refusal::Deadline)) => Err(CallError::not_run(Reason::Deadline)),
            Ok(Err(Refusal::Draining)) | Err(_) => Err(CallError::not_run(Reason::Draining)),
        }
    }

    fn step(&self, state: &State, event: Event) {
        let mut inner = self.lock();
        let Inner { admission, waiting, actions, .. } = &mut *inner;
        if let Event::Withdraw { call } = &event {
            waiting.remove(call);
        }
        admission.on_event(state.clock.now(), event, actions);
        for action in actions.drain(..) {
            let (call, decision) = match action {
                Action::Dispatch(call) => (call, Ok(())),
                Action::Refuse(call, refusal) => (call, Err(refusal)),
            };
            // A receiver that is gone gives its place back by itself.
            if let Some(tx) = waiting.remove(&call) {
                let _ = tx.send(decision);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
