//! Calls that arrive at random, at a rate that does not depend on how they fare.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::caller::{Caller, Spec};
use super::tally::Tally;

/// Interval at which calls that are due are sent, in milliseconds.
const BATCH_INTERVAL_MS: u64 = 2;

/// One stream of calls.
#[derive(Debug, Clone)]
pub struct Source {
    /// The service.
    pub service: String,
    /// The rank.
    pub rank: &'static str,
    /// `read`, `write` or `keyed`.
    pub kind: &'static str,
    /// Calls per second.
    pub rate: f64,
    /// Time within which an answer is on time.
    pub target: Duration,
}

/// Makes the calls of several sources.
#[derive(Debug)]
pub struct Arrivals {
    /// The streams.
    pub sources: Vec<Source>,
    /// Entry nodes, of which each call takes one at random.
    pub entries: Vec<SocketAddr>,
    /// Sets the ids of these calls apart from others'.
    pub label: String,
    /// Seed of random choices.
    pub seed: u64,
}

impl Arrivals {
    /// Makes calls for `duration` and waits for the last of them.
    pub async fn run(self, duration: Duration) -> Tally {
        let tally = Arc::new(Mutex::new(Tally::until(Instant::now() + duration)));
        let mut tasks = JoinSet::new();
        for (n, source) in self.sources.into_iter().enumerate() {
            let stream = Stream {
                source,
                entries: self.entries.clone(),
                prefix: format!("{}-{n}", self.label),
                rng: fastrand::Rng::with_seed(self.seed.wrapping_mul(31).wrapping_add(n as u64)),
                tally: Arc::clone(&tally),
            };
            tasks.spawn(stream.run(duration));
        }
        while tasks.join_next().await.is_some() {}
        let mut tally = lock(&tally);
        std::mem::take(&mut *tally)
    }
}

struct Stream {
    source: Source,
    entries: Vec<SocketAddr>,
    prefix: String,
    rng: fastrand::Rng,
    tally: Arc<Mutex<Tally>>,
}

impl Stream {
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
                // Exponential gaps make a Poisson stream.
                let gap = -self.rng.f64().max(1e-12).ln() / self.source.rate.max(1e-9);
                next += Duration::from_secs_f64(gap.min(60.0));
            }
            while calls.try_join_next().is_some() {}
            tokio::time::sleep(Duration::from_millis(BATCH_INTERVAL_MS)).await;
        }
        while calls.join_next().await.is_some() {}
    }

    fn send(&mut self, caller: &Caller, number: u64, calls: &mut JoinSet<()>) {
        let Source { service, rank, kind, target, .. } = &self.source;
        let (rank, kind, target) = (*rank, *kind, *target);
        let spec = Spec {
            id: format!("{}-{number}", self.prefix),
            path: format!("/{service}/{rank}/{kind}"),
            method: Method::POST,
            key: (kind == "keyed").then(|| format!("{}-{number}", self.prefix)),
            service_ms: None,
            body: Bytes::from_static(b"seats=2"),
        };
        let entry = self.entries[self.rng.usize(..self.entries.len())];
        let (caller, tally) = (caller.clone(), Arc::clone(&self.tally));
        calls.spawn(async move {
            let (outcome, latency) = caller.call(entry, &spec).await;
            lock(&tally).add(rank, &spec.id, kind != "read", outcome, latency, target);
        });
    }
}

fn lock(tally: &Mutex<Tally>) -> MutexGuard<'_, Tally> {
    tally.lock().unwrap_or_else(PoisonError::into_inner)
}
