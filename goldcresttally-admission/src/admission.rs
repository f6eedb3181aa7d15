//! The decisions of admission, as a deterministic state machine.

use std::time::Duration;

use goldcresttally_core::{Deadline, Map, MonoTime};

use crate::event::{Action, CallId, Event, Load, Options, Policy, Refusal};
use crate::limit::{AdaptiveLimit, Outcome};
use crate::queue::{QueuedCall, RankedQueue};
use crate::service_times::{CallClass, ServiceTimes};

/// One slot in so many, rounded, is kept free for urgent calls that are expected.
const HEADROOM_DIVISOR: usize = 12;

/// Service time to allow for, as a multiple of the average.
const SERVICE_TIME_MARGIN: f64 = 1.6;

/// Share of the time left for which a call that is late already may wait: its caller is better
/// told soon that there is no room.
const LATE_WAIT_SHARE: f64 = 0.25;

/// Share of the usual time of all calls below which the work of a call is short: to refuse it
/// saves others next to nothing. Such are the calls that upstreams make of each other, and to
/// refuse one spoils the work of its caller.
const SHORT_SHARE: f64 = 0.3;

/// Share of the time left for which a short call may wait, though it becomes late.
const SHORT_WAIT_SHARE: f64 = 0.5;

/// Admission to one upstream.
#[derive(Debug)]
pub struct Admission {
    options: Options,
    limit: AdaptiveLimit,
    queue: RankedQueue,
    running: Map<CallId, Running>,
    /// The classes of the calls that wait or run.
    classes: Map<CallId, CallClass>,
    times: ServiceTimes,
    draining: bool,
}

/// A call that runs.
#[derive(Debug, Clone, Copy)]
struct Running {
    since: MonoTime,
    class: CallClass,
}

impl Admission {
    /// Returns the machine of an upstream that takes calls.
    pub fn new(options: Options) -> Self {
        let mut queue = RankedQueue::default();
        queue.set_floors(floors_of(&options));
        let mut limit = AdaptiveLimit::new(options.max_concurrency);
        limit.set_adaptive(options.adaptive);
        Self {
            limit,
            queue,
            running: Map::default(),
            classes: Map::default(),
            times: ServiceTimes::default(),
            draining: false,
            options,
        }
    }

