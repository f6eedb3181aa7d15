//! Calls that wait, by rank; the most urgent go first, but each rank keeps its floor share.

use std::collections::VecDeque;
use std::time::Duration;

use goldcresttally_core::{Deadline, MonoTime};

use crate::event::CallId;

/// Time after a call of a more urgent rank for which a slot is kept free for the next one, in
/// milliseconds.
const HEADROOM_MEMORY_MS: u64 = 1000;

/// Most turns that a rank can save up while it waits.
const CREDIT_LIMIT: f64 = 2.0;

/// A call that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedCall {
    /// The call.
    pub call: CallId,
    /// When it must have been sent to the upstream, or is better refused.
    pub start_by: Deadline,
    /// Until when it can be sent and still be on time: within a rank, the earliest goes first.
    pub on_time_start: Deadline,
    /// When it came.
    pub arrived: MonoTime,
    /// How long it is expected to run.
    pub service_time: Duration,
}

/// The calls of one rank.
#[derive(Debug, Clone, Default)]
struct Lane {
    /// When a call of this rank last came.
    arrived: Option<MonoTime>,
    waiting: VecDeque<QueuedCall>,
    floor: f64,
    credit: f64,
}

/// Queues by rank with floor shares.
#[derive(Debug, Clone, Default)]
pub struct RankedQueue {
    lanes: Vec<Lane>,
    len: usize,
}

impl RankedQueue {
    /// Sets the floor share of each rank, the most urgent first.
    pub fn set_floors(&mut self, floors: &[f64]) {
        let count = floors.len().max(self.lanes.len()).max(1);
        // The first call of a rank has its turn at once.
        self.lanes.resize_with(count, || Lane { credit: 1.0, ..Lane::default() });
        for (i, lane) in self.lanes.iter_mut().enumerate() {
            lane.floor = floors.get(i).copied().unwrap_or(0.0);
        }
    }

    /// Returns the number of calls that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the work of the calls that would be served before one of `rank` that is on time if
    /// it starts by `on_time_start`.
    pub fn work_ahead(&self, rank: usize, on_time_start: Deadline) -> Duration {
        let more_urgent = self.lanes.iter().take(rank).flat_map(|l| &l.waiting);
        let own = self.lanes.get(rank).into_iter().flat_map(|l| &l.waiting);
        let earlier = own.take_while(|w| w.on_time_start <= on_time_start);
        more_urgent.chain(earlier).map(|w| w.service_time).sum()
    }

    /// Returns how many calls of `rank` and more urgent ones wait.
    pub fn waiting_up_to(&self, rank: usize) -> usize {
        self.lanes.iter().take(rank + 1).map(|l| l.waiting.len()).sum()
    }

    /// Adds a call to its rank, behind those that must start no later to be on time.
    pub fn push(&mut self, rank: usize, waiting: QueuedCall) {
        if self.lanes.len() <= rank {
            self.lanes.resize_with(rank + 1, Lane::default);
        }
        let lane = &mut self.lanes[rank];
        lane.arrived = Some(waiting.arrived);
        let at = lane.waiting.partition_point(|w| w.on_time_start <= waiting.on_time_start);
        lane.waiting.insert(at, waiting);
        self.len += 1;
    }

    /// Takes the call to serve next, `free` slots being free.
    ///
    /// While more urgent calls come, `headroom` slots are kept free for the next of them; a rank
    /// that is owed its floor share may use them all the same.
    pub fn pop(&mut self, now: MonoTime, free: usize, headroom: usize) -> Option<QueuedCall> {
        let (at, owed) = self.lane_to_serve()?;
        if free <= headroom && !owed && self.expects_above(now, at) {
            return None;
        }
        for lane in &mut self.lanes {
            lane.credit = match lane.waiting.is_empty() {
                // What a rank has saved up so far is not lost to a moment without calls.
                true => lane.credit.min(1.0),
                false => (lane.credit + lane.floor).min(CREDIT_LIMIT),
            };
        }
        let lane = &mut self.lanes[at];
        lane.credit = (lane.credit - 1.0).max(0.0);
        self.len -= 1;
        lane.waiting.pop_front()
    }

    /// A rank that has saved up a turn goes first; otherwise the most urgent does.
    fn lane_to_serve(&self) -> Option<(usize, bool)> {
        let busy = |i: &usize| !self.lanes[*i].waiting.is_empty();
        let most_urgent = (0..self.lanes.len()).find(busy)?;
        let owed = |i: &usize| busy(i) && self.lanes[*i].credit + self.lanes[*i].floor >= 1.0;
        let by_credit =
            |a: &usize, b: &usize| self.lanes[*a].credit.total_cmp(&self.lanes[*b].credit);
        let owed = (most_urgent + 1..self.lanes.len()).filter(owed).max_by(by_credit);
        Some(owed.map_or((most_urgent, false), |lane| (lane, true)))
    }

    /// Tells whether calls more urgent than those of `rank` came of late.
    fn expects_above(&self, now: MonoTime, rank: usize) -> bool {
        let memory = Duration::from_millis(HEADROOM_MEMORY_MS);
        let recent = |lane: &Lane| lane.arrived.is_some_and(|at| now.since(at) < memory);
        self.lanes[..rank].iter().any(recent)
    }

    /// Makes room for a call of `rank`: takes the newest call of the least urgent rank that
    /// holds more than its reserved share of `capacity`.
    pub fn evict_below(&mut self, rank: usize, capacity: usize) -> Option<QueuedCall> {
        let over = |lane: &Lane| {
            let reserved = (lane.floor * capacity as f64).ceil() as usize;
            lane.waiting.len() > reserved
        };
        let at = (rank + 1..self.lanes.len()).rev().find(|i| over(&self.lanes[*i]))?;
        self.len -= 1;
        self.lanes[at].waiting.pop_back()
    }

    /// Tells whether `rank` holds less than its reserved share of `capacity`.
    pub fn is_under_floor(&self, rank: usize, capacity: usize) -> bool {
        self.lanes
            .get(rank)
            .is_some_and(|lane| (lane.waiting.len() as f64) < (lane.floor * capacity as f64).ceil())
    }

    /// Removes a call; returns whether it waited.
    pub fn remove(&mut self, call: CallId) -> bool {
        let before = self.len;
        for lane in &mut self.lanes {
            lane.waiting.retain(|w| w.call != call);
        }
        self.len = self.lanes.iter().map(|l| l.waiting.len()).sum();
        self.len < before
    }

    /// Takes all calls for which `gone` holds.
    pub fn drain_where(&mut self, gone: impl Fn(&QueuedCall) -> bool) -> Vec<QueuedCall> {
        let mut taken = Vec::new();
        for lane in &mut self.lanes {
            lane.waiting.retain(|w| {
                let leaves = gone(w);
                if leaves {
                    taken.push(*w);
                }
                !leaves
            });
        }
        self.len -= taken.len();
        taken
    }
}
