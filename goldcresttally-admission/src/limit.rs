//! How many calls run at once, adapted to observed latency and to shed answers.

use std::time::Duration;

use goldcresttally_core::{Deadline, MonoTime};

/// Share of the limit that is left after a sign of overload.
const DECREASE_FACTOR: f64 = 0.85;

/// Latency, as a multiple of the baseline, that counts as a sign of overload.
const LATENCY_TOLERANCE: f64 = 3.0;

/// Weight of one sample in the average latency.
const LATENCY_WEIGHT: f64 = 0.1;

/// Rate at which the baseline follows latencies above it.
const BASELINE_DRIFT: f64 = 0.002;

/// Share of the ceiling below which latency alone does not lower the limit.
const LATENCY_FLOOR_SHARE: f64 = 0.5;

/// How a call ended at the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered.
    Answered,
    /// The upstream shed it.
    Shed,
    /// It failed or was abandoned; its latency says nothing.
    Failed,
}

/// A limit on concurrent calls that rises by one per round of answers and falls by a factor.
#[derive(Debug, Clone)]
pub struct AdaptiveLimit {
    adaptive: bool,
    ceiling: f64,
    limit: f64,
    latency_s: Option<f64>,
    baseline_s: Option<f64>,
    /// A limit that was just lowered rests until calls begun under it have ended.
    rest: Option<Deadline>,
}

impl AdaptiveLimit {
    /// Returns a limit that starts at `ceiling`.
    pub fn new(ceiling: u32) -> Self {
        let ceiling = f64::from(ceiling.max(1));
        Self {
            adaptive: true,
            ceiling,
            limit: ceiling,
            latency_s: None,
            baseline_s: None,
            rest: None,
        }
    }

    /// Returns how many calls may run at once, at least 1.
    pub fn get(&self) -> usize {
        self.limit.max(1.0) as usize
    }

    /// Sets whether the limit follows what is observed; otherwise it stays at its ceiling.
    pub fn set_adaptive(&mut self, adaptive: bool) {
        self.adaptive = adaptive;
        if !adaptive {
            self.limit = self.ceiling;
        }
    }

    /// Sets the most that the limit may be.
    pub fn set_ceiling(&mut self, ceiling: u32) {
        let ceiling = f64::from(ceiling.max(1));
        // A limit that was not lowered follows its ceiling upwards at once.
        if self.limit >= self.ceiling {
            self.limit = ceiling;
        }
        self.ceiling = ceiling;
        self.limit = self.limit.min(ceiling);
    }

    /// Takes the end of a call that ran for `latency` while `running` calls ran.
    pub fn observe(&mut self, now: MonoTime, outcome: Outcome, latency: Duration, running: usize) {
        match outcome {
            Outcome::Failed => {}
            Outcome::Shed => self.decrease(now, 1.0),
            Outcome::Answered => self.on_answer(now, latency.as_secs_f64(), running),
        }
    }

    fn on_answer(&mut self, now: MonoTime, sample_s: f64, running: usize) {
        let average = self.latency_s.map_or(sample_s, |l| l + LATENCY_WEIGHT * (sample_s - l));
        let drifted = |b: f64| {
            if sample_s < b { sample_s } else { b + BASELINE_DRIFT * (sample_s - b) }
        };
        let baseline = self.baseline_s.map_or(sample_s, drifted);
        self.latency_s = Some(average);
        self.baseline_s = Some(baseline);
        if average > LATENCY_TOLERANCE * baseline {
            self.decrease(now, self.ceiling * LATENCY_FLOOR_SHARE);
        } else if running + 1 >= self.get() {
            self.limit = (self.limit + 1.0 / self.limit).min(self.ceiling);
        }
    }

    fn decrease(&mut self, now: MonoTime, floor: f64) {
        if !self.adaptive || self.rest.is_some_and(|rest| !rest.is_past(now)) {
            return;
        }
        self.limit = (self.limit * DECREASE_FACTOR).max(floor.min(self.limit)).max(1.0);
        let rest = Duration::from_secs_f64(self.latency_s.unwrap_or(0.01));
        self.rest = Some(Deadline::after(now, rest));
    }
}
