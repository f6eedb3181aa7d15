//! A fleet in simulated time, for tests of what callers get under an overload.
//!
//! Entries and upstreams on many VMs use the real picker, throttles, attempt rules and admission.
//! Runs of one service call another while they hold their slot, speeds are uneven, service times
//! have a heavy tail, loads are known only from earlier answers, and refused callers come back
//! once. A run depends only on its options and seed.

#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use goldcresttally_admission::{
    Action, Admission, CallClass, CallId, Event, Options, Outcome, Policy, Refusal,
};
use goldcresttally_core::{BitRate, Deadline, Generation, MonoTime, NodeId, Verdict};
use goldcresttally_routing::{
    AttemptFailure, AttemptLimits, CallAttempts, CallerTimeouts, Endpoint, EndpointStats,
    LoadReport, Locality, PickRequest, Picker, Room, Throttles, class_key, late_key,
};

/// Slots of each upstream.
const SLOTS: u32 = 6;
/// Time that a message between two nodes takes, in microseconds.
const MESSAGE_US: u64 = 800;
/// Interval of the ticks of a node, in microseconds.
const TICK_US: u64 = 50_000;
/// A refusal that takes longer than this counts as late, in microseconds.
const AT_ONCE_US: u64 = 25_000;
/// An answer that takes longer than the limit by this counts as held, in microseconds.
const HELD_GRACE_US: u64 = 250_000;
/// Further attempts after refusals, as at the entry.
const TRANSPARENT_RETRIES: u8 = 2;
/// Slowdown of a VM and the length and share of the time of it.
const SLOWDOWN: f64 = 2.5;
const SLOW_US: u64 = 600_000;
const SLOW_SHARE: f64 = 0.15;
/// Share of service times in the tail, and their factor.
const TAIL_SHARE: f64 = 0.03;
const TAIL_FACTOR: f64 = 7.0;

/// One kind of call.
#[derive(Debug, Clone)]
pub struct Class {
    pub name: &'static str,
    pub service: usize,
    pub rank: usize,
    pub per_s: f64,
    pub work_ms: f64,
    pub target_ms: u64,
    pub limit_ms: u64,
    /// Class, probability and number of the calls that a run makes one after the other.
    pub nested: Option<(usize, f64, u32)>,
}

/// A simulated load.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub vms: usize,
    /// Number of upstreams of each service, on the first VMs.
    pub upstreams: Vec<usize>,
    pub classes: Vec<Class>,
    pub floors: Vec<f64>,
    pub overload_control: bool,
    /// Old load reports give way to the mean of all.
    pub even_load: bool,
    pub seconds: u64,
}

impl Scenario {
    /// The same load with `factor` times the calls.
    #[must_use]
    pub fn scaled(mut self, factor: f64) -> Self {
        self.classes.iter_mut().for_each(|class| class.per_s *= factor);
        self
    }

    /// One service with few upstreams, whose calls are all of the same class.
    pub fn small_service() -> Self {
        let mut scenario = Self::heavy_day();
        scenario.classes.truncate(1);
        scenario.classes[0].nested = None;
        scenario.classes[0].per_s = 270.0;
        scenario.upstreams = vec![5];
        scenario
    }

    /// Two services as on an uneven deployment on its heaviest day: `menu` runs make nested calls
    /// to `checkout`, which also takes calls of its own.
    pub fn heavy_day() -> Self {
        let class = |name, service, rank, per_s, work_ms, target_ms, limit_ms| Class {
            name,
            service,
            rank,
            per_s,
            work_ms,
            target_ms,
            limit_ms,
            nested: None,
        };
        let mut classes = vec![
            class("menu", 0, 3, 1240.0, 100.0, 400, 1000),
            class("nested", 1, 1, 0.0, 29.0, 120, 400),
            class("pay", 1, 1, 600.0, 130.0, 500, 1200),
            class("order", 0, 0, 80.0, 60.0, 300, 800),
        ];
        classes[0].nested = Some((1, 0.7, 2));
        let floors = vec![0.0, 0.12, 0.08, 0.02, 0.02, 0.02, 0.02, 0.02];
        Self {
            vms: 72,
            upstreams: vec![32, 24],
            classes,
            floors,
            overload_control: false,
            even_load: false,
            seconds: 4,
        }
    }
}

