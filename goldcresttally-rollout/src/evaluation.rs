//! Compares the answers of the release under test with those of the old one.

use std::collections::BTreeMap;
use std::fmt;

use crate::types::{ClassCount, UNTIMED_CLASS};

/// Difference between the shares of failures above which a release counts as faulty.
const FAILURE_MARGIN: f64 = 0.05;

/// Minimum number of failures by which a release counts as faulty.
const MIN_FAILURES: u64 = 5;

/// Ratio between the mean times of a class above which a release counts as faulty.
const SLOWDOWN: f64 = 2.0;

/// Minimum number of answers whose times are compared.
const MIN_TIMED_ANSWERS: u64 = 20;

/// Minimum difference between mean times, in milliseconds: times are counted in whole milliseconds.
const MIN_SLOWDOWN_MS: f64 = 4.0;

/// Counts by class of call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ClassCounts(BTreeMap<u32, ClassCount>);

/// Why a release counts as faulty.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// It fails more calls than the old release.
    Failures {
        /// The class of call; `None` for all classes together.
        class: Option<u32>,
        /// Its share of failures.
        share: f64,
        /// The old release's share of failures.
        expected: f64,
    },
    /// It is slower than the old release.
    Slow {
        /// The class of call.
        class: u32,
        /// Its mean time, in milliseconds.
        mean_ms: f64,
        /// The old release's mean time, in milliseconds.
        expected_ms: f64,
    },
    /// No upstream of it has appeared within the time limit.
    Absent,
    /// A node reports that an earlier decider has found it faulty.
    Reported,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failures { class: Some(class), share, expected } => {
                write!(f, "failures class={class:08x} share={share:.3} expected={expected:.3}")
            }
            Self::Failures { class: None, share, expected } => {
                write!(f, "failures share={share:.3} expected={expected:.3}")
            }
            Self::Slow { class, mean_ms, expected_ms } => {
                write!(
                    f,
                    "slow class={class:08x} mean_ms={mean_ms:.1} expected_ms={expected_ms:.1}"
                )
            }
            Self::Absent => f.write_str("no upstream of the release"),
            Self::Reported => f.write_str("found by an earlier decider"),
        }
    }
}

impl ClassCount {
    fn calls(&self) -> u64 {
        self.answered + self.failed
    }

    fn failure_share(&self) -> f64 {
        self.failed as f64 / self.calls().max(1) as f64
    }

    fn mean_ms(&self) -> f64 {
        self.total_ms as f64 / self.answered.max(1) as f64
    }
}

impl ClassCounts {
    /// Adds counts.
    pub fn add(&mut self, counts: &[(u32, ClassCount)]) {
        for (class, count) in counts {
            let sum = self.0.entry(*class).or_default();
            sum.answered += count.answered;
            sum.failed += count.failed;
            sum.total_ms += count.total_ms;
        }
    }

    /// Returns the counts since `before`.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        let difference = |(class, now): (&u32, &ClassCount)| {
            let then = before.0.get(class).copied().unwrap_or_default();
            let count = ClassCount {
                answered: now.answered.saturating_sub(then.answered),
                failed: now.failed.saturating_sub(then.failed),
                total_ms: now.total_ms.saturating_sub(then.total_ms),
            };
            (*class, count)
        };
        Self(self.0.iter().map(difference).collect())
    }

    /// Returns the counts as a list.
    pub fn to_list(&self) -> Vec<(u32, ClassCount)> {
        self.0.iter().map(|(class, count)| (*class, *count)).collect()
    }

    /// Returns the sum over all classes.
    pub fn total(&self) -> ClassCount {
        self.0.values().fold(ClassCount::default(), |sum, count| ClassCount {
            answered: sum.answered + count.answered,
            failed: sum.failed + count.failed,
            total_ms: sum.total_ms + count.total_ms,
        })
    }

    /// Returns the number of calls that were answered or failed.
    pub fn calls(&self) -> u64 {
        self.total().calls()
    }

    /// Returns the number of answers whose times are compared.
    pub fn timed_answers(&self) -> u64 {
        self.total().answered - self.of(UNTIMED_CLASS).answered
    }

    fn of(&self, class: u32) -> ClassCount {
        self.0.get(&class).copied().unwrap_or_default()
    }
}

/// Returns a fault of the release with the counts `new`, measured by the counts of the old release
/// over one or more periods, of which the worst applies.
pub fn find_fault(new: &ClassCounts, old: &[&ClassCounts]) -> Option<Fault> {
    let worst = |values: &mut dyn Iterator<Item = f64>| values.fold(0.0, f64::max);
    let overall = worst(&mut old.iter().map(|counts| counts.total().failure_share()));
    let total = new.total();
    if is_failing(&total, overall) {
        let share = total.failure_share();
        return Some(Fault::Failures { class: None, share, expected: overall });
    }
    for (class, count) in new.to_list() {
        let known: Vec<_> = old.iter().map(|counts| counts.of(class)).collect();
        let enough = known.iter().filter(|c| c.calls() >= MIN_TIMED_ANSWERS);
        let expected = worst(&mut enough.map(ClassCount::failure_share)).max(overall);
        if is_failing(&count, expected) {
            let share = count.failure_share();
            return Some(Fault::Failures { class: Some(class), share, expected });
        }
        let timed = known.iter().filter(|c| c.answered >= MIN_TIMED_ANSWERS);
        let expected_ms = worst(&mut timed.clone().map(ClassCount::mean_ms));
        let is_compared = class != UNTIMED_CLASS && timed.count() > 0;
        if is_compared && is_slow(&count, expected_ms) {
            return Some(Fault::Slow { class, mean_ms: count.mean_ms(), expected_ms });
        }
    }
    None
}

fn is_failing(count: &ClassCount, expected: f64) -> bool {
    count.failed >= MIN_FAILURES && count.failure_share() > expected + FAILURE_MARGIN
}

/// Returns whether the mean time is above the limit by more than its standard error. Times of calls
/// vary about as much as their mean, and upstreams of one release differ in speed.
fn is_slow(count: &ClassCount, expected_ms: f64) -> bool {
    if count.answered < MIN_TIMED_ANSWERS {
        return false;
    }
    let mean = count.mean_ms();
    let lowest = mean * (1.0 - 1.0 / (count.answered as f64).sqrt());
    lowest > SLOWDOWN * expected_ms && mean - expected_ms >= MIN_SLOWDOWN_MS
}
