//! Latency that the path through two nodes adds to a direct call, and calls per core.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use goldcresttally_standin::Upstream;
use goldcresttally_standin::upstream::{Announce, Behaviour, Record};
use hdrhistogram::Histogram;
use http::Method;
use serde_json::{Value, json};
use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::documents;
use crate::fleet::{Fleet, FleetOptions, VmLocation};
use crate::load::{CallSpec, Caller, Outcome};
use crate::output::{Report, rounded};
use crate::usage::node_cpu_s;

/// Call rates through one entry node, per second.
const RATES: [u64; 3] = [50, 500, 2000];

/// Rate of calls with idempotency keys, per second.
const KEYED_RATE: u64 = 200;

/// Bound on the added latency at the 99th percentile, in milliseconds.
const ADDED_BOUND_MS: f64 = 0.5;

/// Concurrent callers in the saturation measurement.
const SATURATING_CALLERS: usize = 128;

/// Duration of the saturation measurement, in seconds.
const SATURATED_S: u64 = 4;

/// Options of the experiment.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Duration at each rate, in seconds.
    pub seconds: u64,
    /// Seed of the random number generators.
    pub seed: u64,
}

/// Latencies of direct calls and of calls through two nodes, in units of 0.1 µs.
struct HopLatencies {
    direct: Histogram<u64>,
    through: Histogram<u64>,
    failed: u64,
}

/// Runs the experiment; fails if the fleet cannot be set up.
pub async fn run(options: Options) -> Result<Report, String> {
    let locations = VmLocation::spread(2, 1);
    let fleet = Fleet::start(FleetOptions::default(), locations, options.seed).await;
    let fleet = fleet.map_err(|e| e.to_string())?;
    // The upstream runs on its own thread, as in production it is a separate process.
    let upstream_runtime = spawn_runtime_thread("upstream")?;
    let started = upstream_runtime.handle.spawn(start_upstream(fleet.vms[1].location.clone()));
    let echo_upstream = started.await.map_err(|e| e.to_string())?.map_err(|e| e.to_string())?;
    fleet.put_section(0, "ranks", &documents::ranks_section()).await?;
    fleet.put_section(0, "echo", &documents::service_section("echo", 3000, 4096)).await?;
    let version = fleet.accept(0).await?;
    let limit = Duration::from_secs(10);
    if !(fleet.wait_version(version, limit).await && fleet.wait_endpoints("echo", 1, limit).await) {
        return Err("the fleet did not become ready".to_owned());
    }
    let (entry, upstream) = (fleet.vms[0].location.calls(), fleet.vms[1].location.upstream());
    let callers = spawn_runtime_thread("callers")?;
    let mut rows = Vec::new();
    let mut ok = true;
    for rate in RATES {
        let measured = callers.handle.spawn(measure_hop(entry, upstream, rate, options.seconds));
        let hop_latencies = measured.await.map_err(|e| e.to_string())?;
        let row = hop_latencies.figures(rate);
        ok &= hop_latencies.failed == 0 && hop_latencies.added_ms(0.99) <= ADDED_BOUND_MS;
        rows.push(row);
    }
    let writes = fleet.platform.stats().writes;
    let keyed = callers.handle.spawn(measure_keyed(entry, options.seconds));
    let keyed = keyed.await.map_err(|e| e.to_string())?;
    let writes = fleet.platform.stats().writes - writes;
    let saturated = saturate(entry).await;
    let figures = json!({
        "experiment": "hop",
        "seed": options.seed,
        "rates": rows,
        "keyed": {
            "calls_per_s": KEYED_RATE,
            "p50_ms": rounded(keyed.value_at_quantile(0.5) as f64 / 10_000.0),
            "p99_ms": rounded(keyed.value_at_quantile(0.99) as f64 / 10_000.0),
            "table_writes_per_s": rounded(writes as f64 / options.seconds as f64),
        },
        "saturated": saturated,
    });
    let stopped = upstream_runtime.handle.spawn(echo_upstream.stop());
    stopped.await.map_err(|e| e.to_string())?;
    fleet.shut_down().await;
    Ok(Report { ok, figures })
}

/// Handle of a runtime on its own thread, which stops when this is dropped.
struct RuntimeThread {
    handle: Handle,
    _stop: oneshot::Sender<()>,
}

fn spawn_runtime_thread(name: &str) -> Result<RuntimeThread, String> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    let handle = runtime.handle().clone();
    let (stop, stopped) = oneshot::channel::<()>();
    let run = move || {
        // Ends with an error when the sender is dropped; nothing is ever sent.
        let _ = runtime.block_on(stopped);
    };
    let thread = std::thread::Builder::new().name(name.to_owned());
    thread.spawn(run).map_err(|e| e.to_string())?;
    Ok(RuntimeThread { handle, _stop: stop })
}

async fn start_upstream(location: VmLocation) -> std::io::Result<Upstream> {
    let behaviour = Behaviour { slots: 4096, service_ms: 0.0, ..Behaviour::default() };
    let announce = Announce { node: location.operator(), service: "echo".to_owned() };
    let record = Arc::new(Record::default());
    Upstream::start(location.upstream(), behaviour, Some(announce), record).await
}

