//! Waiting calls by rank. The most urgent go first, but each rank gets its floor share.

use std::collections::VecDeque;
use std::time::Duration;

use goldcresttally_core::{Deadline, MonoTime};

use crate::event::CallId;

/// Time after the arrival of a more urgent call for which headroom is kept for the next one, in
/// milliseconds.
const HEADROOM_MEMORY_MS: u64 = 1000;

/// Maximum credit that a rank can accumulate while it has waiting calls, in calls.
const MAX_CREDIT: f64 = 2.0;

/// A waiting call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedCall {
    /// The call.
    pub call: CallId,
    /// Latest time to dispatch it; after that it is refused.
    pub start_by: Deadline,
    /// Latest time to dispatch it and still be on time. Within a rank, nested calls go first and
    /// then the earliest.
    pub on_time_start: Deadline,
    /// Time of arrival.
    pub arrived: MonoTime,
    /// Expected service time.
    pub service_time: Duration,
    /// Whether it goes before the other calls of its rank, because a run waits for it.
    pub nested: bool,
}

impl QueuedCall {
    /// Returns the order within a rank.
    fn order(&self) -> (bool, Deadline) {
        (!self.nested, self.on_time_start)
    }
}

/// The waiting calls of one rank and its state.
#[derive(Debug, Clone, Default)]
struct Lane {
    /// When a call of this rank last arrived.
    last_arrival: Option<MonoTime>,
    waiting: VecDeque<QueuedCall>,
    floor_share: f64,
    /// Dispatches that the rank is owed because of its floor share.
    credit: f64,
}

/// A priority queue by rank in which each rank gets its floor share.
#[derive(Debug, Clone, Default)]
pub struct RankedQueue {
    lanes: Vec<Lane>,
    len: usize,
}

