//! The limit on concurrent calls, adapted to observed latency and to shed calls (AIMD).

use std::time::Duration;

use goldcresttally_core::{Deadline, MonoTime};

/// Factor by which a sign of overload lowers the limit.
const DECREASE_FACTOR: f64 = 0.85;

/// An average latency above this multiple of the baseline is a sign of overload.
const LATENCY_TOLERANCE: f64 = 3.0;

/// Weight of one sample in the moving average latency.
const LATENCY_WEIGHT: f64 = 0.1;

/// Weight with which the baseline follows a sample above it; it follows lower samples at once.
const BASELINE_WEIGHT: f64 = 0.002;

/// Share of the ceiling below which latency alone does not lower the limit; shed calls still do.
const LATENCY_FLOOR_SHARE: f64 = 0.5;

/// How a call ended at the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream answered it.
    Answered,
    /// The upstream refused it because of overload.
    Shed,
    /// It failed or was abandoned, so its latency is not used.
    Failed,
}

/// A limit on concurrent calls that rises by one per round of answers and falls by a factor on
/// signs of overload.
#[derive(Debug, Clone)]
pub struct AdaptiveLimit {
    adaptive: bool,
    ceiling: f64,
    limit: f64,
    latency_s: Option<f64>,
    baseline_s: Option<f64>,
    /// Time until which the limit is not lowered again, so that it first takes effect on new calls.
    cooldown_until: Option<Deadline>,
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
            cooldown_until: None,
        }
    }

    /// Returns the number of calls that may run at the same time, at least 1.
    pub fn get(&self) -> usize {
        self.limit.max(1.0) as usize
    }

    /// Sets whether the limit adapts to observed calls; otherwise it stays at its ceiling.
    pub fn set_adaptive(&mut self, adaptive: bool) {
        self.adaptive = adaptive;
        if !adaptive {
            self.limit = self.ceiling;
        }
    }

    /// Sets the maximum of the limit.
    pub fn set_ceiling(&mut self, ceiling: u32) {
        let ceiling = f64::from(ceiling.max(1));
        // A limit at its ceiling follows a higher ceiling at once.
        if self.limit >= self.ceiling {
            self.limit = ceiling;
        }
        self.ceiling = ceiling;
        self.limit = self.limit.min(ceiling);
    }

    /// Records the end of a call that ran for `latency`; `running` counts it and the calls beside
    /// it.
    pub fn observe(&mut self, now: MonoTime, outcome: Outcome, latency: Duration, running: usize) {
        match outcome {
            Outcome::Failed => {}
            Outcome::Shed => self.decrease(now, 1.0),
            Outcome::Answered => self.on_answer(now, latency.as_secs_f64(), running),
        }
    }

    fn on_answer(&mut self, now: MonoTime, sample_s: f64, running: usize) {
        let average = self.latency_s.map_or(sample_s, |l| l + LATENCY_WEIGHT * (sample_s - l));
        let follow = |b: f64| {
            if sample_s < b { sample_s } else { b + BASELINE_WEIGHT * (sample_s - b) }
        };
        let baseline = self.baseline_s.map_or(sample_s, follow);
        self.latency_s = Some(average);
        self.baseline_s = Some(baseline);
        if average > LATENCY_TOLERANCE * baseline {
            self.decrease(now, self.ceiling * LATENCY_FLOOR_SHARE);
        } else if running + 1 >= self.get() {
            self.limit = (self.limit + 1.0 / self.limit).min(self.ceiling);
        }
    }

    fn decrease(&mut self, now: MonoTime, floor: f64) {
        if !self.adaptive || self.cooldown_until.is_some_and(|until| !until.is_past(now)) {
            return;
        }
        self.limit = (self.limit * DECREASE_FACTOR).max(floor.min(self.limit)).max(1.0);
        let cooldown = Duration::from_secs_f64(self.latency_s.unwrap_or(0.01));
        self.cooldown_until = Some(Deadline::after(now, cooldown));
    }
}
