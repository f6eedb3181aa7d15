//! Runs the admission state machine of one local upstream and wakes the calls that it admits.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use goldcresttally_admission::{
    Action, Admission, CallClass, CallId, ClassLoad, Event, Load, NamedLimit, Options, Outcome,
    Policy, Refusal,
};
use goldcresttally_core::{Generation, InstanceId, Map, MonoTime, Rate};
use goldcresttally_routing::{LoadReport, UpstreamNotice};
use http::{HeaderMap, HeaderValue};
use tokio::sync::oneshot;

use super::LocalUpstream;
use super::attempt_info::AttemptInfo;
use super::upstream::UpstreamPool;
use crate::call_log::CallEvent;
use crate::clock::Clock;
use crate::errors::{CallError, Reason};
use crate::state::NodeState;

/// Consecutive failures to connect after which an upstream counts as unreachable.
const UNREACHABLE_AFTER_CALLS: u32 = 3;

/// Number of refused calls that are remembered.
const MAX_REFUSED_CALLS: usize = 128;

type Decision = Result<(), Refusal>;

#[derive(Debug)]
struct Inner {
    admission: Admission,
    waiting: Map<CallId, oneshot::Sender<Decision>>,
    last_call: u64,
    actions: Vec<Action>,
    named_limit: NamedLimit,
    /// The rate that a rollout allows.
    gate_rate: Option<Rate>,
    /// Whether the upstream has said that it is leaving.
    leaving: bool,
}

/// Limits the concurrent calls to one local upstream, and owns its connection pool.
#[derive(Debug)]
pub struct Limiter {
    inner: Mutex<Inner>,
    pool: UpstreamPool,
    instance: Option<InstanceId>,
    generation: Generation,
    /// Consecutive calls that failed to connect.
    unreachable: AtomicU32,
    /// The ids of the calls that the upstream refused last.
    refused: Mutex<VecDeque<HeaderValue>>,
}

/// A call's permit, first waiting and then running. Dropping it returns the slot.
#[derive(Debug)]
pub(super) struct Permit<'a> {
    limiter: &'a Limiter,
    state: &'a NodeState,
    call: CallId,
    /// The outcome of the call; `None` while it waits.
    outcome: Option<Outcome>,
}

impl Permit<'_> {
    /// Sets the outcome of the call. A call that was admitted counts as failed until this is set.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = Some(outcome);
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        let call = self.call;
        self.limiter.apply(
            self.state,
            match self.outcome {
                Some(outcome) => Event::Finish { call, outcome },
                None => Event::Withdraw { call },
            },
        );
    }
}

impl Limiter {
    /// Returns a limiter for an upstream, to be configured before use.
    pub fn new(upstream: &LocalUpstream, clock: Clock) -> Self {
        let inner = Inner {
            admission: Admission::new(Options::default()),
            waiting: Map::default(),
            last_call: 0,
            actions: Vec::new(),
            named_limit: NamedLimit::default(),
            gate_rate: None,
            leaving: false,
        };
        Self {
            inner: Mutex::new(inner),
            pool: UpstreamPool::new(upstream.address, clock),
            instance: upstream.instance.clone(),
            generation: upstream.generation,
            unreachable: AtomicU32::new(0),
            refused: Mutex::default(),
        }
    }

    /// Returns whether this limiter belongs to the same address and process as `upstream`.
    pub fn is_same_process(&self, upstream: &LocalUpstream) -> bool {
        self.address() == upstream.address
            && self.instance == upstream.instance
            && self.generation == upstream.generation
    }

    /// Returns the upstream's process, if upstreams report one.
    pub fn instance(&self) -> Option<&InstanceId> {
        self.instance.as_ref()
    }

    /// Returns the upstream's address.
    pub fn address(&self) -> SocketAddr {
        self.pool.address()
    }

    /// Returns the upstream's load.
    pub fn load(&self) -> Load {
        self.lock().admission.load()
    }

    /// Returns the number of calls that a call of `rank` competes with, and the concurrency limit.
    pub(super) fn competitors(&self, rank: usize) -> (usize, usize) {
        let inner = self.lock();
        (inner.admission.competitors(rank), inner.admission.load().limit)
    }

