//! The decisions of admission, as a deterministic state machine.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use goldcresttally_core::errors::invalid;
use goldcresttally_core::{Deadline, Map, MonoTime};

use crate::limit::{AdaptiveLimit, Outcome};
use crate::queue::{RankedQueue, Waiting};

/// Identifies a call within one admission machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// How calls are ordered and limited.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// First come, first served, without limit or refusal; a baseline.
    Fifo,
    /// The most urgent first, without floors; a baseline.
    Strict,
    /// The most urgent first, each rank keeping its floor share.
    #[default]
    Ranked,
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Fifo => "fifo",
            Self::Strict => "strict",
            Self::Ranked => "ranked",
        })
    }
}

impl FromStr for Policy {
    type Err = goldcresttally_core::Error;

    fn from_str(text: &str) -> goldcresttally_core::Result<Self> {
        match text {
            "fifo" => Ok(Self::Fifo),
            "strict" => Ok(Self::Strict),
            "ranked" => Ok(Self::Ranked),
            _ => invalid("admission policy", text, "fifo, strict or ranked"),
        }
    }
}

/// Limits of one upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// How calls are ordered and limited.
    pub policy: Policy,
    /// Most calls that run at once.
    pub concurrency: u32,
    /// Most calls that wait.
    pub queue: usize,
    /// The floor share of each rank, the most urgent first.
    pub floors: Vec<f64>,
}

impl Default for Options {
    fn default() -> Self {
        Self { policy: Policy::default(), concurrency: 1, queue: 64, floors: Vec::new() }
    }
}

/// Why a call was refused unrun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// More urgent calls take all there is.
    Overloaded,
    /// Its deadline cannot be met.
    Deadline,
    /// The upstream is draining or gone.
    Draining,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Overloaded => "overloaded",
            Self::Deadline => "deadline",
            Self::Draining => "draining",
        })
    }
}

/// What happens to the machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// A call came.
    Offer {
        /// The call.
        call: CallId,
        /// Its rank; 0 is the most urgent.
        rank: usize,
        /// When its answer is of no use any more.
        deadline: Deadline,
    },
    /// A call that was dispatched ended.
    Finish {
        /// The call.
        call: CallId,
        /// How it ended.
        outcome: Outcome,
    },
    /// A call that may still wait is given up; it gets no further action.
    Withdraw {
        /// The call.
        call: CallId,
    },
    /// The limits changed.
    Configure(Options),
    /// The upstream takes nothing new from now on.
    Drain,
    /// The upstream takes calls.
    Open,
    /// Time has passed.
    Tick,
}

/// What the driver is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send the call to the upstream.
    Dispatch(CallId),
    /// Answer that the call did not run.
    Refuse(CallId, Refusal),
}

/// How loaded an upstream is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Calls that run.
    pub running: usize,
    /// Calls that wait.
    pub waiting: usize,
    /// Calls that may run at once.
    pub limit: usize,
}

/// Admission to one upstream.
#[derive(Debug)]
pub struct Admission {
    options: Options,
    limit: AdaptiveLimit,
    queue: RankedQueue,
    running: Map<CallId, MonoTime>,
    draining: bool,
}

impl Admission {
    /// Returns the machine of an upstream that takes calls.
    pub fn new(options: Options) -> Self {
        let mut queue = RankedQueue::default();
        queue.set_floors(floors_of(&options));
        let limit = AdaptiveLimit::new(options.concurrency);
        Self { limit, queue, running: Map::default(), draining: false, options }
    }

    /// Takes one event and appends what is to be done to `actions`.
    pub fn on_event(&mut self, now: MonoTime, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Offer { call, rank, deadline } => {
                self.on_offer(now, call, rank, deadline, actions);
            }
            Event::Finish { call, outcome } => self.on_finish(now, call, outcome),
            Event::Withdraw { call } => {
                self.queue.remove(call);
            }
            Event::Configure(options) => self.configure(options),
            Event::Drain => self.on_drain(actions),
            Event::Open => self.draining = false,
            Event::Tick => {}
        }
        self.refuse_expired(now, actions);
        self.dispatch(now, actions);
    }

    /// Returns how loaded the upstream is.
    pub fn load(&self) -> Load {
        let limit = self.limit.get();
        Load { running: self.running.len(), waiting: self.queue.len(), limit }
    }

    /// Tells whether the upstream takes nothing new.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    fn configure(&mut self, options: Options) {
        self.limit.set_ceiling(options.concurrency);
        self.queue.set_floors(floors_of(&options));
        self.options = options;
    }

    fn on_offer(
        &mut self,
        now: MonoTime,
        call: CallId,
        rank: usize,
        deadline: Deadline,
        actions: &mut Vec<Action>,
    ) {
        if self.draining {
            actions.push(Action::Refuse(call, Refusal::Draining));
            return;
        }
        let fifo = self.options.policy == Policy::Fifo;
        let lane = if fifo { 0 } else { rank };
        if !fifo && !self.can_meet(now, lane, deadline) {
            actions.push(Action::Refuse(call, Refusal::Deadline));
            return;
        }
        let idle = self.running.len() < self.limit.get() && self.queue.is_empty();
        if !fifo && !idle && !self.make_room(lane, actions) {
            actions.push(Action::Refuse(call, Refusal::Overloaded));
            return;
        }
        self.queue.push(lane, Waiting { call, deadline, arrived: now });
    }

    /// Tells whether a call of `rank` can be answered in time, by the work that goes before it.
    fn can_meet(&self, now: MonoTime, rank: usize, deadline: Deadline) -> bool {
        let Some(service_time) = self.limit.service_time() else {
            return !deadline.is_past(now);
        };
        let limit = self.limit.get();
        let busy = self.running.len() >= limit;
        let turns = if busy { self.queue.ahead_of(rank) + 1 } else { 0 };
        let wait = service_time.mul_f64(turns as f64 / limit as f64);
        !deadline.is_past(now + wait + service_time)
    }

    /// Finds a place in the queue, at the cost of less urgent calls if need be.
    fn make_room(&mut self, rank: usize, actions: &mut Vec<Action>) -> bool {
        let capacity = self.options.queue;
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
        if let Some(started) = self.running.remove(&call) {
            self.limit.observe(now, outcome, now.since(started), running);
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
        // What cannot be answered in time any more only takes the place of what can.
        let reserve = self.limit.service_time().unwrap_or(Duration::ZERO).div_f64(2.0);
        let expired = self.queue.drain_where(|w| w.deadline.is_past(now + reserve));
        actions.extend(expired.iter().map(|w| Action::Refuse(w.call, Refusal::Deadline)));
    }

    fn dispatch(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        while self.has_slot() {
            let Some(next) = self.queue.pop() else { return };
            self.running.insert(next.call, now);
            actions.push(Action::Dispatch(next.call));
        }
    }

    fn has_slot(&self) -> bool {
        self.options.policy == Policy::Fifo || self.running.len() < self.limit.get()
    }
}

fn floors_of(options: &Options) -> &[f64] {
    match options.policy {
        Policy::Ranked => &options.floors,
        Policy::Fifo | Policy::Strict => &[],
    }
}
