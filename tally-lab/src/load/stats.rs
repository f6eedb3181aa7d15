//! Statistics of call outcomes, and checks against the calls that ran at the upstreams.

use std::collections::HashMap;
use std::time::Duration;

use goldcresttally_standin::upstream::Record;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::output::rounded;

/// Outcome of a call as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer arrived.
    Answered,
    /// The answer of another call arrived.
    Crossed,
    /// The answer was truncated.
    Cut,
    /// Refused with the verdict that the call did not run.
    NotRun,
    /// Failed with the verdict that the call may have run.
    MayHaveRun,
    /// Failed with the verdict that the call ran and its answer was lost.
    RanUnanswered,
    /// Answered with this error status and no verdict.
    Failed(u16),
    /// The connection to the entry broke, or no answer came in time.
    Broken,
}

/// Call counts and latencies of one rank.
#[derive(Debug, Clone)]
pub struct RankStats {
    offered: u64,
    answered: u64,
    on_time: u64,
    refused: u64,
    failed: u64,
    latency_us: Histogram<u64>,
}

impl RankStats {
    /// Returns the number of calls made.
    pub fn offered(&self) -> u64 {
        self.offered
    }

    /// Returns the number of calls answered within their target latency.
    pub fn on_time(&self) -> u64 {
        self.on_time
    }

    /// Returns the number of calls answered.
    pub fn answered(&self) -> u64 {
        self.answered
    }

    /// Returns a quantile of the latency of answers, in milliseconds.
    pub fn quantile_ms(&self, q: f64) -> f64 {
        self.latency_us.value_at_quantile(q) as f64 / 1000.0
    }

    /// Returns the counts and latencies as JSON.
    pub fn figures(&self) -> Value {
        json!({
            "offered": self.offered,
            "answered": self.answered,
            "on_time": self.on_time,
            "refused_not_run": self.refused,
            "failed": self.failed,
            "p50_ms": rounded(self.quantile_ms(0.5)),
            "p99_ms": rounded(self.quantile_ms(0.99)),
        })
    }
}

/// Counts of violated invariants.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Violations {
    /// At-most-once calls that ran more than once.
    pub doubled: u64,
    /// Calls that ran although every attempt was refused as not run.
    pub ran_after_not_run: u64,
    /// Truncated answers.
    pub cut: u64,
    /// Answers that belonged to another call.
    pub crossed: u64,
}

impl Violations {
    /// Returns whether no invariant was violated.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Adds the counts to the figures of an experiment.
    pub fn add_to(&self, figures: &mut Value) {
        figures["doubled"] = self.doubled.into();
        figures["ran_after_not_run"] = self.ran_after_not_run.into();
        figures["cut"] = self.cut.into();
        figures["crossed"] = self.crossed.into();
    }
}

/// One ended attempt of a caller to make a call.
#[derive(Debug, Clone)]
struct EndedCall {
    at_most_once: bool,
    outcome: Outcome,
}

/// Statistics of all calls of a load.
#[derive(Debug, Default)]
pub struct CallStats {
    ranks: HashMap<String, RankStats>,
    /// End of the window in which answers count towards goodput; unlimited when absent.
    window_end: Option<Instant>,
    on_time_in_window: u64,
    ended: HashMap<String, Vec<EndedCall>>,
    may_have_run: u64,
    broken: u64,
}

impl CallStats {
    /// Returns empty statistics whose goodput counts only answers until `window_end`.
    pub fn with_window_end(window_end: Instant) -> Self {
        Self { window_end: Some(window_end), ..Self::default() }
    }

    /// Returns the number of calls answered on time within the window.
    pub fn on_time_in_window(&self) -> u64 {
        self.on_time_in_window
    }

    /// Records an ended call; `at_most_once` is set if it must not run more than once.
    pub fn add(
        &mut self,
        rank: &str,
        id: &str,
        at_most_once: bool,
        outcome: Outcome,
        latency: Duration,
        target: Duration,
    ) {
        let stats = self.ranks.entry(rank.to_owned()).or_insert_with(RankStats::new);
        stats.add(outcome, latency, target);
        let in_window = self.window_end.is_none_or(|end| Instant::now() <= end);
        let on_time = outcome == Outcome::Answered && latency <= target;
        self.on_time_in_window += u64::from(in_window && on_time);
        self.may_have_run += u64::from(outcome == Outcome::MayHaveRun);
        self.broken += u64::from(outcome == Outcome::Broken);
        self.ended.entry(id.to_owned()).or_default().push(EndedCall { at_most_once, outcome });
    }

    /// Returns the statistics of a rank.
    pub fn rank(&self, rank: &str) -> RankStats {
        self.ranks.get(rank).cloned().unwrap_or_else(RankStats::new)
    }

    /// Returns the number of calls that failed and may have run.
    pub fn may_have_run(&self) -> u64 {
        self.may_have_run
    }

    /// Returns the number of calls whose connection to the entry broke.
    pub fn broken(&self) -> u64 {
        self.broken
    }

    /// Returns the number of calls made in all ranks.
    pub fn offered(&self) -> u64 {
        self.ranks.values().map(|r| r.offered).sum()
    }

    /// Returns the number of calls answered in all ranks.
    pub fn answered(&self) -> u64 {
        self.ranks.values().map(|r| r.answered).sum()
    }

    /// Compares the outcomes with the calls that ran at the upstreams.
    pub fn violations(&self, record: &Record) -> Violations {
        let mut found = Violations::default();
        for (id, ended) in &self.ended {
            let run = record.run(id);
            let all_refused = ended.iter().all(|e| e.outcome == Outcome::NotRun);
            found.doubled += u64::from(ended.iter().any(|e| e.at_most_once) && run.started > 1);
            found.ran_after_not_run += u64::from(all_refused && run.started > 0);
            let count = |outcome| ended.iter().filter(|e| e.outcome == outcome).count() as u64;
            found.cut += count(Outcome::Cut);
            found.crossed += count(Outcome::Crossed);
        }
        found
    }
}

impl RankStats {
    fn new() -> Self {
        let latency_us = Histogram::new_with_bounds(1, 120_000_000, 3);
        // The bounds are valid constants.
        let latency_us = latency_us.unwrap_or_else(|_| unreachable!("valid histogram bounds"));
        Self { offered: 0, answered: 0, on_time: 0, refused: 0, failed: 0, latency_us }
    }

    fn add(&mut self, outcome: Outcome, latency: Duration, target: Duration) {
        self.offered += 1;
        match outcome {
            Outcome::Answered => {
                self.answered += 1;
                self.on_time += u64::from(latency <= target);
                self.latency_us.saturating_record(latency.as_micros() as u64);
            }
            Outcome::NotRun => self.refused += 1,
            _ => self.failed += 1,
        }
    }
}