/// What the callers of one class got.
#[derive(Debug, Clone, Default)]
pub struct Outcomes {
    pub asked: u32,
    pub on_time: u32,
    pub late: u32,
    pub refused_at_once: u32,
    pub refused_late: u32,
    pub failed: u32,
    pub held: u32,
    /// Runs that were begun, and those that ended without an answer.
    pub runs: u32,
    pub wasted: u32,
    pub attempts: u32,
    latencies_ms: Vec<u32>,
}

impl Outcomes {
    /// Adds the outcomes of another run.
    pub fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.on_time += other.on_time;
        self.late += other.late;
        self.refused_at_once += other.refused_at_once;
        self.refused_late += other.refused_late;
        self.failed += other.failed;
        self.held += other.held;
        self.runs += other.runs;
        self.wasted += other.wasted;
        self.attempts += other.attempts;
        self.latencies_ms.extend(&other.latencies_ms);
    }
}

impl fmt::Display for Outcomes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut sorted = self.latencies_ms.clone();
        sorted.sort_unstable();
        let median = sorted.get(sorted.len() / 2).copied().unwrap_or(0);
        let share = |n: u32| 100.0 * f64::from(n) / f64::from(self.asked.max(1));
        write!(
            f,
            "asked {:5} on time {:5} ({:4.1}%) late {:4} ({:4.1}%) refused at once {:4} late {:4} \
             failed {:4} held {:3} runs {:5} wasted {:4} attempts {:5} median {median} ms",
            self.asked,
            self.on_time,
            share(self.on_time),
            self.late,
            share(self.late),
            self.refused_at_once,
            self.refused_late,
            self.failed,
            self.held,
            self.runs,
            self.wasted,
            self.attempts,
        )
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive(usize),
    Returns(usize),
    AtPeer(usize),
    SegmentEnds(usize),
    AtEntry(usize),
    RetryDue(usize),
    Tick(usize),
    Slow(usize, bool),
    GivenUp(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Answered,
    Refused,
    Failed,
}

#[derive(Debug)]
struct Call {
    class: usize,
    vm: usize,
    /// Start of the caller's first try.
    first: u64,
    started: u64,
    deadline: Deadline,
    on_time_by: Deadline,
    tries: CallAttempts,
    /// The run that makes this call.
    parent: Option<usize>,
    has_returned: bool,
    ended: bool,
}

#[derive(Debug)]
struct Attempt {
    call: usize,
    vm: usize,
    work_us: f64,
    nested_left: u32,
    running: bool,
    half_done: bool,
    ended: bool,
    end: End,
    report: LoadReport,
}

struct Vm {
    /// The endpoints of each service, as this entry knows them.
    endpoints: Vec<Vec<Endpoint>>,
    throttles: Vec<Throttles>,
    callers: Vec<CallerTimeouts>,
    upstream: Option<Admission>,
    speed: f64,
    slow: bool,
}

/// A run of a scenario.
pub struct Fleet {
    scenario: Scenario,
    rng: fastrand::Rng,
    picker: Picker,
    now: MonoTime,
    queue: BinaryHeap<Reverse<(u64, u64, Step)>>,
    sequence: u64,
    nodes: Vec<NodeId>,
    vms: Vec<Vm>,
    calls: Vec<Call>,
    attempts: Vec<Attempt>,
    outcomes: Vec<Outcomes>,
}

fn node(vm: usize) -> NodeId {
    format!("10.0.{}.{}:7000", vm / 200, vm % 200 + 1).parse().expect("an address")
}

impl Fleet {
    /// Runs a scenario and returns what the callers of each class got.
    pub fn run(scenario: Scenario, seed: u64) -> Vec<Outcomes> {
        let mut fleet = Self::new(scenario, seed);
        while let Some(Reverse((at, _, step))) = fleet.queue.pop() {
            fleet.now = MonoTime(at);
            fleet.step(step);
        }
        fleet.outcomes
    }

