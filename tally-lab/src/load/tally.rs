//! Counts what became of calls, and checks it against what ran at the upstreams.

use std::collections::HashMap;
use std::time::Duration;

use goldcresttally_standin::upstream::Record;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::output::rounded;

/// What became of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It got its own whole answer.
    Answered,
    /// It got another call's answer.
    Crossed,
    /// Its answer broke off.
    Cut,
    /// It was refused as not run.
    NotRun,
    /// It failed and may have run.
    MayHaveRun,
    /// It ran and its answer was lost.
    RanUnanswered,
    /// The upstream or the system answered with this status and no verdict.
    Failed(u16),
    /// The connection to the entry broke or stayed silent.
    Broken,
}

/// Counts of one rank.
#[derive(Debug, Clone)]
pub struct RankTally {
    offered: u64,
    answered: u64,
    on_time: u64,
    refused: u64,
    failed: u64,
    latency_us: Histogram<u64>,
}

impl RankTally {
    /// Returns the calls that were made.
    pub fn offered(&self) -> u64 {
        self.offered
    }

    /// Returns the calls that were answered within their target.
    pub fn on_time(&self) -> u64 {
        self.on_time
    }

    /// Returns the calls that were answered.
    pub fn answered(&self) -> u64 {
        self.answered
    }

    /// Returns a quantile of the latency of answers, in milliseconds.
    pub fn quantile_ms(&self, q: f64) -> f64 {
        self.latency_us.value_at_quantile(q) as f64 / 1000.0
    }

    /// Returns the counts as JSON.
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

/// What must not happen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Violations {
    /// Calls that must run at most once and ran more often.
    pub doubled: u64,
    /// Calls that were refused as not run and ran.
    pub ran_after_not_run: u64,
    /// Answers that broke off.
    pub cut: u64,
    /// Answers that were another call's.
    pub crossed: u64,
}

impl Violations {
    /// Tells whether nothing happened that must not.
    pub fn none(&self) -> bool {
        *self == Self::default()
    }

    /// Adds the counts to an experiment's figures.
    pub fn add_to(&self, figures: &mut Value) {
        figures["doubled"] = self.doubled.into();
        figures["ran_after_not_run"] = self.ran_after_not_run.into();
        figures["cut"] = self.cut.into();
        figures["crossed"] = self.crossed.into();
    }
}

/// A call that has ended.
#[derive(Debug, Clone)]
struct Ended {
    once: bool,
    outcome: Outcome,
}

/// Counts what became of calls.
#[derive(Debug, Default)]
pub struct Tally {
    ranks: HashMap<String, RankTally>,
    /// Until when answers count towards goodput; they always do when absent.
    window_end: Option<Instant>,
    on_time_in_window: u64,
    ended: HashMap<String, Vec<Ended>>,
    may_have_run: u64,
    broken: u64,
}

impl Tally {
    /// Returns a tally whose goodput counts answers until `window_end` only.
    pub fn until(window_end: Instant) -> Self {
        Self { window_end: Some(window_end), ..Self::default() }
    }

    /// Returns the calls that were answered on time within the window.
    pub fn on_time_in_window(&self) -> u64 {
        self.on_time_in_window
    }

    /// Counts a call; `once` says that it must run at most once.
    pub fn add(
        &mut self,
        rank: &str,
        id: &str,
        once: bool,
        outcome: Outcome,
        latency: Duration,
        target: Duration,
    ) {
        let tally = self.ranks.entry(rank.to_owned()).or_insert_with(RankTally::new);
        tally.add(outcome, latency, target);
        let in_window = self.window_end.is_none_or(|end| Instant::now() <= end);
        let on_time = outcome == Outcome::Answered && latency <= target;
        self.on_time_in_window += u64::from(in_window && on_time);
        self.may_have_run += u64::from(outcome == Outcome::MayHaveRun);
        self.broken += u64::from(outcome == Outcome::Broken);
        self.ended.entry(id.to_owned()).or_default().push(Ended { once, outcome });
    }

    /// Returns the counts of a rank.
    pub fn rank(&self, rank: &str) -> RankTally {
        self.ranks.get(rank).cloned().unwrap_or_else(RankTally::new)
    }

    /// Returns the calls that failed and may have run.
    pub fn may_have_run(&self) -> u64 {
        self.may_have_run
    }

    /// Returns the calls whose connection to the entry broke.
    pub fn broken(&self) -> u64 {
        self.broken
    }

    /// Returns all calls made.
    pub fn offered(&self) -> u64 {
        self.ranks.values().map(|r| r.offered).sum()
    }

    /// Returns all calls answered.
    pub fn answered(&self) -> u64 {
        self.ranks.values().map(|r| r.answered).sum()
    }

    /// Checks what became of the calls against what ran at the upstreams.
    pub fn violations(&self, record: &Record) -> Violations {
        let mut found = Violations::default();
        for (id, ended) in &self.ended {
            let run = record.run(id);
            let all_refused = ended.iter().all(|e| e.outcome == Outcome::NotRun);
            found.doubled += u64::from(ended.iter().any(|e| e.once) && run.started > 1);
            found.ran_after_not_run += u64::from(all_refused && run.started > 0);
            let count = |outcome| ended.iter().filter(|e| e.outcome == outcome).count() as u64;
            found.cut += count(Outcome::Cut);
            found.crossed += count(Outcome::Crossed);
        }
        found
    }
}

impl RankTally {
    fn new() -> Self {
        let latency_us = Histogram::new_with_bounds(1, 120_000_000, 3);
        // The bounds are constants that the library accepts.
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
