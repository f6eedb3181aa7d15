//! An open-loop load generator: Poisson arrivals at a rate independent of the answers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::caller::{CallSpec, Caller};
use super::stats::CallStats;

/// Interval at which due calls are sent, in milliseconds.
const BATCH_INTERVAL_MS: u64 = 2;

/// A stream of calls of one service, rank and kind.
#[derive(Debug, Clone)]
pub struct CallStream {
    /// Service that is called.
    pub service: String,
    /// Rank of the calls.
    pub rank: &'static str,
    /// Kind of route: `read`, `write` or `keyed`.
    pub kind: &'static str,
    /// Calls per second.
    pub rate: f64,
    /// Latency up to which an answer counts as on time.
    pub target: Duration,
}

/// Open-loop load of several call streams.
#[derive(Debug)]
pub struct PoissonLoad {
    /// Call streams.
    pub streams: Vec<CallStream>,
    /// Entry nodes; each call goes to a random one.
    pub entries: Vec<SocketAddr>,
    /// Prefix of the call ids, distinct from other loads.
    pub label: String,
    /// Seed of random choices.
    pub seed: u64,
}

impl PoissonLoad {
    /// Makes calls for `duration` and waits until all have ended.
    pub async fn run(self, duration: Duration) -> CallStats {
        let stats = Arc::new(Mutex::new(CallStats::with_window_end(Instant::now() + duration)));
        let mut tasks = JoinSet::new();
        for (n, call_stream) in self.streams.into_iter().enumerate() {
            let stream = StreamTask {
                call_stream,
                entries: self.entries.clone(),
                prefix: format!("{}-{n}", self.label),
                rng: fastrand::Rng::with_seed(self.seed.wrapping_mul(31).wrapping_add(n as u64)),
                stats: Arc::clone(&stats),
            };
            tasks.spawn(stream.run(duration));
        }
        while tasks.join_next().await.is_some() {}
        let mut stats = lock(&stats);
        std::mem::take(&mut *stats)
    }
}

struct StreamTask {
    call_stream: CallStream,
    entries: Vec<SocketAddr>,
    prefix: String,
    rng: fastrand::Rng,
    stats: Arc<Mutex<CallStats>>,
}

impl StreamTask {
    async fn run(mut self, duration: Duration) {
        let caller = Caller::default();
        let end = Instant::now() + duration;
        let mut next = Instant::now();
        let mut calls = JoinSet::new();
        let mut number = 0;
        while next < end {
            while next <= Instant::now() && next < end {
                self.send(&caller, number, &mut calls);
                number += 1;
                // Exponential inter-arrival times give a Poisson process.
                let gap = -self.rng.f64().max(1e-12).ln() / self.call_stream.rate.max(1e-9);
                next += Duration::from_secs_f64(gap.min(60.0));
            }
            while calls.try_join_next().is_some() {}
            tokio::time::sleep(Duration::from_millis(BATCH_INTERVAL_MS)).await;
        }
        while calls.join_next().await.is_some() {}
    }

    fn send(&mut self, caller: &Caller, number: u64, calls: &mut JoinSet<()>) {
        let CallStream { service, rank, kind, target, .. } = &self.call_stream;
        let (rank, kind, target) = (*rank, *kind, *target);
        let spec = CallSpec {
            id: format!("{}-{number}", self.prefix),
            path: format!("/{service}/{rank}/{kind}"),
            method: Method::POST,
            key: (kind == "keyed").then(|| format!("{}-{number}", self.prefix)),
            service_ms: None,
            body: Bytes::from_static(b"seats=2"),
        };
        let entry = self.entries[self.rng.usize(..self.entries.len())];
        let (caller, stats) = (caller.clone(), Arc::clone(&self.stats));
        calls.spawn(async move {
            let (outcome, latency) = caller.call(entry, &spec).await;
            lock(&stats).add(rank, &spec.id, kind != "read", outcome, latency, target);
        });
    }
}

fn lock(stats: &Mutex<CallStats>) -> MutexGuard<'_, CallStats> {
    stats.lock().unwrap_or_else(PoisonError::into_inner)
}