    /// Returns the load report for calls of a class.
    pub(super) fn load_report(&self, class: CallClass) -> LoadReport {
        let inner = self.lock();
        let ClassLoad { mut free, limit, mut turn, work, nested } =
            inner.admission.class_load(class);
        // Under a rate limit the upstream looks like one whose slots become free at that rate.
        if let Some((allowed, interval)) = inner.admission.pacing() {
            let waiting = inner.admission.waiting_up_to(class.rank);
            free = free.min(allowed as i32 - waiting as i32);
            turn = turn.max(interval * limit as u32);
        }
        LoadReport {
            free,
            limit: limit as u32,
            turn_ms: turn.as_millis() as u32,
            work_ms: work.as_millis() as u32,
            link_ms: 0,
            nested,
        }
    }

    /// Records what the upstream says about itself in its answer to a call that was sent at
    /// `sent_at`; returns the news in it.
    pub(super) fn record_answer(
        &self,
        state: &NodeState,
        map: &HeaderMap,
        sent_at: MonoTime,
    ) -> Vec<CallEvent> {
        let mut news = Vec::new();
        let mut inner = self.lock();
        let rate = state.conventions.named_rate(map);
        if inner.named_limit.on_answer(state.clock.now(), sent_at, rate) {
            inner.limit_rate(state);
            news.push(CallEvent::UpstreamLimited { rate });
        }
        if state.conventions.names_leaving(map) && inner.set_leaving(state) {
            news.push(CallEvent::UpstreamLeaving);
        }
        news
    }

    /// Takes over what the upstream's process has said to another node, unless it has answered this
    /// node since.
    pub(super) fn adopt(&self, state: &NodeState, notice: &UpstreamNotice) {
        if self.instance.as_ref() != Some(&notice.instance) || self.generation != notice.generation
        {
            return;
        }
        let mut inner = self.lock();
        if let Some(rate) = notice.rate
            && inner.named_limit.on_report(state.clock.now(), rate)
        {
            inner.limit_rate(state);
        }
        if notice.leaving {
            inner.set_leaving(state);
        }
    }

    /// Returns what the upstream's process has said about itself, if anything.
    pub(super) fn notice(&self) -> Option<UpstreamNotice> {
        let inner = self.lock();
        let (rate, leaving) = (inner.named_limit.rate(), inner.leaving);
        let instance = self.instance.clone().filter(|_| rate.is_some() || leaving)?;
        Some(UpstreamNotice { instance, generation: self.generation, rate, leaving })
    }

    /// Returns whether the upstream has said that it is leaving.
    pub(super) fn is_leaving(&self) -> bool {
        self.lock().leaving
    }

    /// Sets the rate that a rollout allows; `None` for no limit.
    pub(super) fn set_gate_rate(&self, state: &NodeState, rate: Option<Rate>) {
        let mut inner = self.lock();
        if inner.gate_rate != rate {
            inner.gate_rate = rate;
            inner.limit_rate(state);
        }
    }

