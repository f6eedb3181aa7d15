//! A simulated service with a store, in which rollouts take place.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeSet;
use std::time::Duration;

use goldcresttally_core::{MonoTime, NodeId, Rate, ReleaseName};
use goldcresttally_rollout::{
    Action, Candidates, ClassCount, ClassCounts, Decider, Decision, Door, Event, Gate, Member,
    Options, Order, Phase, Report, Resolved, Stage, StateRow, Status, StatusRow, StoreError,
    Stored, StoredRows, Write,
};

const STEP_MS: u64 = 50;
/// Time until the members know that a node is gone.
const DETECTION_MS: u64 = 4000;
/// Time until entries know that a door has opened or closed.
const GOSSIP_MS: u64 = 600;

pub fn node(n: usize) -> NodeId {
    NodeId(format!("127.0.0.{}:7400", n + 1).parse().unwrap())
}

pub fn release(name: &str) -> ReleaseName {
    name.parse().unwrap()
}

/// How a release behaves.
#[derive(Debug, Clone, Copy)]
pub struct Behaviour {
    /// Share of failures, by class of call.
    pub failures: [f64; 2],
    /// Factor on the time of a call.
    pub slowdown: f64,
    /// Time after the order from which it behaves so, in milliseconds.
    pub after_ms: u64,
    /// Calls in flight at an upstream from which it behaves so.
    pub from_load: usize,
}

pub const GOOD: Behaviour =
    Behaviour { failures: [0.005, 0.005], slowdown: 1.0, after_ms: 0, from_load: 0 };

#[derive(Debug)]
pub struct Node {
    pub release: ReleaseName,
    pub alive: bool,
    pub paused: bool,
    /// Whether it reaches no other node.
    pub cut_off: bool,
    /// Whether it does not reach the store.
    pub without_store: bool,
    /// Whether it answers no stages although it is a member.
    pub mute: bool,
    pub door: Door,
    pub decider: Option<Decider>,
    pub counts: ClassCounts,
    pub received: u64,
    pub in_flight: usize,
    /// Releases seen by the entries, with the time from which they see a change.
    published: (bool, MonoTime),
    tokens: f64,
    gone_since: Option<MonoTime>,
    next_resolve: MonoTime,
}

/// The store, with its faults.
#[derive(Debug, Default)]
pub struct Store {
    pub order: Option<Order>,
    pub state: Option<Stored<StateRow>>,
    pub status: Option<Stored<StatusRow>>,
    pub revision: u64,
    pub down: bool,
    pub slow_ms: u64,
    /// Share of the writes whose answer is lost.
    pub lose_answers: f64,
    pub reads: u64,
    pub writes: u64,
    /// Every state that was written, in order.
    pub statuses: Vec<(MonoTime, Status)>,
}

#[derive(Debug, Clone)]
enum Message {
    Read { to: usize, result: Result<StoredRows, StoreError> },
    Apply { to: usize, write: Write, lost: bool },
    Written { to: usize, result: Result<u64, StoreError> },
    Stage { from: usize, to: usize, stage: Stage },
    Report { from: usize, to: usize, report: Report },
    CallEnd { at: usize, class: u32, failed: bool, ms: u64 },
}

pub struct World {
    pub now: MonoTime,
    pub nodes: Vec<Node>,
    pub store: Store,
    pub rate: f64,
    pub bad: Behaviour,
    pub ordered_at: MonoTime,
    pub duration: Duration,
    /// Calls since the order, to the new release, and refused ones.
    pub calls: u64,
    pub new_calls: u64,
    pub refused: u64,
    /// When the new release gave its 50th bad answer, and when it last got a call.
    pub bad_answers: u64,
    pub fiftieth_bad: Option<MonoTime>,
    pub last_new_call: Option<MonoTime>,
    /// Calls in flight at the old release when `completed` was written, and calls it got later.
    pub in_flight_at_completion: Option<usize>,
    pub old_calls_after_completion: u64,
    pub decisions: Vec<(usize, MonoTime, Decision)>,
    rng: fastrand::Rng,
    queue: Vec<(MonoTime, Message)>,
    backlog: f64,
}

