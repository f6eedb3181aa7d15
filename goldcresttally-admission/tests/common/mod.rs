//! A machine with a clock that tests advance, and a record of its actions.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::time::Duration;

use goldcresttally_admission::{
    Action, Admission, CallId, Event, Options, Outcome, Policy, Refusal,
};
use goldcresttally_core::{Deadline, MonoTime};

/// Deadline and target of calls that do not say otherwise, in milliseconds.
const LONG_MS: u64 = 60_000;

pub struct Bench {
    pub machine: Admission,
    pub now: MonoTime,
    next: u64,
    offered: BTreeMap<CallId, (usize, MonoTime)>,
    running: BTreeMap<CallId, MonoTime>,
    dispatched: Vec<CallId>,
    refused: Vec<(CallId, Refusal)>,
}

impl Bench {
    pub fn new(concurrency: u32, queue: usize, floors: &[f64]) -> Self {
        Self::with_policy(Policy::Ranked, concurrency, queue, floors)
    }

    pub fn with_policy(
        policy: Policy,
        max_concurrency: u32,
        queue_capacity: usize,
        floors: &[f64],
    ) -> Self {
        let floor_shares = floors.to_vec();
        let options =
            Options { policy, max_concurrency, queue_capacity, floor_shares, ..Options::default() };
        Self {
            machine: Admission::new(options),
            now: MonoTime(0),
            next: 0,
            offered: BTreeMap::new(),
            running: BTreeMap::new(),
            dispatched: Vec::new(),
            refused: Vec::new(),
        }
    }

    pub fn step(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.machine.on_event(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Dispatch(call) => {
                    assert!(self.running.insert(call, self.now).is_none(), "dispatched twice");
                    self.dispatched.push(call);
                }
                Action::Refuse(call, refusal) => {
                    assert!(!self.running.contains_key(&call), "refused while it runs");
                    self.refused.push((call, refusal));
                }
            }
            let (Action::Dispatch(call) | Action::Refuse(call, _)) = action;
            self.offered.remove(&call);
        }
    }

    /// Gives a call up, whether it waits or runs.
    pub fn withdraw(&mut self, call: CallId) {
        self.running.remove(&call);
        self.offered.remove(&call);
        self.step(Event::Withdraw { call });
    }

    pub fn offer(&mut self, rank: usize) -> CallId {
        self.offer_within(rank, LONG_MS, LONG_MS)
    }

    pub fn offer_within(&mut self, rank: usize, deadline_ms: u64, target_ms: u64) -> CallId {
        self.next += 1;
        let call = CallId(self.next);
        self.offered.insert(call, (rank, self.now));
        let after = |ms| Deadline::after(self.now, Duration::from_millis(ms));
        let (deadline, on_time_by) = (after(deadline_ms), after(target_ms));
        let target = Duration::from_millis(target_ms);
        self.step(Event::Offer { call, rank, deadline, on_time_by, target });
        call
    }

    pub fn finish(&mut self, call: CallId) {
        self.finish_with(call, Outcome::Answered);
    }

    pub fn finish_with(&mut self, call: CallId, outcome: Outcome) {
        self.running.remove(&call);
        self.step(Event::Finish { call, outcome });
    }

    pub fn advance_to(&mut self, ms: u64) {
        self.now = MonoTime::from_millis(ms);
        self.step(Event::Tick);
    }

    pub fn finish_older_than(&mut self, ms: u64) {
        let limit = Duration::from_millis(ms);
        let old: Vec<_> = self
            .running
            .iter()
            .filter(|(_, at)| self.now.since(**at) >= limit)
            .map(|(call, _)| *call)
            .collect();
        for call in old {
            self.finish(call);
        }
    }

    pub fn longest_wait_of(&self, rank: usize) -> u64 {
        let waits = self.offered.values().filter(|(r, _)| *r == rank);
        waits.map(|(_, at)| self.now.since(*at).as_millis() as u64).max().unwrap_or(0)
    }

    pub fn running(&self) -> usize {
        self.running.len()
    }

    pub fn waiting(&self) -> usize {
        self.offered.len()
    }

    pub fn dispatched(&mut self) -> Vec<CallId> {
        std::mem::take(&mut self.dispatched)
    }

    pub fn refused(&mut self) -> Vec<(CallId, Refusal)> {
        std::mem::take(&mut self.refused)
    }
}