/// Alternates between direct calls and calls through two nodes, each at `rate` per second.
async fn measure_hop(
    entry: SocketAddr,
    upstream: SocketAddr,
    rate: u64,
    seconds: u64,
) -> HopLatencies {
    let mut hop_latencies = HopLatencies { direct: histogram(), through: histogram(), failed: 0 };
    let caller = Caller::default();
    let mut calls = JoinSet::new();
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(0.5 / rate as f64));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Burst);
    for n in 0..rate * seconds * 2 {
        ticks.tick().await;
        let through = n % 2 == 0;
        let (caller, target) = (caller.clone(), if through { entry } else { upstream });
        calls.spawn(async move {
            let spec = CallSpec {
                id: format!("hop-{rate}-{n}"),
                path: "/echo/urgent/read".to_owned(),
                method: Method::GET,
                body: Bytes::new(),
                ..CallSpec::default()
            };
            (through, caller.call(target, &spec).await)
        });
        while let Some(Ok(ended)) = calls.try_join_next() {
            hop_latencies.add(ended);
        }
    }
    while let Some(Ok(ended)) = calls.join_next().await {
        hop_latencies.add(ended);
    }
    hop_latencies
}

/// Makes calls with idempotency keys through two nodes; returns latencies in units of 0.1 µs.
async fn measure_keyed(entry: SocketAddr, seconds: u64) -> Histogram<u64> {
    let mut latencies = histogram();
    let caller = Caller::default();
    let mut calls = JoinSet::new();
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / KEYED_RATE as f64));
    for n in 0..KEYED_RATE * seconds {
        ticks.tick().await;
        let caller = caller.clone();
        calls.spawn(async move {
            let spec = CallSpec {
                id: format!("keyed-{n}"),
                path: "/echo/urgent/keyed".to_owned(),
                method: Method::POST,
                key: Some(format!("key-{n}")),
                ..CallSpec::default()
            };
            caller.call(entry, &spec).await
        });
    }
    while let Some(Ok((outcome, latency))) = calls.join_next().await {
        if outcome == Outcome::Answered {
            latencies.saturating_record(latency.as_nanos() as u64 / 100);
        }
    }
    latencies
}

impl HopLatencies {
    fn add(&mut self, (through, (outcome, latency)): (bool, (Outcome, Duration))) {
        self.failed += u64::from(outcome != Outcome::Answered);
        let histogram = if through { &mut self.through } else { &mut self.direct };
        histogram.saturating_record(latency.as_nanos() as u64 / 100);
    }

    fn added_ms(&self, q: f64) -> f64 {
        let ms = |h: &Histogram<u64>| h.value_at_quantile(q) as f64 / 10_000.0;
        ms(&self.through) - ms(&self.direct)
    }

    fn figures(&self, rate: u64) -> Value {
        let ms = |h: &Histogram<u64>, q| rounded(h.value_at_quantile(q) as f64 / 10_000.0);
        json!({
            "calls_per_s": rate,
            "direct_p50_ms": ms(&self.direct, 0.5),
            "direct_p99_ms": ms(&self.direct, 0.99),
            "through_p50_ms": ms(&self.through, 0.5),
            "through_p99_ms": ms(&self.through, 0.99),
            "added_p50_ms": rounded(self.added_ms(0.5)),
            "added_p99_ms": rounded(self.added_ms(0.99)),
            "failed": self.failed,
        })
    }
}

/// Measures calls per second and per core of both nodes under closed-loop load.
async fn saturate(entry: SocketAddr) -> Value {
    let deadline = Instant::now() + Duration::from_secs(SATURATED_S);
    let (cpu_before, started) = (node_cpu_s(), Instant::now());
    let mut callers = JoinSet::new();
    for c in 0..SATURATING_CALLERS {
        callers.spawn(async move {
            let caller = Caller::default();
            let mut answered = 0u64;
            while Instant::now() < deadline {
                let spec = CallSpec {
                    id: format!("saturate-{c}-{answered}"),
                    path: "/echo/urgent/read".to_owned(),
                    method: Method::GET,
                    ..CallSpec::default()
                };
                let (outcome, _) = caller.call(entry, &spec).await;
                answered += u64::from(outcome == Outcome::Answered);
            }
            answered
        });
    }
    let mut answered = 0;
    while let Some(Ok(count)) = callers.join_next().await {
        answered += count;
    }
    let cpu = node_cpu_s() - cpu_before;
    let rate = answered as f64 / started.elapsed().as_secs_f64();
    json!({
        "calls_per_s": rounded(rate),
        "node_cores": rounded(cpu / started.elapsed().as_secs_f64()),
        "calls_per_core_s": rounded(answered as f64 / cpu.max(1e-9)),
    })
}

fn histogram() -> Histogram<u64> {
    let histogram = Histogram::new_with_bounds(1, 600_000_000, 3);
    // The bounds are valid constants.
    histogram.unwrap_or_else(|_| unreachable!("valid histogram bounds"))
}
