//! Records latencies and outcomes of the calls received by one node.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use goldcresttally_core::{Map, RankName, ServiceName};
use hdrhistogram::Histogram;

use crate::summary::{RETENTION_MINUTES, Series, Summary};

/// Number of shards, each with its own lock to reduce contention between threads.
const SHARD_COUNT: usize = 8;

/// Maximum latency of the histogram, in microseconds; longer ones are recorded as this value.
const LATENCY_LIMIT_US: u64 = 600_000_000;

/// Significant decimal digits of recorded latencies.
const LATENCY_DIGITS: u8 = 2;

type Key = (ServiceName, RankName);

#[derive(Debug)]
struct Stats {
    latency_us: Histogram<u64>,
    /// Ring buffer of the counts of each minute, indexed by minute number modulo its length.
    minutes: Vec<Minute>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Minute {
    /// Minutes since the recorder was created.
    number: u64,
    calls: u64,
    good: u64,
}

/// Records calls by service and rank. Safe to share between threads.
#[derive(Debug)]
pub struct Recorder {
    started: Instant,
    shards: Vec<Mutex<Map<Key, Stats>>>,
}

impl Default for Recorder {
    fn default() -> Self {
        let shards = (0..SHARD_COUNT).map(|_| Mutex::default()).collect();
        Self { started: Instant::now(), shards }
    }
}

impl Recorder {
    /// Records one call; `good` means that it was answered successfully and on time.
    pub fn record(&self, service: &ServiceName, rank: &RankName, latency: Duration, good: bool) {
        let minute = self.minute();
        let shard = latency.subsec_nanos() as usize / 64 % SHARD_COUNT;
        let mut stats_by_key = self.shards[shard].lock().unwrap_or_else(PoisonError::into_inner);
        let stats = stats_by_key.entry((service.clone(), rank.clone())).or_insert_with(Stats::new);
        stats.latency_us.saturating_record(latency.as_micros() as u64);
        let slot = &mut stats.minutes[(minute as usize) % RETENTION_MINUTES];
        if slot.number != minute {
            *slot = Minute { number: minute, ..Minute::default() };
        }
        slot.calls += 1;
        slot.good += u64::from(good);
    }

    /// Returns a summary of all calls recorded so far.
    pub fn summary(&self) -> Summary {
        let now = self.minute();
        let mut summary = Summary::default();
        for shard in &self.shards {
            let stats_by_key = shard.lock().unwrap_or_else(PoisonError::into_inner);
            for ((service, rank), stats) in stats_by_key.iter() {
                summary.add(&Series {
                    service: service.clone(),
                    rank: rank.clone(),
                    latency_us: stats.latency_us.clone(),
                    calls: stats.counts_by_age(now, |m| m.calls),
                    good: stats.counts_by_age(now, |m| m.good),
                });
            }
        }
        summary
    }

    fn minute(&self) -> u64 {
        self.started.elapsed().as_secs() / 60
    }
}

impl Stats {
    fn new() -> Self {
        let latency_us = Histogram::new_with_bounds(1, LATENCY_LIMIT_US, LATENCY_DIGITS);
        // Creation fails only for invalid bounds, and these are valid constants.
        let latency_us = latency_us.unwrap_or_else(|_| unreachable!("valid histogram bounds"));
        Self { latency_us, minutes: vec![Minute::default(); RETENTION_MINUTES] }
    }

    /// Returns `count` of each minute by age in minutes, current minute first.
    fn counts_by_age(&self, now: u64, count: impl Fn(&Minute) -> u64) -> Vec<u64> {
        let mut counts = vec![0; RETENTION_MINUTES];
        for minute in &self.minutes {
            let age = now.saturating_sub(minute.number) as usize;
            if age < RETENTION_MINUTES {
                counts[age] += count(minute);
            }
        }
        counts
    }
}