impl World {
    /// Starts a service with `count` upstreams of the old and as many of the new release, and
    /// writes the order.
    pub fn start(count: usize, seed: u64, bad: Behaviour) -> Self {
        let now = MonoTime::from_millis(100_000);
        let mut world = Self {
            now,
            nodes: Vec::new(),
            store: Store::default(),
            rate: 100.0,
            bad,
            ordered_at: now,
            duration: Duration::from_secs(30),
            calls: 0,
            new_calls: 0,
            refused: 0,
            bad_answers: 0,
            fiftieth_bad: None,
            last_new_call: None,
            in_flight_at_completion: None,
            old_calls_after_completion: 0,
            decisions: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            queue: Vec::new(),
            backlog: 0.0,
        };
        for n in 0..2 * count {
            world.add_node(if n < count { "v1" } else { "v2" });
        }
        for n in 0..count {
            world.nodes[n].door.on_resolved(now, Resolved::NoOrder);
            world.nodes[n].door.set_foreign(false);
            world.nodes[n].published = (true, now);
        }
        world.order("v2", 30);
        world
    }

    pub fn add_node(&mut self, name: &str) -> usize {
        let mut door = Door::default();
        door.set_release(Some(release(name)));
        self.nodes.push(Node {
            release: release(name),
            alive: true,
            paused: false,
            cut_off: false,
            without_store: false,
            mute: false,
            door,
            decider: None,
            counts: ClassCounts::default(),
            received: 0,
            in_flight: 0,
            published: (false, self.now),
            tokens: 0.0,
            gone_since: None,
            next_resolve: self.now,
        });
        self.nodes.len() - 1
    }

    /// Writes an order, which the readers of the feed see at once: three of the old nodes.
    pub fn order(&mut self, to: &str, seconds: u64) {
        self.store.revision += 1;
        let order = Order {
            revision: self.store.revision,
            release: release(to),
            duration: Duration::from_secs(seconds),
        };
        self.duration = order.duration;
        self.ordered_at = self.now;
        self.store.order = Some(order.clone());
        for n in 0..3 {
            self.see_order(n, order.clone());
        }
    }

    pub fn see_order(&mut self, n: usize, order: Order) {
        if self.nodes[n].decider.is_none() {
            let decider = Decider::new(node(n), order.clone(), Options::default(), self.now);
            self.nodes[n].decider = Some(decider);
        }
        self.event(n, Event::OrderSeen(order));
    }

    /// Kills the process of a node and its upstream's calls.
    pub fn kill(&mut self, n: usize) {
        self.nodes[n].alive = false;
        self.nodes[n].gone_since = Some(self.now);
    }

    /// Starts the process of a node again; its upstream goes on.
    pub fn restart(&mut self, n: usize) {
        let mut door = Door::default();
        door.set_release(Some(self.nodes[n].release.clone()));
        let node = &mut self.nodes[n];
        node.alive = true;
        node.gone_since = None;
        node.door = door;
        node.decider = None;
        node.counts = ClassCounts::default();
        node.received = 0;
        node.next_resolve = self.now;
    }

    pub fn pause(&mut self, n: usize) {
        self.nodes[n].paused = true;
        self.nodes[n].gone_since = Some(self.now);
    }

    pub fn resume(&mut self, n: usize) {
        self.nodes[n].paused = false;
        self.nodes[n].gone_since = None;
    }

    pub fn cut_off(&mut self, n: usize, cut: bool) {
        self.nodes[n].cut_off = cut;
        self.nodes[n].gone_since = cut.then_some(self.now);
    }

    /// Puts the rows back to what `copy` holds; the order is written again, as operators do.
    pub fn restore(&mut self, copy: (Option<Stored<StateRow>>, Option<Stored<StatusRow>>)) {
        (self.store.state, self.store.status) = copy;
        if let Some(order) = &mut self.store.order {
            self.store.revision -= 1;
            order.revision = self.store.revision;
        }
        for n in 0..self.nodes.len() {
            if self.nodes[n].decider.is_some() {
                self.event(n, Event::Restored);
            }
        }
    }

    pub fn copy(&self) -> (Option<Stored<StateRow>>, Option<Stored<StatusRow>>) {
        (self.store.state.clone(), self.store.status.clone())
    }

    pub fn leader(&self) -> Option<usize> {
        let leads =
            |n: &Node| n.alive && !n.paused && n.decider.as_ref().is_some_and(Decider::leads);
        self.nodes.iter().position(leads)
    }

    pub fn phase(&self) -> Option<Phase> {
        self.store.state.as_ref().map(|state| state.row.phase)
    }

    pub fn status(&self) -> Option<Status> {
        self.store.status.as_ref().map(|status| status.row.state)
    }

    pub fn elapsed(&self) -> Duration {
        self.now.since(self.ordered_at)
    }

    /// Runs until `condition` holds; panics after `seconds`.
    pub fn run_until(&mut self, seconds: u64, what: &str, condition: impl Fn(&Self) -> bool) {
        let end = self.now + Duration::from_secs(seconds);
        while !condition(self) {
            assert!(
                self.now < end,
                "not reached within {seconds} s: {what}; {:#?}",
                self.decisions
            );
            self.step();
        }
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.now < end {
            self.step();
        }
    }

