//! A node that is short of processor time: detected by the delay of its own tasks, and countered by
//! refusing calls before any work is done for them.
//!
//! A probe that is due at fixed intervals waits in the same queue as the work of the calls. Its
//! lateness is the time for which work waits for the processor. The least of the last few counts,
//! since a pause of the VM or the end of its processor quota for a period delays a single probe and
//! is over when it is noticed; only a standing queue delays them all. While it is too long, a growing
//! share of the calls is refused: late ones first, then new calls from the least urgent rank on,
//! and nested calls last.

use std::time::Duration;

use goldcresttally_core::MonoTime;

/// Interval at which probes are due.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(20);

/// Delay of tasks that is aimed at, in seconds. Tasks of a node with a tenth of a core are often
/// late by a scheduling period, so the aim is not below it.
const TARGET_DELAY_S: f64 = 0.010;

/// Rate at which the refused share changes while the delay is at twice its target, per second.
const GAIN_PER_S: f64 = 0.6;

/// Maximum deviation from the target that counts, as a multiple of it.
const MAX_ERROR: f64 = 4.0;

/// Maximum change of the refused share by one probe.
const MAX_STEP: f64 = 0.08;

/// Maximum share of the calls that is refused. The rest shows when the shortage ends.
const MAX_SHARE: f64 = 0.95;

/// Number of probes of which the least lateness counts.
const MIN_OF_PROBES: usize = 2;

/// Weight of a probe in the average delay.
const DELAY_WEIGHT: f64 = 0.3;

/// Number of times that a call waits for the processor until it is answered.
const WAITS_PER_CALL: u32 = 4;

/// Ranks with a level of their own; the least urgent ranks share the last one.
const RANK_LEVELS: usize = 8;

/// Number of levels: late calls, new calls by rank from the least urgent on, and nested calls.
const LEVELS: usize = RANK_LEVELS + 2;

/// Time constant of the shares of the levels among the calls, in seconds.
const MIX_MEMORY_S: f64 = 1.0;

/// Typical time until the refused share has followed the load, in milliseconds.
const RETRY_AFTER_MS: u64 = 200;

/// What decides the order in which calls are refused.
#[derive(Debug, Clone, Copy)]
pub struct CallUrgency {
    /// The rank; 0 is the most urgent.
    pub rank: usize,
    /// Whether a run of another upstream waits for the call.
    pub nested: bool,
    /// Whether the call is already late.
    pub late: bool,
    /// Time within which an answer is of use: until it is late, for a nested or late call until its
    /// deadline.
    pub time_left: Duration,
}

impl CallUrgency {
    /// Returns the level of the call; the lowest is refused first.
    fn level(&self) -> usize {
        match self {
            Self { nested: true, .. } => LEVELS - 1,
            Self { late: true, .. } => 0,
            Self { rank, .. } => RANK_LEVELS - (*rank).min(RANK_LEVELS - 1),
        }
    }
}

/// The processor time of one node.
#[derive(Debug, Clone, Default)]
pub struct ProcessorLoad {
    /// Share of the calls that is refused.
    refused_share: f64,
    delay_s: f64,
    /// Lateness of the last probes, in seconds.
    lateness_s: [f64; MIN_OF_PROBES],
    probed_at: Option<MonoTime>,
    /// Calls by level, decayed with `MIX_MEMORY_S`.
    mix: [f64; LEVELS],
    mix_at: MonoTime,
}

impl ProcessorLoad {
    /// Records that a probe ran `lateness` after it was due. Returns whether the node has become
    /// short of processor time by this, or no longer is; `None` if neither.
    pub fn on_probe(&mut self, now: MonoTime, lateness: Duration) -> Option<bool> {
        let was_short = self.is_short();
        let elapsed = self.probed_at.map_or(PROBE_INTERVAL, |at| now.since(at));
        self.probed_at = Some(now);
        self.lateness_s.rotate_right(1);
        self.lateness_s[0] = lateness.as_secs_f64();
        let least_s = self.lateness_s.iter().copied().fold(f64::INFINITY, f64::min);
        self.delay_s += DELAY_WEIGHT * (least_s - self.delay_s);
        let error = (least_s / TARGET_DELAY_S - 1.0).min(MAX_ERROR);
        let step = (GAIN_PER_S * error * elapsed.as_secs_f64()).clamp(-MAX_STEP, MAX_STEP);
        self.refused_share = (self.refused_share + step).clamp(0.0, MAX_SHARE);
        (was_short != self.is_short()).then(|| self.is_short())
    }

    /// Returns whether calls are refused for lack of processor time.
    pub fn is_short(&self) -> bool {
        self.refused_share > 0.0
    }

    /// Returns the share of the calls that is refused.
    pub fn refused_share(&self) -> f64 {
        self.refused_share
    }

    /// Returns the time for which a task waits for the processor.
    pub fn delay(&self) -> Duration {
        Duration::from_secs_f64(self.delay_s)
    }

    /// Records a call and returns whether it may be served; `random` is uniform in `0.0..1.0`.
    pub fn admit(&mut self, now: MonoTime, call: &CallUrgency, random: f64) -> bool {
        let level = call.level();
        let elapsed = now.since(self.mix_at).as_secs_f64();
        self.mix_at = now;
        let decay = (-elapsed / MIX_MEMORY_S).exp();
        self.mix.iter_mut().for_each(|calls| *calls *= decay);
        self.mix[level] += 1.0;
        if !self.is_short() {
            return true;
        }
        if self.delay() * WAITS_PER_CALL > call.time_left {
            return false;
        }
        let all: f64 = self.mix.iter().sum();
        let before: f64 = self.mix[..level].iter().sum();
        // The part of this level that the refused share reaches into.
        random >= (self.refused_share * all - before) / self.mix[level]
    }

    /// Returns the time after which a refused caller may come back; `random` is uniform in
    /// `0.0..1.0`.
    pub fn retry_after(&self, random: f64) -> Duration {
        (Duration::from_millis(RETRY_AFTER_MS) + self.delay()).mul_f64(1.0 + random)
    }
}
