//! Latencies and outcomes of the calls that entered at one node.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use goldcresttally_core::{Map, RankName, ServiceName};
use hdrhistogram::Histogram;

use crate::summary::{RETENTION_MINUTES, Series, Summary};

/// Shards, so that threads seldom wait for each other.
const SHARDS: usize = 8;

/// Largest latency told apart, in microseconds.
const LATENCY_LIMIT_US: u64 = 600_000_000;

/// Significant digits of a latency.
const LATENCY_DIGITS: u8 = 2;

type Key = (ServiceName, RankName);

#[derive(Debug)]
struct Cell {
    latency_us: Histogram<u64>,
    /// Calls and good calls of the last minutes, by minute since the start.
    minutes: Vec<Minute>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Minute {
    number: u64,
    calls: u64,
    good: u64,
}

/// Records calls by service and rank.
#[derive(Debug)]
pub struct Recorder {
    started: Instant,
    shards: Vec<Mutex<Map<Key, Cell>>>,
}

impl Default for Recorder {
    fn default() -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        Self { started: Instant::now(), shards }
    }
}

impl Recorder {
    /// Records one call; `good` says that it was answered well and within its target.
    pub fn record(&self, service: &ServiceName, rank: &RankName, latency: Duration, good: bool) {
        let minute = self.minute();
        let shard = latency.subsec_nanos() as usize / 64 % SHARDS;
        let mut cells = self.shards[shard].lock().unwrap_or_else(PoisonError::into_inner);
        let cell = cells.entry((service.clone(), rank.clone())).or_insert_with(Cell::new);
        cell.latency_us.saturating_record(latency.as_micros() as u64);
        let slot = &mut cell.minutes[(minute as usize) % RETENTION_MINUTES];
        if slot.number != minute {
            *slot = Minute { number: minute, ..Minute::default() };
        }
        slot.calls += 1;
        slot.good += u64::from(good);
    }

    /// Returns what was recorded so far.
    pub fn summary(&self) -> Summary {
        let now = self.minute();
        let mut summary = Summary::default();
        for shard in &self.shards {
            let cells = shard.lock().unwrap_or_else(PoisonError::into_inner);
            for ((service, rank), cell) in cells.iter() {
                summary.add(&Series {
                    service: service.clone(),
                    rank: rank.clone(),
                    latency_us: cell.latency_us.clone(),
                    calls: cell.ages(now, |m| m.calls),
                    good: cell.ages(now, |m| m.good),
                });
            }
        }
        summary
    }

    fn minute(&self) -> u64 {
        self.started.elapsed().as_secs() / 60
    }
}

impl Cell {
    fn new() -> Self {
        let latency_us = Histogram::new_with_bounds(1, LATENCY_LIMIT_US, LATENCY_DIGITS);
        // The bounds are constants that the library accepts.
        let latency_us = latency_us.unwrap_or_else(|_| unreachable!("valid histogram bounds"));
        Self { latency_us, minutes: vec![Minute::default(); RETENTION_MINUTES] }
    }

    /// Returns a count by age in minutes, the current minute first.
    fn ages(&self, now: u64, count: impl Fn(&Minute) -> u64) -> Vec<u64> {
        let mut ages = vec![0; RETENTION_MINUTES];
        for minute in &self.minutes {
            let age = now.saturating_sub(minute.number) as usize;
            if age < RETENTION_MINUTES {
                ages[age] += count(minute);
            }
        }
        ages
    }
}
