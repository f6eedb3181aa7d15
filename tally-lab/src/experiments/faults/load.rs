//! Background load of the experiment.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::{SharedEntries, lock};
use crate::documents::RANKS;
use crate::load::{CallSpec, CallStats, Caller, Outcome};

/// Calls per second.
const CALLS_PER_S: f64 = 250.0;

/// Maximum repeats of a keyed call that was not answered.
const REPEATS: usize = 6;

/// Interval between repeats, in milliseconds.
const REPEAT_PAUSE_MS: u64 = 500;

/// Load of all ranks and kinds through random entries.
pub(super) struct BackgroundLoad {
    pub entries: SharedEntries,
    pub seed: u64,
}

impl BackgroundLoad {
    /// Makes calls until `stop` is cancelled; returns their statistics once all have ended.
    pub async fn run(self, stop: CancellationToken) -> CallStats {
        let stats = Arc::new(Mutex::new(CallStats::default()));
        let caller = Caller::default();
        let mut rng = fastrand::Rng::with_seed(self.seed + 1);
        let mut calls = JoinSet::new();
        let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / CALLS_PER_S));
        let mut number = 0;
        while !stop.is_cancelled() {
            ticks.tick().await;
            number += 1;
            let rank = RANKS[rng.usize(..3)];
            let kind = ["read", "write", "keyed"][rng.usize(..3)];
            let id = format!("call-{number}");
            let spec = CallSpec {
                path: format!("/booking/{rank}/{kind}"),
                method: Method::POST,
                key: (kind == "keyed").then(|| id.clone()),
                body: Bytes::from(vec![b'x'; rng.usize(..4000)]),
                id,
                ..CallSpec::default()
            };
            let (caller, entries) = (caller.clone(), Arc::clone(&self.entries));
            let stats = Arc::clone(&stats);
            calls.spawn(async move { call(caller, entries, spec, rank, kind, stats).await });
            while calls.try_join_next().is_some() {}
        }
        while calls.join_next().await.is_some() {}
        let mut stats = lock(&stats);
        std::mem::take(&mut *stats)
    }
}

/// Makes one call; repeats a keyed call under its key until it is answered.
async fn call(
    caller: Caller,
    entries: SharedEntries,
    spec: CallSpec,
    rank: &'static str,
    kind: &'static str,
    stats: Arc<Mutex<CallStats>>,
) {
    for _ in 0..=REPEATS {
        let entry = fastrand::choice(lock(&entries).running.iter().copied());
        let Some((i, address)) = entry else { return };
        let started = Instant::now();
        let (mut outcome, latency) = caller.call(address, &spec).await;
        let killed = lock(&entries).killed.get(&i).is_some_and(|at| *at >= started);
        // The caller's connection to a killed node breaks with the node: not a truncated answer.
        if killed && outcome == Outcome::Cut {
            outcome = Outcome::Broken;
        }
        let at_most_once = kind != "read";
        lock(&stats).add(rank, &spec.id, at_most_once, outcome, latency, Duration::from_secs(1));
        let unanswered = !matches!(outcome, Outcome::Answered | Outcome::Crossed | Outcome::Cut);
        if kind != "keyed" || !unanswered {
            return;
        }
        tokio::time::sleep(Duration::from_millis(REPEAT_PAUSE_MS)).await;
    }
}