    fn new(scenario: Scenario, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let service_of = service_by_vm(&scenario);
        let nodes: Vec<_> = (0..scenario.vms).map(node).collect();
        let endpoint = |vm: usize| Endpoint {
            node: nodes[vm],
            generation: Generation(1),
            peer: nodes[vm].0,
            locality: Locality::Domain,
            link: BitRate(0),
            slots: SLOTS,
            ready: true,
            ready_since: MonoTime(0),
            trial_milli: 0,
            stats: Arc::new(EndpointStats::default()),
        };
        let of_service = |service| {
            let all = (0..scenario.vms).filter(|vm| service_of[*vm] == Some(service));
            all.map(endpoint).collect::<Vec<_>>()
        };
        let count = scenario.upstreams.len();
        let vms = (0..scenario.vms)
            .map(|vm| Vm {
                endpoints: (0..count).map(of_service).collect(),
                throttles: (0..count).map(|_| Throttles::default()).collect(),
                callers: (0..count).map(|_| CallerTimeouts::default()).collect(),
                upstream: service_of[vm].map(|_| admission(&scenario)),
                speed: 0.55 + 0.85 * rng.f64(),
                slow: false,
            })
            .collect();
        let outcomes = vec![Outcomes::default(); scenario.classes.len()];
        let mut fleet = Self {
            rng,
            picker: Picker { even_load: scenario.even_load, ..Picker::default() },
            // Long after the endpoints became ready, so that their slow start is over.
            now: MonoTime(10_000_000),
            queue: BinaryHeap::new(),
            sequence: 0,
            nodes: nodes.clone(),
            vms,
            calls: Vec::new(),
            attempts: Vec::new(),
            outcomes,
            scenario,
        };
        for class in 0..fleet.scenario.classes.len() {
            fleet.schedule_arrival(class);
        }
        for vm in 0..fleet.scenario.vms {
            let offset = fleet.rng.u64(..TICK_US);
            fleet.after(offset, Step::Tick(vm));
            fleet.schedule_slow(vm);
        }
        fleet
    }

    fn end_us(&self) -> u64 {
        10_000_000 + self.scenario.seconds * 1_000_000
    }

