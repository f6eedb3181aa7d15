//! Uploads beyond what the link of an upstream's VM carries, with short calls to the same VM, new
//! versions and restarts of other nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use goldcresttally_core::BitRate;
use goldcresttally_standin::upstream::{Behaviour, Record};
use hdrhistogram::Histogram;
use http::Method;
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::documents;
use crate::fleet::{Direction, Fleet, FleetOptions, VmLocation};
use crate::load::{CallSpec, Caller, Outcome};
use crate::output::{Report, rounded};

/// Rate of the links of all VMs.
const LINK: BitRate = BitRate(11_000_000);

/// Uploads offered, in multiples of what the link carries.
const LOADS: [f64; 4] = [0.5, 0.9, 1.5, 2.5];

/// Length of an upload, in bytes.
const UPLOAD_BYTES: usize = 60_000;

/// Service times of an upload and of a short call, in milliseconds.
const UPLOAD_SERVICE_MS: f64 = 100.0;
const SHORT_SERVICE_MS: f64 = 10.0;

/// Targets of an upload and of a short call, in milliseconds.
const UPLOAD_TARGET_MS: u64 = 1000;
const SHORT_TARGET_MS: u64 = 250;

/// Short calls per second.
const SHORT_RATE: f64 = 50.0;

/// The VM with the upstreams; the others are entries.
const UPSTREAM_VM: usize = 4;
const VMS: usize = 6;

/// The VM whose node is restarted again and again.
const RESTARTED_VM: usize = 5;

/// Interval of new versions, in milliseconds.
const VERSION_INTERVAL_MS: u64 = 1000;

/// Bounds at the highest load: time to force at the 99th percentile, share of short calls on time,
/// and share of the link that carries uploads which are on time.
const FORCE_BOUND_MS: u64 = 1000;
const SHORT_ON_TIME_BOUND: f64 = 0.95;
const LINK_USE_BOUND: f64 = 0.85;

/// Options of the experiment.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Duration at each load, in seconds.
    pub seconds: u64,
    /// Seed of the random number generators.
    pub seed: u64,
}

/// What the callers of one kind of call saw.
#[derive(Debug, Default, Clone, Copy)]
struct Seen {
    offered: u64,
    on_time: u64,
    late: u64,
    refused: u64,
    failed: u64,
}

impl Seen {
    fn add(&mut self, (outcome, latency): (Outcome, Duration), target_ms: u64) {
        self.offered += 1;
        match outcome {
            Outcome::Answered if latency <= Duration::from_millis(target_ms) => self.on_time += 1,
            Outcome::Answered => self.late += 1,
            Outcome::NotRun => self.refused += 1,
            _ => self.failed += 1,
        }
    }

    fn figures(&self) -> Value {
        let Self { offered, on_time, late, refused, failed } = self;
        json!({ "offered": offered, "on_time": on_time, "late": late, "refused": refused,
                "failed": failed })
    }
}

/// Runs the experiment; fails if the fleet cannot be set up.
pub async fn run(options: Options) -> Result<Report, String> {
    let mut rows = Vec::new();
    let mut ok = true;
    for load in LOADS {
        let (figures, held) = play(load, options).await?;
        ok &= held;
        rows.push(figures);
    }
    let figures = json!({
        "experiment": "link",
        "seed": options.seed,
        "link_mbit_s": LINK.0 as f64 / 1e6,
        "loads": rows,
    });
    Ok(Report { ok, figures })
}

async fn play(load: f64, options: Options) -> Result<(Value, bool), String> {
    let mut fleet = start(options.seed).await?;
    let vm = fleet.vms[UPSTREAM_VM].location.ip();
    let entries: Vec<_> = fleet.vms[..UPSTREAM_VM].iter().map(|vm| vm.location.calls()).collect();
    let connections = fleet.network.connections_opened();
    let bytes = fleet.network.links().bytes(vm, Direction::In);
    let per_s = load * LINK.bytes_per_s() as f64 / UPLOAD_BYTES as f64;
    let duration = Duration::from_secs(options.seconds);
    let started = Instant::now();
    let upload = Bytes::from(vec![b'u'; UPLOAD_BYTES]);
    let uploads = send(entries.clone(), "intake", upload, per_s, UPLOAD_TARGET_MS, duration);
    let short = send(entries, "verify", Bytes::new(), SHORT_RATE, SHORT_TARGET_MS, duration);
    let (uploads, short) = (tokio::spawn(uploads), tokio::spawn(short));
    let force_ms = change(&mut fleet, duration).await?;
    let uploads = uploads.await.map_err(|e| e.to_string())?;
    let short = short.await.map_err(|e| e.to_string())?;
    // The last uploads end after the time in which they are offered.
    let capacity = started.elapsed().as_secs_f64() * LINK.bytes_per_s() as f64;
    let in_time = uploads.on_time as f64 * UPLOAD_BYTES as f64 / capacity;
    let passed = (fleet.network.links().bytes(vm, Direction::In) - bytes) as f64;
    let opened = fleet.network.connections_opened() - connections;
    fleet.shut_down().await;
    let short_share = short.on_time as f64 / short.offered.max(1) as f64;
    let held = uploads.failed == 0
        && force_ms.value_at_quantile(0.99) <= FORCE_BOUND_MS
        && short_share >= SHORT_ON_TIME_BOUND
        && in_time >= LINK_USE_BOUND.min(0.9 * load);
    let figures = json!({
        "load": load,
        "uploads": uploads.figures(),
        "short_calls": short.figures(),
        "short_on_time": rounded(short_share),
        "link_use": rounded(passed / capacity),
        "link_use_in_time": rounded(in_time),
        "force_p50_ms": force_ms.value_at_quantile(0.5),
        "force_p99_ms": force_ms.value_at_quantile(0.99),
        "force_max_ms": force_ms.max(),
        "connections_opened": opened,
        "held": held,
    });
    Ok((figures, held))
}

