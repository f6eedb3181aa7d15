//! The deterministic state machine that makes the admission decisions.

use std::time::Duration;

use goldcresttally_core::{Deadline, Map, MonoTime, Rate};

use crate::event::{Action, CallId, ClassLoad, Event, Load, Options, Policy, Refusal};
use crate::limit::{AdaptiveLimit, Outcome};
use crate::nested::NestedCalls;
use crate::queue::{QueuedCall, RankedQueue};
use crate::rate_limit::Pacer;
use crate::service_times::{CallClass, ServiceTimes};

/// One slot in this many, rounded, is kept free for more urgent calls that are expected.
const HEADROOM_DIVISOR: usize = 12;

/// Service time to allow for in the longest wait, as a multiple of the average.
const SERVICE_TIME_MARGIN: f64 = 1.6;

/// Share of the time to its deadline that an already late call may wait. An early refusal serves
/// its caller better than a long wait.
const LATE_CALL_WAIT_SHARE: f64 = 0.25;

/// A call is short if its expected service time is below this share of the overall average. These
/// are mostly nested calls between upstreams: refusing one saves little capacity and wastes the
/// work of its caller.
const SHORT_CALL_SHARE: f64 = 0.3;

/// Share of the time to its deadline that a short call may wait, even if that makes it late.
const SHORT_CALL_WAIT_SHARE: f64 = 0.5;

/// Longest wait of new calls of the least urgent rank under overload control, as a share of their
/// target. A longer queue starts no more calls, only later ones.
const OVERLOAD_WAIT_SHARE: f64 = 0.25;

/// Under overload control, a new call is refused at once if this multiple of the expected wait is too
/// long: the wait of every second call is longer than expected, and those would be refused late.
const OVERLOAD_WAIT_MARGIN: f64 = 1.5;

/// Service time assumed under overload control until one is known, in milliseconds, but at most half of
/// the target. Without it, calls would wait until their deadline after a start.
const ASSUMED_SERVICE_TIME_MS: u64 = 100;

/// Wait of a call that only takes a free slot, in milliseconds.
const FREE_SLOT_WAIT_MS: u64 = 1;

/// Admission control for one upstream.
#[derive(Debug)]
pub struct Admission {
    options: Options,
    limit: AdaptiveLimit,
    queue: RankedQueue,
    running: Map<CallId, Running>,
    /// Number of running calls that are not nested.
    running_new: usize,
    nested_calls: NestedCalls,
    /// The classes of the waiting calls.
    classes: Map<CallId, CallClass>,
    service_times: ServiceTimes,
    /// Paces the calls while the upstream limits their rate.
    pacer: Option<Pacer>,
    draining: bool,
}

/// A running call.
#[derive(Debug, Clone, Copy)]
struct Running {
    started_at: MonoTime,
    class: CallClass,
    nested: bool,
}

impl Admission {
    /// Returns the state machine of an upstream that takes new calls.
    pub fn new(options: Options) -> Self {
        let mut queue = RankedQueue::default();
        queue.set_floors(floor_shares_of(&options));
        let mut limit = AdaptiveLimit::new(options.max_concurrency);
        limit.set_adaptive(options.adaptive);
        Self {
            limit,
            queue,
            running: Map::default(),
            running_new: 0,
            nested_calls: NestedCalls::default(),
            classes: Map::default(),
            service_times: ServiceTimes::default(),
            pacer: None,
            draining: false,
            options,
        }
    }