    /// Records whether a call could be sent to the upstream.
    pub(super) fn record_send(&self, sent: bool) {
        if sent {
            self.unreachable.store(0, Ordering::Relaxed);
        } else {
            self.unreachable.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Records that the upstream refused a call without running it.
    pub(super) fn record_refused(&self, call_id: &HeaderValue) {
        let mut refused = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
        refused.push_back(call_id.clone());
        if refused.len() > MAX_REFUSED_CALLS {
            refused.pop_front();
        }
    }

    /// Returns whether the upstream refused a call with this id before.
    pub(super) fn has_refused(&self, call_id: &HeaderValue) -> bool {
        let refused = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
        refused.contains(call_id)
    }

    /// Returns whether several consecutive calls failed to connect to the upstream.
    pub(super) fn is_unreachable(&self) -> bool {
        self.unreachable.load(Ordering::Relaxed) >= UNREACHABLE_AFTER_CALLS
    }

    pub(super) fn pool(&self) -> &UpstreamPool {
        &self.pool
    }

    pub(super) fn is_draining(&self) -> bool {
        self.lock().admission.is_draining()
    }

    /// Applies the upstream's announcement and the active configuration of its service.
    pub(super) fn configure(
        &self,
        state: &NodeState,
        upstream: &LocalUpstream,
        policy: Policy,
        overload_control: bool,
    ) {
        let config = state.active_config();
        let service = config.snapshot.service(&upstream.service);
        let floor_shares = config.snapshot.ranks().iter().map(|r| r.floor.fraction()).collect();
        let options = Options {
            policy,
            max_concurrency: service
                .map_or(upstream.slots, |s| s.max_concurrency.min(upstream.slots)),
            adaptive: service.is_none_or(|s| s.adaptive_limit),
            queue_capacity: service.map_or(0, |s| s.queue as usize),
            floor_shares,
            overload_control,
        };
        self.apply(state, Event::Configure(options));
        let draining = upstream.draining || self.is_leaving();
        self.apply(state, if draining { Event::Drain } else { Event::Open });
    }

    pub(super) fn drain(&self, state: &NodeState) {
        self.apply(state, Event::Drain);
    }

    pub(super) fn tick(&self, state: &NodeState) {
        self.apply(state, Event::Tick);
    }

    /// Waits until the call is admitted. The returned permit holds its slot.
    ///
    /// Fails with the verdict `NotRun` if the call is refused.
    pub(super) async fn acquire<'a>(
        &'a self,
        state: &'a NodeState,
        info: &AttemptInfo,
    ) -> Result<Permit<'a>, CallError> {
        let (call, decided) = self.offer(state, info);
        let mut permit = Permit { limiter: self, state, call, outcome: None };
        let decision = match decided {
            Ok(decision) => decision,
            Err(waiting) => waiting.await.unwrap_or(Err(Refusal::Draining)),
        };
        match decision {
            Ok(()) => {
                permit.set_outcome(Outcome::Failed);
                Ok(permit)
            }
            Err(Refusal::Overloaded) => Err(CallError::not_run(Reason::Overloaded)),
            Err(Refusal::Deadline) => Err(CallError::not_run(Reason::Deadline)),
            Err(Refusal::Draining) => Err(CallError::not_run(Reason::Draining)),
        }
    }

    /// Offers a call; returns the decision, or the channel over which it will arrive.
    fn offer(
        &self,
        state: &NodeState,
        info: &AttemptInfo,
    ) -> (CallId, Result<Decision, oneshot::Receiver<Decision>>) {
        let AttemptInfo { rank, deadline, on_time_by, target, .. } = *info;
        let mut inner = self.lock();
        inner.last_call += 1;
        let call = CallId(inner.last_call);
        let offer = Event::Offer { call, rank, deadline, on_time_by, target };
        if let Some(decision) = inner.apply(state, offer, Some(call)) {
            return (call, Ok(decision));
        }
        let (tx, rx) = oneshot::channel();
        inner.waiting.insert(call, tx);
        (call, Err(rx))
    }

    fn apply(&self, state: &NodeState, event: Event) {
        self.lock().apply(state, event, None);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Applies the lower one of the upstream's own rate limit and that of a rollout.
    fn limit_rate(&mut self, state: &NodeState) {
        let rate = match (self.named_limit.rate(), self.gate_rate) {
            (Some(named), Some(gate)) => Some(Rate(named.0.min(gate.0))),
            (named, gate) => named.or(gate),
        };
        self.apply(state, Event::LimitRate(rate), None);
    }

    /// Takes no new calls from now on; returns whether that is new.
    fn set_leaving(&mut self, state: &NodeState) -> bool {
        if std::mem::replace(&mut self.leaving, true) {
            return false;
        }
        self.apply(state, Event::Drain, None);
        true
    }

    /// Applies an event to the admission state machine and delivers its decisions to the waiting
    /// calls; returns the decision about `own_call`.
    fn apply(
        &mut self,
        state: &NodeState,
        event: Event,
        own_call: Option<CallId>,
    ) -> Option<Decision> {
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
            if Some(call) == own_call {
                decided = Some(decision);
            } else if let Some(tx) = self.waiting.remove(&call) {
                // If the receiver is gone, its permit returns the slot when dropped.
                let _ = tx.send(decision);
            }
        }
        decided
    }
}
