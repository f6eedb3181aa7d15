//! Nested calls at one upstream: which calls they are, and how many slots to keep free for them and
//! for urgent calls.
//!
//! A nested call is made by a run of another upstream, which holds its slot until the call is
//! answered. Nested calls carry no mark. They are told apart by class: their work is short compared
//! with that of the longest class that the upstream usually runs.

use std::time::Duration;

use goldcresttally_core::{Map, MonoTime};

use crate::service_times::CallClass;

/// A class is nested if its work is below this share of the longest usual work.
const NESTED_WORK_SHARE: f64 = 0.35;

/// The same for the targets, which are compared until the work of both classes is known.
const NESTED_TARGET_SHARE: f64 = 0.3;

/// A class is usual if it makes up at least this share of the recent calls.
const USUAL_SHARE: f64 = 0.05;

/// Time constant of the measured rates, in seconds.
const RATE_MEMORY_S: f64 = 1.0;

/// Weight of a sample in the average work of a class; a heavy tail needs a long memory.
const WORK_WEIGHT: f64 = 0.02;

/// Number of samples after which the work of a class counts as known.
const MIN_SAMPLES: u32 = 5;

/// Interval at which the classes are evaluated, in milliseconds.
const EVALUATION_INTERVAL_MS: u64 = 20;

/// Maximum number of classes that are tracked.
const MAX_CLASSES: usize = 64;

/// Added to the slots that nested calls occupy on average before these are rounded down: a slot that
/// is kept for few calls is idle for most of the time.
const RESERVE_ROUNDING: f64 = 0.2;

/// Maximum share of the slots that is kept for nested calls.
const MAX_RESERVE_SHARE: f64 = 0.5;

/// Recent calls of one class.
#[derive(Debug, Clone, Copy)]
struct ClassUse {
    since: MonoTime,
    updated_at: MonoTime,
    /// Number of calls, decayed with `RATE_MEMORY_S`.
    arrivals: f64,
    work_s: f64,
    samples: u32,
}

impl ClassUse {
    fn new(now: MonoTime) -> Self {
        Self { since: now, updated_at: now, arrivals: 0.0, work_s: 0.0, samples: 0 }
    }

    fn arrivals_at(&self, now: MonoTime) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.arrivals * (-elapsed / RATE_MEMORY_S).exp()
    }

    /// Returns the calls per second, corrected for a class that is seen only since recently.
    fn rate(&self, now: MonoTime) -> f64 {
        let age = now.since(self.since).as_secs_f64();
        let seen = 1.0 - (-age / RATE_MEMORY_S).exp();
        self.arrivals_at(now) / (RATE_MEMORY_S * seen.max(0.1))
    }

    fn is_known(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }
}

/// A class of calls as of the last evaluation.
#[derive(Debug, Clone, Copy)]
struct EvaluatedClass {
    class: CallClass,
    nested: bool,
    /// Whether the class is usual.
    usual: bool,
    /// Number of slots that its calls occupy on average; 0 while their work is unknown.
    slots: f64,
}

/// Recognizes nested calls, and measures the slots that each class of calls occupies.
#[derive(Debug, Clone, Default)]
pub struct NestedCalls {
    classes: Map<CallClass, ClassUse>,
    evaluated: Vec<EvaluatedClass>,
    evaluated_at: Option<MonoTime>,
}

impl NestedCalls {
    /// Records that a call of a class arrived.
    pub fn on_arrival(&mut self, now: MonoTime, class: CallClass) {
        if self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(&class) {
            return;
        }
        let class_use = self.classes.entry(class).or_insert_with(|| ClassUse::new(now));
        class_use.arrivals = class_use.arrivals_at(now) + 1.0;
        class_use.updated_at = now;
        let interval = Duration::from_millis(EVALUATION_INTERVAL_MS);
        if self.evaluated_at.is_none_or(|at| now.since(at) >= interval) {
            self.evaluate(now);
        }
    }

    /// Records the service time of an answered call.
    pub fn on_answer(&mut self, class: CallClass, service_time: Duration) {
        let Some(class_use) = self.classes.get_mut(&class) else { return };
        let sample_s = service_time.as_secs_f64();
        class_use.samples = class_use.samples.saturating_add(1);
        // The plain mean while there are few samples.
        let weight = (1.0 / f64::from(class_use.samples)).max(WORK_WEIGHT);
        class_use.work_s += weight * (sample_s - class_use.work_s);
    }

    /// Returns whether calls of a class are nested.
    pub fn is_nested(&self, class: CallClass) -> bool {
        self.evaluated.iter().any(|evaluated| evaluated.nested && evaluated.class == class)
    }

    /// Returns whether no usual class is less urgent than `rank`.
    pub fn is_least_urgent(&self, rank: usize) -> bool {
        self.evaluated.iter().all(|evaluated| !evaluated.usual || evaluated.class.rank <= rank)
    }

    /// Returns the number of slots, of `limit`, that new calls of `rank` have to leave to nested
    /// calls of their own rank and of more urgent ones.
    pub fn reserved_slots(&self, rank: usize, limit: usize) -> usize {
        let occupied = self.occupied(|evaluated| evaluated.nested && evaluated.class.rank <= rank);
        let reserved = (occupied + RESERVE_ROUNDING).floor();
        reserved.min((limit as f64 * MAX_RESERVE_SHARE).floor()) as usize
    }

    /// Returns the number of slots, rounded, that new calls more urgent than `rank` occupy on
    /// average.
    pub fn urgent_slots(&self, rank: usize) -> usize {
        self.occupied(|evaluated| !evaluated.nested && evaluated.class.rank < rank).round() as usize
    }

    fn occupied(&self, matches: impl Fn(&EvaluatedClass) -> bool) -> f64 {
        let matching = self.evaluated.iter().filter(|evaluated| matches(evaluated));
        matching.map(|evaluated| evaluated.slots).sum()
    }

    fn evaluate(&mut self, now: MonoTime) {
        let all: f64 = self.classes.values().map(|u| u.arrivals_at(now)).sum();
        let is_usual = |u: &ClassUse| u.arrivals_at(now) >= USUAL_SHARE * all;
        let is_nested = |class: &CallClass, own: &ClassUse| {
            let usual = self.classes.iter().filter(|(_, u)| is_usual(u));
            usual.into_iter().any(|(other, use_of_other)| {
                match own.is_known() && use_of_other.is_known() {
                    true => own.work_s < NESTED_WORK_SHARE * use_of_other.work_s,
                    false => class.target < other.target.mul_f64(NESTED_TARGET_SHARE),
                }
            })
        };
        let evaluate = |(class, own): (&CallClass, &ClassUse)| EvaluatedClass {
            class: *class,
            nested: is_nested(class, own),
            usual: is_usual(own),
            slots: if own.is_known() { own.rate(now) * own.work_s } else { 0.0 },
        };
        self.evaluated = self.classes.iter().map(evaluate).collect();
        self.evaluated_at = Some(now);
    }
}