    /// Processes one event and appends the resulting actions to `actions`.
    pub fn on_event(&mut self, now: MonoTime, event: Event, actions: &mut Vec<Action>) {
        if let Some(pacer) = &mut self.pacer {
            pacer.refill(now);
        }
        match event {
            Event::Offer { call, rank, deadline, on_time_by, target } => {
                let is_late = on_time_by.is_past(now);
                let class = CallClass { rank, target };
                let service_time = self.expected_service_time(class);
                let time_left = deadline.remaining(now);
                let slack = max_wait(now, on_time_by, target, service_time);
                let overload_control = self.options.overload_control;
                if overload_control {
                    self.nested_calls.on_arrival(now, class);
                }
                let nested = self.is_nested(class);
                let is_short =
                    nested || service_time < self.service_times.overall().mul_f64(SHORT_CALL_SHARE);
                // What binds is the capacity for the least urgent rank. More urgent calls go before
                // it and find room within their slack.
                let is_least =
                    overload_control && !nested && self.nested_calls.is_least_urgent(rank);
                let slack = match is_least {
                    true => max_overload_wait(now, on_time_by, target, service_time),
                    false => slack,
                };
                let max_wait = match (is_late, is_short) {
                    (true, _) if overload_control => Duration::from_millis(FREE_SLOT_WAIT_MS),
                    (true, _) => time_left.mul_f64(LATE_CALL_WAIT_SHARE),
                    (false, true) => slack.max(time_left.mul_f64(SHORT_CALL_WAIT_SHARE)),
                    (false, false) => slack,
                };
                let start_by = start_by(now, deadline, max_wait, service_time);
                let on_time_start = Deadline::after(now, slack).min(start_by);
                // An already late call goes last, so that it makes no other call late.
                let last_lane = self.options.floor_shares.len().max(rank);
                let lane = if is_late { last_lane } else { rank };
                let offered = QueuedCall {
                    call,
                    start_by,
                    on_time_start,
                    arrived: now,
                    service_time,
                    nested,
                };
                self.classes.insert(call, class);
                let first = actions.len();
                self.on_offer(now, lane, offered, actions);
                self.drop_refused_classes(&actions[first..]);
            }
            Event::Finish { call, outcome } => self.on_finish(now, call, outcome),
            Event::Withdraw { call } => {
                // It may have been dispatched just before its caller abandoned it.
                match self.queue.remove(call) {
                    true => drop(self.classes.remove(&call)),
                    false => self.on_finish(now, call, Outcome::Failed),
                }
            }
            Event::Configure(options) => self.configure(options),
            Event::LimitRate(rate) => self.limit_rate(now, rate),
            Event::Drain => {
                let first = actions.len();
                self.on_drain(actions);
                self.drop_refused_classes(&actions[first..]);
            }
            Event::Open => self.draining = false,
            Event::Tick => {}
        }
        let first = actions.len();
        self.refuse_expired(now, actions);
        self.drop_refused_classes(&actions[first..]);
        self.dispatch(now, actions);
    }