    pub fn run_until_phase(&mut self, phase: Phase) {
        self.run_until(60, "phase", |world| world.phase() == Some(phase));
    }

    pub fn run_until_ended(&mut self) -> Status {
        self.run_until(90, "end", |world| world.status().is_some_and(|s| s != Status::Running));
        self.run(3000);
        self.status().unwrap()
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(STEP_MS);
        self.deliver();
        for n in 0..self.nodes.len() {
            if self.is_up(n) {
                self.tick(n);
            }
        }
        self.generate_calls();
    }

    fn is_up(&self, n: usize) -> bool {
        self.nodes[n].alive && !self.nodes[n].paused
    }

    fn deliver(&mut self) {
        let now = self.now;
        let is_due = |nodes: &[Node], at: MonoTime, message: &Message| {
            let to = match message {
                Message::Read { to, .. }
                | Message::Written { to, .. }
                | Message::Stage { to, .. }
                | Message::Report { to, .. } => *to,
                Message::Apply { .. } | Message::CallEnd { .. } => return at <= now,
            };
            at <= now && !nodes[to].paused
        };
        let nodes = &self.nodes;
        let (mut due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.queue).into_iter().partition(|(at, m)| is_due(nodes, *at, m));
        self.queue = later;
        due.sort_by_key(|(at, _)| *at);
        for (_, message) in due {
            self.handle(message);
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Read { to, result } => self.event(to, Event::Read(result)),
            Message::Written { to, result } => self.event(to, Event::Written(result)),
            Message::Apply { to, write, lost } => {
                let result = self.apply(&write);
                let result = if lost { Err(StoreError::Unknown) } else { result };
                let delay = if lost { 1500 } else { 5 };
                self.send_after(delay, Message::Written { to, result });
            }
            Message::Stage { from, to, stage } => {
                if !self.nodes[to].alive || self.nodes[to].mute || !self.reaches(from, to) {
                    return;
                }
                let now = self.now;
                let target = &mut self.nodes[to];
                let is_new_order = target.door.held().is_none_or(|held| held.order != stage.order);
                if is_new_order {
                    target.counts = ClassCounts::default();
                    target.received = 0;
                }
                target.door.on_stage(now, stage);
                let report = Report {
                    release: target.door.release().cloned(),
                    epoch: target.door.epoch(),
                    received: target.received,
                    in_flight: target.in_flight as u32,
                    classes: target.counts.to_list(),
                    held: target.door.held().cloned(),
                    is_informed: target.door.is_informed(),
                };
                self.send_after(5, Message::Report { from: to, to: from, report });
            }
            Message::Report { from, to, report } => {
                if self.reaches(from, to) {
                    self.event(to, Event::Report { from: node(from), report });
                }
            }
            Message::CallEnd { at, class, failed, ms } => {
                let new = self.nodes[at].release == release("v2");
                if new && (failed || self.bad.slowdown > 1.5 && ms > 60) {
                    self.bad_answers += 1;
                    if self.bad_answers == 50 {
                        self.fiftieth_bad = Some(self.now);
                    }
                }
                let target = &mut self.nodes[at];
                target.in_flight -= 1;
                let count = match failed {
                    true => ClassCount { answered: 0, failed: 1, total_ms: 0 },
                    false => ClassCount { answered: 1, failed: 0, total_ms: ms },
                };
                target.counts.add(&[(class, count)]);
            }
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        from == to || self.nodes[from].alive && !self.nodes[from].cut_off && !self.nodes[to].cut_off
    }

    fn send_after(&mut self, ms: u64, message: Message) {
        self.queue.push((self.now + Duration::from_millis(ms), message));
    }

    fn apply(&mut self, write: &Write) -> Result<u64, StoreError> {
        let state = self.store.state.as_ref().map_or(0, |stored| stored.revision);
        let status = self.store.status.as_ref().map_or(0, |stored| stored.revision);
        let (expected_state, expected_status) = match write {
            Write::State(write) => (write.expected_state, write.expected_status),
            Write::Status(write) => (write.expected_state, write.expected_status),
        };
        if (expected_state, expected_status) != (state, status) {
            return Err(StoreError::Conflict);
        }
        self.store.revision += 1;
        let revision = self.store.revision;
        match write {
            Write::State(write) => {
                self.store.state = Some(Stored { row: write.row.clone(), revision });
            }
            Write::Status(write) => {
                self.store.statuses.push((self.now, write.row.state));
                self.store.status = Some(Stored { row: write.row.clone(), revision });
                if write.row.state == Status::Completed && self.in_flight_at_completion.is_none() {
                    let old = self.nodes.iter().filter(|n| n.alive && n.release == release("v1"));
                    self.in_flight_at_completion = Some(old.map(|n| n.in_flight).sum());
                }
            }
        }
        Ok(revision)
    }

    fn tick(&mut self, n: usize) {
        if self.nodes[n].decider.is_some() {
            if (self.now.0 / 50_000).is_multiple_of(10) {
                let candidates = self.candidates(n);
                self.event(n, Event::Members(candidates));
            }
            self.event(n, Event::Tick);
        }
        self.resolve(n);
        let now = self.now;
        let is_foreign = self.is_foreign(n);
        let target = &mut self.nodes[n];
        target.door.set_foreign(is_foreign);
        let open = target.door.gate(now).admits(now);
        if open != target.published.0 {
            target.published = (open, now + Duration::from_millis(GOSSIP_MS));
        }
        if let Gate::Paced(Rate(rate), _) = target.door.gate(now) {
            let added = rate * STEP_MS as f64 / 1000.0;
            target.tokens = (target.tokens + added).min((rate / 4.0).max(1.0));
        }
    }

    /// Reads the rows for a door that has not heard of a decider.
    fn resolve(&mut self, n: usize) {
        let now = self.now;
        let is_due = self.nodes[n].door.needs_resolution(now) && now >= self.nodes[n].next_resolve;
        if !is_due || self.store.down || self.nodes[n].without_store {
            return;
        }
        self.nodes[n].next_resolve = now + Duration::from_secs(2);
        self.store.reads += 2;
        let Some(order) = self.store.order.clone() else {
            return self.nodes[n].door.on_resolved(now, Resolved::NoOrder);
        };
        let status = self.store.status.as_ref().filter(|stored| stored.row.to == order.release);
        match status.map(|stored| stored.row.state) {
            Some(status) if status != Status::Running => {
                self.nodes[n].door.on_resolved(now, Resolved::Ended(order, status));
            }
            _ => {
                self.nodes[n].door.on_resolved(now, Resolved::Running(order.clone()));
                if self.nodes[n].decider.is_none() && self.nodes[n].door.is_abandoned(now) {
                    self.see_order(n, order);
                }
            }
        }
    }

    fn is_foreign(&self, n: usize) -> bool {
        let own = &self.nodes[n].release;
        let mut others = self.nodes.iter().enumerate().filter(|(i, o)| *i != n && o.published.0);
        let same = others.clone().any(|(_, o)| o.release == *own);
        !same && others.any(|(_, o)| o.release != *own)
    }

    fn is_member(&self, seen_by: usize, n: usize) -> bool {
        let gone = |n: usize| {
            let detection = Duration::from_millis(DETECTION_MS);
            self.nodes[n].gone_since.is_some_and(|at| self.now.since(at) > detection)
        };
        // A node that is cut off sees the others go.
        n == seen_by || !(gone(n) || self.nodes[seen_by].cut_off && gone(seen_by))
    }

    fn candidates(&self, n: usize) -> Candidates {
        let members: Vec<_> = (0..self.nodes.len()).filter(|i| self.is_member(n, *i)).collect();
        let member =
            |i: &usize| Member { id: node(*i), release: Some(self.nodes[*i].release.clone()) };
        Candidates {
            ranking: members.iter().map(|i| node(*i)).collect(),
            doors: members.iter().map(member).collect(),
            present: members.iter().map(|i| node(*i)).collect::<BTreeSet<_>>(),
            isolated: members.len() * 2 < self.nodes.len(),
        }
    }

    pub fn event(&mut self, n: usize, event: Event) {
        if !self.nodes[n].alive {
            return;
        }
        let mut actions = Vec::new();
        if let Some(decider) = &mut self.nodes[n].decider {
            decider.on_event(self.now, event, &mut actions);
        }
        for action in actions {
            self.perform(n, action);
        }
    }

    fn perform(&mut self, n: usize, action: Action) {
        let unreachable = self.store.down || self.nodes[n].without_store;
        let delay = 5 + self.store.slow_ms;
        match action {
            Action::Read if unreachable => {
                let result = Err(StoreError::Unavailable);
                self.send_after(delay, Message::Read { to: n, result });
            }
            Action::Read => {
                self.store.reads += 2;
                let (state, status) = self.copy();
                let result = Ok(StoredRows { state, status });
                self.send_after(delay, Message::Read { to: n, result });
            }
            Action::Write(_) if unreachable => {
                let result = Err(StoreError::Unavailable);
                self.send_after(delay, Message::Written { to: n, result });
            }
            Action::Write(write) => {
                self.store.writes += 1;
                let lost = self.rng.f64() < self.store.lose_answers;
                self.send_after(delay, Message::Apply { to: n, write, lost });
            }
            Action::Send { to, stage } => {
                let to = (0..self.nodes.len()).find(|i| node(*i) == to).unwrap();
                self.send_after(5, Message::Stage { from: n, to, stage });
            }
            Action::Log(decision) => self.decisions.push((n, self.now, decision)),
        }
    }

    fn generate_calls(&mut self) {
        self.backlog += self.rate * STEP_MS as f64 / 1000.0;
        while self.backlog >= 1.0 {
            self.backlog -= 1.0;
            self.calls += 1;
            let mut tried = Vec::new();
            if !(0..4).any(|_| self.try_call(&mut tried)) {
                self.refused += 1;
            }
        }
    }

    /// Sends a call to an upstream that the entries take for open; returns whether it took it.
    fn try_call(&mut self, tried: &mut Vec<usize>) -> bool {
        let now = self.now;
        let looks_open = |node: &Node| {
            let (open, since) = node.published;
            node.alive && (if now >= since { open } else { !open })
        };
        let open: Vec<_> = (0..self.nodes.len())
            .filter(|n| looks_open(&self.nodes[*n]) && !tried.contains(n))
            .collect();
        // Entries send a share of the calls to a release under test, and all of the others to the
        // other release, which is cheaper for them.
        let share = |n: &usize| self.nodes[*n].door.trial_milli(now);
        let trial = open.iter().map(share).max().unwrap_or(0);
        let drawn = self.rng.u16(0..1000) < trial;
        let group: Vec<_> = open.iter().copied().filter(|n| (share(n) > 0) == drawn).collect();
        let open = if group.is_empty() { open } else { group };
        if open.is_empty() {
            return false;
        }
        let n = open[self.rng.usize(..open.len())];
        tried.push(n);
        let gate = self.nodes[n].door.gate(now);
        if self.nodes[n].paused || !gate.admits(now) {
            return false;
        }
        if let Gate::Paced(..) = gate {
            if self.nodes[n].tokens < 1.0 {
                return false;
            }
            self.nodes[n].tokens -= 1.0;
        }
        self.run_call(n);
        true
    }

    fn run_call(&mut self, n: usize) {
        let is_new = self.nodes[n].release == release("v2");
        if is_new {
            self.new_calls += 1;
            self.last_new_call = Some(self.now);
        } else if self.in_flight_at_completion.is_some() {
            self.old_calls_after_completion += 1;
        }
        let after = self.elapsed() >= Duration::from_millis(self.bad.after_ms);
        let loaded = self.nodes[n].in_flight >= self.bad.from_load;
        let behaviour = if is_new && after && loaded { self.bad } else { GOOD };
        let class = self.rng.u32(0..2);
        let failed = self.rng.f64() < behaviour.failures[class as usize];
        // Exponential, with speeds of upstreams that differ by a factor of 0.7 to 1.4.
        let speed = 0.7 + 0.7 * (n * 7 % 11) as f64 / 10.0;
        let ms = 30.0 * speed * -self.rng.f64().max(1e-9).ln() * behaviour.slowdown;
        let ms = (ms as u64).clamp(1, 1000);
        self.nodes[n].in_flight += 1;
        self.nodes[n].received += 1;
        self.send_after(ms, Message::CallEnd { at: n, class, failed, ms });
    }

    /// Checks the rules for a release that was completed.
    pub fn check_completed(&self) {
        assert_eq!(self.in_flight_at_completion, Some(0), "calls in flight at the old release");
        assert_eq!(self.old_calls_after_completion, 0, "calls to the old release after completion");
    }

    /// Checks the rules for a bad release.
    pub fn check_bad(&self) {
        let allowed = 0.1 * self.rate * self.duration.as_secs_f64() + 50.0;
        assert!(self.new_calls as f64 <= allowed, "{} calls of {allowed}", self.new_calls);
        if let (Some(bad), Some(last)) = (self.fiftieth_bad, self.last_new_call) {
            let late = last.since(bad);
            assert!(late <= Duration::from_secs(5), "a call {late:?} after the 50th bad answer");
        }
        assert_eq!(self.status(), Some(Status::RolledBack), "{:#?}", self.decisions);
    }

    /// Checks that each state was written once, and in order.
    pub fn check_statuses(&self) {
        let states: Vec<_> = self.store.statuses.iter().map(|(_, status)| *status).collect();
        assert_eq!(states.len(), 2, "{states:?}");
        assert_eq!(states[0], Status::Running);
    }
}