async fn start(seed: u64) -> Result<Fleet, String> {
    let options = FleetOptions { link: LINK, ..FleetOptions::default() };
    let fleet = Fleet::start(options, VmLocation::spread(VMS, 1), seed).await;
    let mut fleet = fleet.map_err(|e| e.to_string())?;
    for vm in &fleet.vms {
        fleet.network.links().shape(vm.location.ip(), LINK);
    }
    let record = Arc::new(Record::default());
    let ip = fleet.vms[UPSTREAM_VM].location.clone();
    for (service, service_ms, port) in
        [("intake", UPLOAD_SERVICE_MS, 0), ("verify", SHORT_SERVICE_MS, 1)]
    {
        let behaviour = Behaviour { slots: 64, service_ms, ..Behaviour::default() };
        let mut address = ip.upstream();
        address.set_port(address.port() + port);
        fleet.add_upstream(UPSTREAM_VM, address, service, behaviour, &record).await?;
    }
    fleet.put_section(0, "ranks", &documents::ranks_section()).await?;
    for service in ["intake", "verify"] {
        let section = documents::service_section(service, 1500, 4096);
        fleet.put_section(0, service, &section).await?;
    }
    let version = fleet.accept(0).await?;
    let limit = Duration::from_secs(20);
    let ready = fleet.wait_version(version, limit).await
        && fleet.wait_endpoints("intake", 1, limit).await
        && fleet.wait_endpoints("verify", 1, limit).await;
    if ready { Ok(fleet) } else { Err("the fleet did not become ready".to_owned()) }
}

/// Sends calls with `body` at a fixed rate through the entries in turn.
async fn send(
    entries: Vec<SocketAddr>,
    service: &'static str,
    body: Bytes,
    per_s: f64,
    target_ms: u64,
    duration: Duration,
) -> Seen {
    let mut seen = Seen::default();
    let mut calls = JoinSet::new();
    let mut ticks = interval(Duration::from_secs_f64(1.0 / per_s));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let caller = Caller::default();
    let method = if body.is_empty() { Method::GET } else { Method::POST };
    let access = if body.is_empty() { "read" } else { "write" };
    for n in 0..(per_s * duration.as_secs_f64()) as usize {
        ticks.tick().await;
        let spec = CallSpec {
            id: format!("{service}-{n}"),
            path: format!("/{service}/normal/{access}"),
            method: method.clone(),
            body: body.clone(),
            ..CallSpec::default()
        };
        let (caller, entry) = (caller.clone(), entries[n % entries.len()]);
        calls.spawn(async move { caller.call(entry, &spec).await });
    }
    while let Some(Ok(ended)) = calls.join_next().await {
        seen.add(ended, target_ms);
    }
    seen
}

/// Accepts a version each second and restarts a node every other second; returns the times until
/// the versions are in force on the upstreams' VM, in milliseconds.
async fn change(fleet: &mut Fleet, duration: Duration) -> Result<Histogram<u64>, String> {
    let mut times = Histogram::new(3).map_err(|e| e.to_string())?;
    let end = Instant::now() + duration;
    let mut n = 0;
    while Instant::now() < end {
        let next = Instant::now() + Duration::from_millis(VERSION_INTERVAL_MS);
        n += 1;
        fleet.put_section(0, "filler", &documents::filler_section("filler", n)).await?;
        let version = fleet.accept(0).await?;
        let accepted = Instant::now();
        let limit = Duration::from_secs(5);
        fleet.wait(limit, |fleet| fleet.version(UPSTREAM_VM) >= version).await;
        times.saturating_record(accepted.elapsed().as_millis() as u64);
        if n % 2 == 0 {
            fleet.kill_node(RESTARTED_VM).await;
            fleet.start_node(RESTARTED_VM).await.map_err(|e| e.to_string())?;
        }
        tokio::time::sleep_until(next).await;
    }
    Ok(times)
}