    /// Takes one event and appends what is to be done to `actions`.
    pub fn on_event(&mut self, now: MonoTime, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Offer { call, rank, deadline, on_time_by, target } => {
                let is_late = on_time_by.is_past(now);
                let class = CallClass { rank, target };
                let service_time = self.times.for_class(class);
                let left = deadline.remaining(now);
                let spare = max_wait(now, on_time_by, target, service_time);
                let is_short = service_time < self.times.overall().mul_f64(SHORT_SHARE);
                let max_wait = match (is_late, is_short) {
                    (true, _) => left.mul_f64(LATE_WAIT_SHARE),
                    (false, true) => spare.max(left.mul_f64(SHORT_WAIT_SHARE)),
                    (false, false) => spare,
                };
                let start_by = start_by(now, deadline, max_wait, service_time);
                let on_time_start = Deadline::after(now, spare).min(start_by);
                // A call that is late already must not make others late.
                let last = self.options.floor_shares.len().max(rank);
                let lane = if is_late { last } else { rank };
                let offered =
                    QueuedCall { call, start_by, on_time_start, arrived: now, service_time };
                self.classes.insert(call, class);
                let first = actions.len();
                self.on_offer(now, lane, offered, actions);
                self.forget_refused(&actions[first..]);
            }
            Event::Finish { call, outcome } => self.on_finish(now, call, outcome),
            Event::Withdraw { call } => {
                // Its turn may have come just before it was given up.
                match self.queue.remove(call) {
                    true => drop(self.classes.remove(&call)),
                    false => self.on_finish(now, call, Outcome::Failed),
                }
            }
            Event::Configure(options) => self.configure(options),
            Event::Drain => {
                let first = actions.len();
                self.on_drain(actions);
                self.forget_refused(&actions[first..]);
            }
            Event::Open => self.draining = false,
            Event::Tick => {}
        }
        let first = actions.len();
        self.refuse_expired(now, actions);
        self.forget_refused(&actions[first..]);
        self.dispatch(now, actions);
    }

    fn forget_refused(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::Refuse(call, _) = action {
                self.classes.remove(call);
            }
        }
    }

    /// Returns how loaded the upstream is.
    pub fn load(&self) -> Load {
        let limit = self.limit.get();
        Load { running: self.running.len(), waiting: self.queue.len(), limit }
    }

    /// Returns the calls that one of `rank` would compete with: those that run, and those of its
    /// own rank and of more urgent ones that wait.
    pub fn competitors(&self, rank: usize) -> usize {
        self.running.len() + self.queue.waiting_up_to(rank)
    }

    /// Tells whether the upstream takes nothing new.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    fn configure(&mut self, options: Options) {
        self.limit.set_adaptive(options.adaptive);
        self.limit.set_ceiling(options.max_concurrency);
        self.queue.set_floors(floors_of(&options));
        self.options = options;
    }

    fn on_offer(
        &mut self,
        now: MonoTime,
        rank: usize,
        offered: QueuedCall,
        actions: &mut Vec<Action>,
    ) {
        let call = offered.call;
        if self.draining {
            actions.push(Action::Refuse(call, Refusal::Draining));
            return;
        }
        let fifo = self.options.policy == Policy::Fifo;
        let lane = if fifo { 0 } else { rank };
        if !fifo && offered.start_by.is_past(now + self.wait_for(lane, offered.on_time_start)) {
            // What would be late because of the work ahead of it is refused for that work's sake.
            let refusal = match offered.start_by.is_past(now) {
                true => Refusal::Deadline,
                false => Refusal::Overloaded,
            };
            actions.push(Action::Refuse(call, refusal));
            return;
        }
        let idle = self.running.len() < self.limit.get() && self.queue.is_empty();
        if !fifo && !idle && !self.make_room(lane, actions) {
            actions.push(Action::Refuse(call, Refusal::Overloaded));
            return;
        }
        self.queue.push(lane, offered);
    }

    /// Returns how long a call of `rank` would wait for the work that goes before it.
    fn wait_for(&self, rank: usize, on_time_start: Deadline) -> Duration {
        let limit = self.limit.get();
        if self.running.len() < limit {
            return Duration::ZERO;
        }
        // The first slot is free after a share of the time of those that run.
        let ahead = self.times.overall() + self.queue.work_ahead(rank, on_time_start);
        ahead.div_f64(limit as f64)
    }

    /// Returns the usual times of all calls and of those of a class; zero while unknown.
    pub fn mean_service_times(&self, class: CallClass) -> (Duration, Duration) {
        (self.times.overall(), self.times.for_class(class))
    }

    /// Finds a place in the queue, at the cost of less urgent calls if need be.
    fn make_room(&mut self, rank: usize, actions: &mut Vec<Action>) -> bool {
        let capacity = self.options.queue_capacity;
        if self.queue.len() < capacity || self.queue.is_under_floor(rank, capacity) {
            return true;
        }
        match self.queue.evict_below(rank, capacity) {
            Some(evicted) => {
                actions.push(Action::Refuse(evicted.call, Refusal::Overloaded));
                true
            }
            None => false,
        }
    }

    fn on_finish(&mut self, now: MonoTime, call: CallId, outcome: Outcome) {
        let running = self.running.len();
        let Some(ended) = self.running.remove(&call) else { return };
        let took = now.since(ended.since);
        self.limit.observe(now, outcome, took, running);
        if outcome == Outcome::Answered {
            self.times.observe(ended.class, took);
        }
    }

    fn on_drain(&mut self, actions: &mut Vec<Action>) {
        self.draining = true;
        let waiting = self.queue.drain_where(|_| true);
        actions.extend(waiting.iter().map(|w| Action::Refuse(w.call, Refusal::Draining)));
    }

    fn refuse_expired(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        if self.options.policy == Policy::Fifo || self.queue.is_empty() {
            return;
        }
        let expired = self.queue.drain_where(|w| w.start_by.is_past(now));
        actions.extend(expired.iter().map(|w| Action::Refuse(w.call, Refusal::Deadline)));
    }

    fn dispatch(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        while self.has_slot() {
            let free = self.limit.get().saturating_sub(self.running.len());
            let Some(next) = self.queue.pop(now, free, self.headroom()) else { return };
            let Some(class) = self.classes.remove(&next.call) else { continue };
            self.running.insert(next.call, Running { since: now, class });
            actions.push(Action::Dispatch(next.call));
        }
    }

    /// Returns the slots to keep free for more urgent calls that are expected.
    fn headroom(&self) -> usize {
        match self.options.policy {
            Policy::Ranked => (self.limit.get() + HEADROOM_DIVISOR / 2) / HEADROOM_DIVISOR,
            Policy::Fifo | Policy::Strict => 0,
        }
    }

    fn has_slot(&self) -> bool {
        self.options.policy == Policy::Fifo || self.running.len() < self.limit.get()
    }
}

/// Returns how long a call may wait and still be on time.
///
/// Calls that wait until they are late only make those behind them late too. Where the target is
/// hardly above the service time, one service time of waiting is allowed all the same, or
/// everything would be refused.
fn max_wait(
    now: MonoTime,
    on_time_by: Deadline,
    target: Duration,
    service_time: Duration,
) -> Duration {
    let spare = on_time_by.remaining(now).saturating_sub(service_time.mul_f64(SERVICE_TIME_MARGIN));
    let tight = target < 2 * service_time;
    // A call that finds a free slot need not wait at all.
    let least = if tight { service_time } else { Duration::from_millis(1) };
    spare.max(least)
}

/// Returns until when a call must start to be answered before its deadline, and within its
/// longest wait once the time of its work is known.
fn start_by(
    now: MonoTime,
    deadline: Deadline,
    max_wait: Duration,
    service_time: Duration,
) -> Deadline {
    // Half of the usual service time may be enough for one call.
    let last = deadline.remaining(now).saturating_sub(service_time.div_f64(2.0));
    Deadline::after(now, if service_time.is_zero() { last } else { max_wait.min(last) })
}

fn floors_of(options: &Options) -> &[f64] {
    match options.policy {
        Policy::Ranked => &options.floor_shares,
        Policy::Fifo | Policy::Strict => &[],
    }
}