    fn after(&mut self, delay_us: u64, step: Step) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now.0 + delay_us, self.sequence, step)));
    }

    fn schedule_arrival(&mut self, class: usize) {
        let per_s = self.scenario.classes[class].per_s;
        if per_s <= 0.0 {
            return;
        }
        let gap = -(1.0 - self.rng.f64()).ln() / per_s;
        let gap = (gap * 1e6) as u64;
        if self.now.0 + gap < self.end_us() {
            self.after(gap, Step::Arrive(class));
        }
    }

    fn schedule_slow(&mut self, vm: usize) {
        let mean = SLOW_US as f64 * (1.0 - SLOW_SHARE) / SLOW_SHARE;
        let gap = (-(1.0 - self.rng.f64()).ln() * mean) as u64;
        if self.now.0 + gap < self.end_us() {
            self.after(gap, Step::Slow(vm, true));
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive(class) => {
                let vm = self.rng.usize(..self.scenario.vms);
                let limit_ms = self.scenario.classes[class].limit_ms as f64;
                let limit = (limit_ms * (0.85 + 0.15 * self.rng.f64()) * 1000.0) as u64;
                self.outcomes[class].asked += 1;
                self.begin_call(class, vm, self.now.0, limit, None);
                self.schedule_arrival(class);
            }
            Step::Returns(call) => {
                let Call { class, first, deadline, .. } = self.calls[call];
                let vm = self.rng.usize(..self.scenario.vms);
                let left = deadline.remaining(self.now).as_micros() as u64;
                self.begin_call(class, vm, first, left, None);
            }
            Step::AtPeer(attempt) => self.on_attempt_at_peer(attempt),
            Step::SegmentEnds(attempt) => self.on_segment_end(attempt),
            Step::AtEntry(attempt) => self.on_result_at_entry(attempt),
            Step::RetryDue(call) => self.start_attempt(call),
            Step::Tick(vm) => {
                self.admit(vm, Event::Tick);
                if self.now.0 < self.end_us() + 3_000_000 {
                    self.after(TICK_US, Step::Tick(vm));
                }
            }
            Step::Slow(vm, slow) => {
                self.vms[vm].slow = slow;
                match slow {
                    true => self.after(SLOW_US, Step::Slow(vm, false)),
                    false => self.schedule_slow(vm),
                }
            }
            Step::GivenUp(call) => {
                if !self.calls[call].ended {
                    self.end_call(call, None, 0);
                }
            }
        }
    }

    fn begin_call(
        &mut self,
        class: usize,
        vm: usize,
        first: u64,
        limit_us: u64,
        parent: Option<usize>,
    ) {
        let spec = &self.scenario.classes[class];
        let target = Duration::from_millis(spec.target_ms);
        let limit = Duration::from_micros(limit_us);
        let spent = self.vms[vm].callers[spec.service].time_already_spent(class as u32 + 1, limit);
        let has_returned = first != self.now.0;
        let call = self.calls.len();
        self.calls.push(Call {
            class,
            vm,
            first,
            started: self.now.0,
            deadline: Deadline::after(self.now, limit),
            on_time_by: Deadline::after(self.now, target.saturating_sub(spent)),
            tries: CallAttempts::default(),
            parent,
            has_returned,
            ended: false,
        });
        self.after(limit_us + HELD_GRACE_US, Step::GivenUp(call));
        let key = self.throttle_key(call);
        let service = self.scenario.classes[class].service;
        let random = self.rng.f64();
        let room =
            Room::new(&self.picker, self.pick_request(call), &self.vms[vm].endpoints[service]);
        let admits = self.vms[vm].throttles[service].for_class(key).admit(self.now, random);
        let has_free_slot = self.scenario.overload_control && room.has_free_slot();
        if !admits && !has_free_slot {
            match self.scenario.overload_control {
                true => self.refuse(call),
                false => self.end_call(call, Some(End::Refused), 0),
            }
            return;
        }
        if self.scenario.overload_control && !room.is_reachable() {
            self.refuse(call);
            return;
        }
        self.start_attempt(call);
    }

    /// Refuses a call for lack of room, with the time at which there will be some.
    fn refuse(&mut self, call: usize) {
        let Call { class, vm, .. } = self.calls[call];
        let service = self.scenario.classes[class].service;
        let request = self.pick_request(call);
        let room = Room::new(&self.picker, request, &self.vms[vm].endpoints[service]);
        let retry_after = room.retry_after(self.rng.f64());
        self.end_call(call, Some(End::Refused), retry_after.as_micros() as u64);
    }

    fn throttle_key(&self, call: usize) -> u32 {
        let call = &self.calls[call];
        let spec = &self.scenario.classes[call.class];
        let key = class_key(spec.rank, spec.target_ms);
        match call.on_time_by <= Deadline(MonoTime(call.started)) {
            true => late_key(key),
            false => key,
        }
    }

    fn pick_request(&self, call: usize) -> PickRequest {
        let call = &self.calls[call];
        let spec = &self.scenario.classes[call.class];
        PickRequest {
            now: self.now,
            rank: spec.rank,
            target: Duration::from_millis(spec.target_ms),
            on_time_by: call.on_time_by,
            bytes: 0,
        }
    }

    fn start_attempt(&mut self, call: usize) {
        if self.calls[call].ended {
            return;
        }
        let request = self.pick_request(call);
        let Call { class, vm, .. } = self.calls[call];
        let list = &self.vms[vm].endpoints[self.scenario.classes[class].service];
        let tried = self.calls[call].tries.tried();
        let rng = &mut self.rng;
        let picked = self.picker.pick(&request, list, tried, |n| rng.usize(..n));
        let at = picked.expect("more endpoints than attempts").node;
        self.start_attempt_at(call, at);
    }

    fn start_attempt_at(&mut self, call: usize, at: NodeId) {
        let Call { class, vm, .. } = self.calls[call];
        let spec = &self.scenario.classes[class];
        let list = &self.vms[vm].endpoints[spec.service];
        let endpoint = list.iter().find(|e| e.node == at).expect("an endpoint");
        endpoint.stats.call_started(spec.rank);
        let peer = self.nodes.iter().position(|n| *n == at).expect("a VM");
        self.calls[call].tries.begin(at);
        self.outcomes[class].attempts += 1;
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            call,
            vm: peer,
            work_us: 0.0,
            nested_left: 0,
            running: false,
            half_done: false,
            ended: false,
            end: End::Failed,
            report: LoadReport::default(),
        });
        self.after(MESSAGE_US, Step::AtPeer(attempt));
    }

    fn on_attempt_at_peer(&mut self, attempt: usize) {
        let Attempt { call, vm, .. } = self.attempts[attempt];
        let Call { class, deadline, on_time_by, .. } = self.calls[call];
        let spec = &self.scenario.classes[class];
        let offer = Event::Offer {
            call: CallId(attempt as u64),
            rank: spec.rank,
            deadline,
            on_time_by,
            target: Duration::from_millis(spec.target_ms),
        };
        self.admit(vm, offer);
    }

    fn admit(&mut self, vm: usize, event: Event) {
        let Some(upstream) = &mut self.vms[vm].upstream else { return };
        let mut actions = Vec::new();
        upstream.on_event(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Dispatch(CallId(attempt)) => self.start_run(attempt as usize),
                Action::Refuse(CallId(attempt), refusal) => {
                    assert_ne!(refusal, Refusal::Draining, "no upstream drains");
                    self.send_result(attempt as usize, End::Refused);
                }
            }
        }
    }

    fn start_run(&mut self, attempt: usize) {
        let class = self.calls[self.attempts[attempt].call].class;
        let spec = &self.scenario.classes[class];
        let tail = if self.rng.f64() < TAIL_SHARE { TAIL_FACTOR } else { 1.0 };
        let work_us = spec.work_ms * 1000.0 * tail * (0.8 + 0.4 * self.rng.f64());
        let nested_left = match spec.nested {
            Some((_, probability, count)) if self.rng.f64() < probability => count,
            _ => 0,
        };
        self.outcomes[class].runs += 1;
        let run = &mut self.attempts[attempt];
        run.running = true;
        run.nested_left = nested_left;
        run.work_us = work_us;
        self.schedule_half(attempt);
    }

    fn schedule_half(&mut self, attempt: usize) {
        let Attempt { vm, work_us, .. } = self.attempts[attempt];
        let Vm { speed, slow, .. } = self.vms[vm];
        let speed = if slow { speed / SLOWDOWN } else { speed };
        self.after((work_us / 2.0 / speed) as u64, Step::SegmentEnds(attempt));
    }

    fn on_segment_end(&mut self, attempt: usize) {
        if self.attempts[attempt].ended {
            return;
        }
        if self.attempts[attempt].half_done {
            self.end_run(attempt, End::Answered);
            return;
        }
        self.attempts[attempt].half_done = true;
        self.continue_run(attempt);
    }

    /// Makes the next nested call of a run, or its second half after the last.
    fn continue_run(&mut self, attempt: usize) {
        let Attempt { call, vm, nested_left, .. } = self.attempts[attempt];
        if nested_left == 0 {
            self.schedule_half(attempt);
            return;
        }
        self.attempts[attempt].nested_left -= 1;
        let Call { class, deadline, .. } = self.calls[call];
        let (nested, _, _) = self.scenario.classes[class].nested.expect("a nested class");
        let left = deadline.remaining(self.now).as_micros() as u64;
        let limit = left.min(self.scenario.classes[nested].limit_ms * 1000);
        self.outcomes[nested].asked += 1;
        self.begin_call(nested, vm, self.now.0, limit, Some(attempt));
    }

    fn end_run(&mut self, attempt: usize, end: End) {
        let Attempt { call, vm, ended, .. } = self.attempts[attempt];
        if ended {
            return;
        }
        let class = self.calls[call].class;
        let outcome = match end {
            End::Answered => Outcome::Answered,
            End::Refused | End::Failed => Outcome::Failed,
        };
        if end != End::Answered {
            self.outcomes[class].wasted += 1;
        }
        self.admit(vm, Event::Finish { call: CallId(attempt as u64), outcome });
        self.send_result(attempt, end);
    }

    fn send_result(&mut self, attempt: usize, end: End) {
        let Attempt { call, vm, .. } = self.attempts[attempt];
        let spec = &self.scenario.classes[self.calls[call].class];
        let class = CallClass { rank: spec.rank, target: Duration::from_millis(spec.target_ms) };
        let upstream = self.vms[vm].upstream.as_ref().expect("an upstream");
        let load = upstream.class_load(class);
        let report = LoadReport {
            free: load.free,
            limit: load.limit as u32,
            turn_ms: load.turn.as_millis() as u32,
            work_ms: load.work.as_millis() as u32,
            link_ms: 0,
            nested: load.nested,
        };
        let ended = &mut self.attempts[attempt];
        ended.ended = true;
        ended.end = end;
        ended.report = report;
        self.after(MESSAGE_US, Step::AtEntry(attempt));
    }

    fn on_result_at_entry(&mut self, attempt: usize) {
        let Attempt { call, vm: peer, end, report, .. } = self.attempts[attempt];
        let Call { class, vm, deadline, .. } = self.calls[call];
        let spec = &self.scenario.classes[class];
        let (service, rank) = (spec.service, spec.rank);
        let target = Duration::from_millis(spec.target_ms);
        let list = &self.vms[vm].endpoints[service];
        let endpoint = list.iter().find(|e| e.node == self.nodes[peer]).expect("an endpoint");
        endpoint.stats.call_ended(rank);
        endpoint.stats.record_load(self.now, rank, target, report);
        let throttle = self.vms[vm].throttles[service].for_class(self.throttle_key(call));
        match end {
            End::Answered => {
                endpoint.stats.on_answer();
                throttle.accepted();
            }
            End::Refused => throttle.refused(),
            End::Failed => endpoint.stats.record_outcome(true),
        }
        if self.calls[call].ended {
            return;
        }
        if end != End::Refused {
            self.end_call(call, Some(end), 0);
            return;
        }
        let failure = AttemptFailure {
            verdict: Verdict::NotRun,
            reached_upstream: false,
            retry_may_succeed: true,
            can_resend: true,
            redirect: None,
        };
        let limits = AttemptLimits {
            idempotent: false,
            retries: 0,
            transparent_retries: TRANSPARENT_RETRIES,
            deadline,
        };
        if self.scenario.overload_control {
            let request = self.pick_request(call);
            let list = &self.vms[vm].endpoints[service];
            let room = Room::new(&self.picker, request, list);
            let tries = &self.calls[call].tries;
            match room.another_attempt(tries).map(|e| e.node) {
                Some(at) => self.start_attempt_at(call, at),
                None => self.refuse(call),
            }
            return;
        }
        if self.calls[call].tries.on_failure(self.now, failure, limits, None) {
            let jitter = self.rng.u64(..10_000);
            self.after(jitter, Step::RetryDue(call));
            return;
        }
        self.end_call(call, Some(End::Refused), 0);
    }

    /// Ends a call at its entry; `end` is `None` if its caller has given up. A refusal names
    /// `retry_after_us`, or with 0 the default time.
    fn end_call(&mut self, call: usize, end: Option<End>, retry_after_us: u64) {
        self.calls[call].ended = true;
        let Call { class, vm, first, started, deadline, parent, has_returned, .. } =
            self.calls[call];
        let service = self.scenario.classes[class].service;
        let target_us = self.scenario.classes[class].target_ms * 1000;
        let elapsed = self.now.0 - first;
        if matches!(end, Some(End::Refused | End::Failed)) {
            self.vms[vm].callers[service].on_failure(class as u32 + 1);
        }
        if end == Some(End::Refused) && parent.is_none() && !has_returned {
            let default = 150_000 + self.rng.u64(..=300_000);
            let after = if retry_after_us > 0 { retry_after_us } else { default };
            if after <= deadline.remaining(self.now).as_micros() as u64 / 3 {
                self.after(after, Step::Returns(call));
                return;
            }
        }
        let outcomes = &mut self.outcomes[class];
        match end {
            Some(End::Answered) => {
                outcomes.latencies_ms.push((elapsed / 1000) as u32);
                match elapsed <= target_us {
                    true => outcomes.on_time += 1,
                    false => outcomes.late += 1,
                }
            }
            Some(End::Refused) if self.now.0 - started <= AT_ONCE_US => {
                outcomes.refused_at_once += 1;
            }
            Some(End::Refused) => outcomes.refused_late += 1,
            Some(End::Failed) => outcomes.failed += 1,
            None => outcomes.held += 1,
        }
        if let Some(run) = parent {
            match end {
                Some(End::Answered) => self.continue_run(run),
                _ => self.end_run(run, End::Failed),
            }
        }
    }
}

fn service_by_vm(scenario: &Scenario) -> Vec<Option<usize>> {
    let mut services = Vec::new();
    for (service, count) in scenario.upstreams.iter().enumerate() {
        services.extend(std::iter::repeat_n(Some(service), *count));
    }
    services.resize(scenario.vms, None);
    services
}

fn admission(scenario: &Scenario) -> Admission {
    Admission::new(Options {
        policy: Policy::Ranked,
        max_concurrency: SLOTS,
        adaptive: false,
        queue_capacity: 256,
        floor_shares: scenario.floors.clone(),
        overload_control: scenario.overload_control,
    })
}
