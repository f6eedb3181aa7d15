//! What a rollout lets through to the local upstreams of a service, and counts of their answers.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use goldcresttally_core::{Deadline, Map, MonoTime, Rate, ServiceName, rendezvous};

use super::{AttemptInfo, Peer};

/// Maximum number of classes of calls that are counted separately; further ones share one.
const MAX_CLASSES: usize = 24;

/// Class of the calls whose times are not compared.
const UNTIMED_CLASS: u32 = u32::MAX;

/// Class of the calls beyond the maximum number of classes.
const OTHER_CLASS: u32 = 0;

/// Counts of one class of calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerCount {
    /// Calls that were answered well.
    pub answered: u64,
    /// Calls that failed at the upstream.
    pub failed: u64,
    /// Sum of the times from sending a call to its answer, for answered calls.
    pub total: Duration,
}

#[derive(Debug, Default)]
struct Counts {
    sent: u64,
    classes: Map<u32, AnswerCount>,
}

/// The gate before the local upstreams of one service.
#[derive(Debug)]
pub struct RolloutGate {
    service: ServiceName,
    /// Time until which calls are let through, in microseconds; the maximum for no end.
    open_until_us: AtomicU64,
    rate: Mutex<Option<Rate>>,
    /// Whether answers are counted.
    counts_answers: AtomicBool,
    /// Whether the upstream is at its full speed, so that its times are compared.
    is_warm: AtomicBool,
    counts: Mutex<Counts>,
}

impl RolloutGate {
    /// Returns a closed gate for the upstreams of `service`.
    pub fn new(service: ServiceName) -> Self {
        Self {
            service,
            open_until_us: AtomicU64::new(0),
            rate: Mutex::new(None),
            counts_answers: AtomicBool::new(false),
            is_warm: AtomicBool::new(true),
            counts: Mutex::default(),
        }
    }

    /// Lets calls through until `until`; `None` for no end.
    pub fn open_until(&self, until: Option<Deadline>) {
        let until_us = until.map_or(u64::MAX, |until| until.0.0);
        self.open_until_us.store(until_us, Ordering::Release);
    }

    /// Lets no calls through.
    pub fn close(&self) {
        self.open_until_us.store(0, Ordering::Release);
    }

    /// Returns whether calls are let through at `now`.
    pub fn admits(&self, now: MonoTime) -> bool {
        let until_us = self.open_until_us.load(Ordering::Acquire);
        until_us == u64::MAX || now.0 < until_us
    }

    /// Starts or ends counting; `is_warm` tells whether times are compared.
    pub fn set_counting(&self, counts_answers: bool, is_warm: bool) {
        self.is_warm.store(is_warm, Ordering::Relaxed);
        self.counts_answers.store(counts_answers, Ordering::Relaxed);
    }

    /// Sets all counts to zero.
    pub fn reset_counts(&self) {
        *self.lock() = Counts::default();
    }

    /// Returns the number of calls sent and the counts of their answers by class.
    pub fn read_counts(&self) -> (u64, Vec<(u32, AnswerCount)>) {
        let counts = self.lock();
        let mut classes: Vec<_> = counts.classes.iter().map(|(c, count)| (*c, *count)).collect();
        classes.sort_unstable_by_key(|(class, _)| *class);
        (counts.sent, classes)
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record(&self, class: u32, record: impl Fn(&mut AnswerCount)) {
        let class = if self.is_warm.load(Ordering::Relaxed) { class } else { UNTIMED_CLASS };
        let mut counts = self.lock();
        let is_known = counts.classes.contains_key(&class);
        let class = match is_known || counts.classes.len() < MAX_CLASSES {
            true => class,
            false => OTHER_CLASS,
        };
        record(counts.classes.entry(class).or_default());
    }
}

/// Counts one call that was sent to an upstream.
#[derive(Debug)]
pub(super) struct SentCall {
    gate: Arc<RolloutGate>,
    class: u32,
    sent_at: MonoTime,
    target: Duration,
    /// Time until the head of the answer had arrived.
    answered_after: Option<Duration>,
}

impl SentCall {
    /// Records that the head of a good answer has arrived.
    pub fn on_answer(&mut self, now: MonoTime) {
        self.answered_after = Some(now.since(self.sent_at));
    }