impl RankedQueue {
    /// Sets the floor share of each rank, the most urgent first. Missing ranks get none.
    pub fn set_floors(&mut self, floor_shares: &[f64]) {
        let count = floor_shares.len().max(self.lanes.len()).max(1);
        // The credit lets the first call of a new rank go at once.
        self.lanes.resize_with(count, || Lane { credit: 1.0, ..Lane::default() });
        for (i, lane) in self.lanes.iter_mut().enumerate() {
            lane.floor_share = floor_shares.get(i).copied().unwrap_or(0.0);
        }
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no call is waiting.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the total expected service time of the calls that would be dispatched before `call`
    /// of `rank`.
    pub fn work_ahead(&self, rank: usize, call: &QueuedCall) -> Duration {
        self.ahead(rank, call).map(|w| w.service_time).sum()
    }

    /// Returns the number of calls that would be dispatched before `call` of `rank`.
    pub fn calls_ahead(&self, rank: usize, call: &QueuedCall) -> usize {
        self.ahead(rank, call).count()
    }

    fn ahead(&self, rank: usize, call: &QueuedCall) -> impl Iterator<Item = &QueuedCall> {
        let order = call.order();
        let more_urgent = self.lanes.iter().take(rank).flat_map(|l| &l.waiting);
        let own = self.lanes.get(rank).into_iter().flat_map(|l| &l.waiting);
        let earlier = own.take_while(move |w| w.order() <= order);
        more_urgent.chain(earlier)
    }

    /// Returns the number of waiting nested calls of `rank` and of all calls of more urgent ranks.
    pub fn waiting_before_new(&self, rank: usize) -> usize {
        let own = self.lanes.get(rank).into_iter().flat_map(|l| &l.waiting);
        let more_urgent: usize = self.lanes.iter().take(rank).map(|l| l.waiting.len()).sum();
        more_urgent + own.take_while(|w| w.nested).count()
    }

    /// Returns the number of waiting calls of `rank` and of more urgent ranks.
    pub fn waiting_up_to(&self, rank: usize) -> usize {
        self.lanes.iter().take(rank + 1).map(|l| l.waiting.len()).sum()
    }

    /// Adds a call to its rank; behind calls with the same place in the order.
    pub fn push(&mut self, rank: usize, waiting: QueuedCall) {
        if self.lanes.len() <= rank {
            self.lanes.resize_with(rank + 1, Lane::default);
        }
        let lane = &mut self.lanes[rank];
        lane.last_arrival = Some(waiting.arrived);
        let position = lane.waiting.partition_point(|w| w.order() <= waiting.order());
        lane.waiting.insert(position, waiting);
        self.len += 1;
    }

    /// Removes and returns the next call to dispatch while `free` slots are free.
    ///
    /// While more urgent calls keep arriving, `headroom` slots are reserved for the next of them
    /// and this returns `None`, unless the rank is owed a dispatch by its floor share. The same
    /// holds for new calls of the ranks for which `takes_new` is false: their slots are kept for
    /// nested calls.
    pub fn pop(
        &mut self,
        now: MonoTime,
        free: usize,
        headroom: usize,
        takes_new: impl Fn(usize) -> bool,
    ) -> Option<QueuedCall> {
        let (at, owed) = self.next_lane(takes_new)?;
        if free <= headroom && !owed && self.expects_more_urgent(now, at) {
            return None;
        }
        for lane in &mut self.lanes {
            lane.credit = match lane.waiting.is_empty() {
                // A short time without waiting calls does not cost a rank its credit.
                true => lane.credit.min(1.0),
                false => (lane.credit + lane.floor_share).min(MAX_CREDIT),
            };
        }
        let lane = &mut self.lanes[at];
        lane.credit = (lane.credit - 1.0).max(0.0);
        self.len -= 1;
        lane.waiting.pop_front()
    }

    /// Returns the lane to dispatch from, and whether its floor share is the reason: the
    /// lane with the most credit, if one besides the most urgent that may go is owed a dispatch, or
    /// else the most urgent that may go.
    fn next_lane(&self, takes_new: impl Fn(usize) -> bool) -> Option<(usize, bool)> {
        let has_waiting = |i: &usize| !self.lanes[*i].waiting.is_empty();
        let may_go = |i: &usize| {
            let next = self.lanes[*i].waiting.front();
            next.is_some_and(|next| next.nested || takes_new(*i))
        };
        let most_urgent = (0..self.lanes.len()).find(may_go);
        let owed =
            |i: &usize| has_waiting(i) && self.lanes[*i].credit + self.lanes[*i].floor_share >= 1.0;
        let by_credit =
            |a: &usize, b: &usize| self.lanes[*a].credit.total_cmp(&self.lanes[*b].credit);
        // Calls that are held back for nested ones go too when their rank is owed a dispatch.
        let others = (0..self.lanes.len()).filter(|i| Some(*i) != most_urgent);
        let owed = others.filter(owed).max_by(by_credit);
        owed.map(|lane| (lane, true)).or(most_urgent.map(|lane| (lane, false)))
    }

    /// Returns whether calls that are more urgent than `rank` have arrived recently.
    fn expects_more_urgent(&self, now: MonoTime, rank: usize) -> bool {
        let memory = Duration::from_millis(HEADROOM_MEMORY_MS);
        let recent = |lane: &Lane| lane.last_arrival.is_some_and(|at| now.since(at) < memory);
        self.lanes[..rank].iter().any(recent)
    }

    /// Makes room for a call of `rank`: removes the last call of the least urgent rank below it
    /// that has more waiting calls than its floor share of `capacity`.
    pub fn evict_less_urgent(&mut self, rank: usize, capacity: usize) -> Option<QueuedCall> {
        let is_over = |lane: &Lane| {
            let reserved = (lane.floor_share * capacity as f64).ceil() as usize;
            lane.waiting.len() > reserved
        };
        let at = (rank + 1..self.lanes.len()).rev().find(|i| is_over(&self.lanes[*i]))?;
        self.len -= 1;
        self.lanes[at].waiting.pop_back()
    }

    /// Returns whether `rank` has fewer waiting calls than its floor share of `capacity`.
    pub fn is_under_floor(&self, rank: usize, capacity: usize) -> bool {
        self.lanes
            .get(rank)
            .is_some_and(|l| (l.waiting.len() as f64) < (l.floor_share * capacity as f64).ceil())
    }

    /// Removes a call; returns whether it was waiting.
    pub fn remove(&mut self, call: CallId) -> bool {
        let before = self.len;
        for lane in &mut self.lanes {
            lane.waiting.retain(|w| w.call != call);
        }
        self.len = self.lanes.iter().map(|l| l.waiting.len()).sum();
        self.len < before
    }

    /// Removes and returns all calls that match `predicate`.
    pub fn drain_where(&mut self, predicate: impl Fn(&QueuedCall) -> bool) -> Vec<QueuedCall> {
        let mut removed = Vec::new();
        for lane in &mut self.lanes {
            lane.waiting.retain(|w| {
                let matches = predicate(w);
                if matches {
                    removed.push(*w);
                }
                !matches
            });
        }
        self.len -= removed.len();
        removed
    }
}