    fn drop_refused_classes(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::Refuse(call, _) = action {
                self.classes.remove(call);
            }
        }
    }

    /// Returns the current load of the upstream.
    pub fn load(&self) -> Load {
        let limit = self.limit.get();
        Load { running: self.running.len(), waiting: self.queue.len(), limit }
    }

    /// Returns the load that a call of `class` meets.
    pub fn class_load(&self, class: CallClass) -> ClassLoad {
        let limit = self.limit.get();
        let (turn, work) = self.mean_service_times(class);
        let nested = self.is_nested(class);
        let mut free = limit as i32 - self.competitors(class.rank) as i32;
        let mut turn = turn;
        if nested {
            let waiting = self.queue.waiting_before_new(class.rank);
            free = limit as i32 - (self.running.len() + waiting) as i32;
        } else if let Some(slots) = self.new_call_slots(class.rank) {
            let waiting = self.queue.waiting_up_to(class.rank);
            free = slots.free(self.running.len(), self.running_new) - waiting as i32;
            // The slots for new calls become free more slowly than all of them together.
            turn = turn.mul_f64(limit as f64 / slots.usable() as f64);
        }
        ClassLoad { free, limit, turn, work, nested }
    }

    /// Returns the number of calls that a call of `rank` would compete with: all running calls, and
    /// the waiting calls of its own rank and of more urgent ones.
    pub fn competitors(&self, rank: usize) -> usize {
        self.running.len() + self.queue.waiting_up_to(rank)
    }

    /// Returns the number of calls that the rate limit allows now and the mean time between calls
    /// under it; `None` without a rate limit.
    pub fn pacing(&self) -> Option<(usize, Duration)> {
        self.pacer.map(|pacer| (pacer.allowed_calls(), pacer.interval()))
    }

    /// Returns the number of waiting calls of `rank` and of more urgent ranks.
    pub fn waiting_up_to(&self, rank: usize) -> usize {
        self.queue.waiting_up_to(rank)
    }

    /// Returns whether the upstream takes no new calls.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    fn limit_rate(&mut self, now: MonoTime, rate: Option<Rate>) {
        match (&mut self.pacer, rate) {
            (Some(pacer), Some(rate)) => pacer.set_rate(now, rate),
            (_, rate) => self.pacer = rate.map(|rate| Pacer::new(now, rate)),
        }
    }

    fn configure(&mut self, options: Options) {
        self.limit.set_adaptive(options.adaptive);
        self.limit.set_ceiling(options.max_concurrency);
        self.queue.set_floors(floor_shares_of(&options));
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
        let margin = match self.options.overload_control && !offered.nested {
            true => OVERLOAD_WAIT_MARGIN,
            false => 1.0,
        };
        let expected_wait = self.expected_wait(lane, &offered).mul_f64(margin);
        if !fifo && offered.start_by.is_past(now + expected_wait) {
            // The call would start too late: because its time is already past, or because of the
            // calls ahead of it.
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

    /// Returns how long a call of `rank` is expected to wait for the calls ahead of it: until there
    /// is a slot for it, and until the rate limit allows it.
    fn expected_wait(&self, rank: usize, call: &QueuedCall) -> Duration {
        let paced = self.pacer.map(|pacer| pacer.wait_behind(self.queue.calls_ahead(rank, call)));
        self.expected_wait_for_slot(rank, call).max(paced.unwrap_or_default())
    }

    fn expected_wait_for_slot(&self, rank: usize, call: &QueuedCall) -> Duration {
        let limit = self.limit.get();
        let slots = if call.nested { None } else { self.new_call_slots(rank) };
        let has_slot =
            slots.is_none_or(|slots| slots.free(self.running.len(), self.running_new) > 0);
        if self.running.len() < limit && has_slot {
            return Duration::ZERO;
        }
        // One average service time stands for the running calls: with `limit` of them, a slot
        // becomes free every `overall / limit`.
        let overall = match self.service_times.overall() {
            Duration::ZERO => call.service_time,
            overall => overall,
        };
        let ahead = overall + self.queue.work_ahead(rank, call);
        ahead.div_f64(slots.map_or(limit, NewCallSlots::usable) as f64)
    }

    /// Returns the average service time of a class; zero while it is unknown and not to be assumed.
    fn expected_service_time(&self, class: CallClass) -> Duration {
        match self.service_times.for_class(class) {
            Duration::ZERO if self.options.overload_control => {
                let assumed = Duration::from_millis(ASSUMED_SERVICE_TIME_MS).min(class.target / 2);
                assumed.max(Duration::from_millis(1))
            }
            known => known,
        }
    }

    fn is_nested(&self, class: CallClass) -> bool {
        self.options.overload_control && self.nested_calls.is_nested(class)
    }

    /// Returns the slots that new calls of `rank` may take under overload control.
    fn new_call_slots(&self, rank: usize) -> Option<NewCallSlots> {
        let limit = self.limit.get();
        let overload_control = self.options.overload_control;
        overload_control.then(|| NewCallSlots::new(&self.nested_calls, rank, limit))
    }

    /// Returns the average service times of all calls and of those of a class; zero while unknown.
    pub fn mean_service_times(&self, class: CallClass) -> (Duration, Duration) {
        (self.service_times.overall(), self.service_times.for_class(class))
    }

    /// Returns whether the queue has room for a call of `rank`, evicting a less urgent call if
    /// necessary.
    fn make_room(&mut self, rank: usize, actions: &mut Vec<Action>) -> bool {
        let capacity = self.options.queue_capacity;
        if self.queue.len() < capacity || self.queue.is_under_floor(rank, capacity) {
            return true;
        }
        match self.queue.evict_less_urgent(rank, capacity) {
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
        self.running_new -= usize::from(!ended.nested);
        let elapsed = now.since(ended.started_at);
        self.limit.observe(now, outcome, elapsed, running);
        if outcome == Outcome::Answered {
            self.service_times.observe(ended.class, elapsed);
            if self.options.overload_control {
                self.nested_calls.on_answer(ended.class, elapsed);
            }
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
        while self.has_slot() && self.pacer.is_none_or(|pacer| pacer.allows_call()) {
            let free = self.limit.get().saturating_sub(self.running.len());
            let (nested_calls, running_new) = (&self.nested_calls, self.running_new);
            let (running, limit) = (self.running.len(), self.limit.get());
            let overload_control = self.options.overload_control;
            let takes_new = |rank| {
                let slots = NewCallSlots::new(nested_calls, rank, limit);
                !overload_control || slots.free(running, running_new) > 0
            };
            let next = self.queue.pop(now, free, self.headroom(), takes_new);
            let Some(next) = next else { return };
            let Some(class) = self.classes.remove(&next.call) else { continue };
            if let Some(pacer) = &mut self.pacer {
                pacer.take();
            }
            let nested = next.nested;
            self.running.insert(next.call, Running { started_at: now, class, nested });
            self.running_new += usize::from(!nested);
            actions.push(Action::Dispatch(next.call));
        }
    }

    /// Returns the number of slots to keep free for more urgent calls that are expected. Under overload
    /// control, only as many are kept as such calls occupy, see [`NewCallSlots`].
    fn headroom(&self) -> usize {
        match self.options.policy {
            Policy::Ranked if self.options.overload_control => 0,
            Policy::Ranked => max_headroom(self.limit.get()),
            Policy::Fifo | Policy::Strict => 0,
        }
    }

    fn has_slot(&self) -> bool {
        self.options.policy == Policy::Fifo || self.running.len() < self.limit.get()
    }
}

/// The slots that new calls of one rank may take.
#[derive(Debug, Clone, Copy)]
struct NewCallSlots {
    limit: usize,
    /// Maximum number of new calls that run at the same time; the other slots are for nested calls.
    max_new: usize,
    /// Slots that stay free for more urgent new calls.
    headroom: usize,
}

impl NewCallSlots {
    fn new(nested_calls: &NestedCalls, rank: usize, limit: usize) -> Self {
        let max_new = limit.saturating_sub(nested_calls.reserved_slots(rank, limit)).max(1);
        let headroom = nested_calls.urgent_slots(rank).min(max_headroom(limit));
        Self { limit, max_new, headroom }
    }

    /// Returns the number of free slots while `running` calls run, of which `running_new` are new.
    fn free(self, running: usize, running_new: usize) -> i32 {
        let unused = self.limit as i32 - (running + self.headroom) as i32;
        unused.min(self.max_new as i32 - running_new as i32)
    }

    /// Returns the number of slots that calls of the rank can use, at least one.
    fn usable(self) -> usize {
        self.max_new.min(self.limit.saturating_sub(self.headroom)).max(1)
    }
}

/// Returns the largest number of slots, of `limit`, to keep free for more urgent calls.
fn max_headroom(limit: usize) -> usize {
    (limit + HEADROOM_DIVISOR / 2) / HEADROOM_DIVISOR
}

/// Returns how long a new call of the least urgent rank may wait under overload control.
fn max_overload_wait(
    now: MonoTime,
    on_time_by: Deadline,
    target: Duration,
    service_time: Duration,
) -> Duration {
    let slack = on_time_by.remaining(now).saturating_sub(service_time.mul_f64(SERVICE_TIME_MARGIN));
    slack.min(target.mul_f64(OVERLOAD_WAIT_SHARE)).max(Duration::from_millis(FREE_SLOT_WAIT_MS))
}

/// Returns how long a call may wait and still be on time.
///
/// A call that waits until it is late only makes the calls behind it late too. If the target is
/// less than twice the service time, a wait of one service time is allowed nevertheless, because
/// otherwise all calls would be refused.
fn max_wait(
    now: MonoTime,
    on_time_by: Deadline,
    target: Duration,
    service_time: Duration,
) -> Duration {
    let slack = on_time_by.remaining(now).saturating_sub(service_time.mul_f64(SERVICE_TIME_MARGIN));
    let is_tight = target < 2 * service_time;
    // A call that finds a free slot does not wait, so 1 ms is enough.
    let min_wait = if is_tight { service_time } else { Duration::from_millis(1) };
    slack.max(min_wait)
}

/// Returns the latest time to start a call so that it is answered before its deadline. Once the
/// service time is known, `max_wait` applies too.
fn start_by(
    now: MonoTime,
    deadline: Deadline,
    max_wait: Duration,
    service_time: Duration,
) -> Deadline {
    // A call may take as little as half of the average service time.
    let longest = deadline.remaining(now).saturating_sub(service_time.div_f64(2.0));
    Deadline::after(now, if service_time.is_zero() { longest } else { max_wait.min(longest) })
}

fn floor_shares_of(options: &Options) -> &[f64] {
    match options.policy {
        Policy::Ranked => &options.floor_shares,
        Policy::Fifo | Policy::Strict => &[],
    }
}