    /// Counts the call as answered well, if its answer has begun.
    pub fn answered(self) {
        if let Some(time) = self.answered_after {
            self.gate.record(self.class, |count| {
                count.answered += 1;
                count.total += time;
            });
        }
    }

    /// Counts the call as failed by the upstream.
    pub fn failed(self) {
        self.gate.record(self.class, |count| count.failed += 1);
    }

    /// Counts the call as failed if it was given up only after its target.
    pub fn given_up(self, now: MonoTime) {
        if now.since(self.sent_at) > self.target {
            self.failed();
        }
    }
}

impl Peer {
    /// Sets the gate of a rollout; without one, all calls are let through.
    pub fn set_rollout_gate(&self, gate: Arc<RolloutGate>) {
        self.rollout_gate.store(Some(gate));
    }

    /// Returns whether the gate lets calls through now; `None` without a gate.
    pub fn is_rollout_gate_open(&self) -> Option<bool> {
        let gate = self.rollout_gate.load();
        gate.as_ref().map(|gate| gate.admits(self.state.clock.now()))
    }

    /// Sets the rate at which the gate lets calls through; `None` for no limit.
    pub fn set_rollout_rate(&self, rate: Option<Rate>) {
        let gate = self.rollout_gate.load();
        let Some(gate) = &*gate else { return };
        let previous =
            std::mem::replace(&mut *gate.rate.lock().unwrap_or_else(PoisonError::into_inner), rate);
        if previous == rate {
            return;
        }
        for limiter in self.limiters.load().get(&gate.service).into_iter().flatten() {
            limiter.set_gate_rate(&self.state, rate);
        }
    }

    /// Returns the rate at which the gate lets calls of the service through.
    pub(super) fn rollout_rate(&self, service: &ServiceName) -> Option<Rate> {
        let gate = self.rollout_gate.load();
        let gate = gate.as_ref().filter(|gate| gate.service == *service)?;
        *gate.rate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of calls that run at the local upstreams of the service.
    pub fn running_calls(&self, service: &ServiceName) -> usize {
        let limiters = self.limiters.load();
        let list = limiters.get(service).into_iter().flatten();
        list.map(|limiter| limiter.load().running).sum()
    }

    /// Returns whether a rollout lets calls of the service through now.
    pub(super) fn admits(&self, service: &ServiceName) -> bool {
        let gate = self.rollout_gate.load();
        let is_closed = gate
            .as_ref()
            .is_some_and(|gate| gate.service == *service && !gate.admits(self.state.clock.now()));
        !is_closed
    }

    /// Counts a call that is sent to an upstream, while answers are counted.
    pub(super) fn count_sent(&self, info: &AttemptInfo, path: &str) -> Option<SentCall> {
        let gate = self.rollout_gate.load();
        let gate = gate.as_ref().filter(|gate| gate.service == info.service)?;
        if !gate.counts_answers.load(Ordering::Relaxed) {
            return None;
        }
        gate.lock().sent += 1;
        Some(SentCall {
            gate: Arc::clone(gate),
            class: class_of(info, path),
            sent_at: self.state.clock.now(),
            target: info.target,
            answered_after: None,
        })
    }
}

/// Returns the class of a call: its rank, target and the first segment of its path, which tells the
/// routes of a service apart. All nodes compute the same one.
fn class_of(info: &AttemptInfo, path: &str) -> u32 {
    let segment = path.trim_start_matches('/').split(['/', '?']).next().unwrap_or_default();
    let key = rendezvous::weight(segment, (info.rank as u64, info.target.as_millis() as u64));
    // The values at both ends are classes of their own.
    (key as u32).clamp(OTHER_CLASS + 1, UNTIMED_CLASS - 1)
}
