//! Goodput and latency of each rank while one rank offers far more than capacity.

use std::sync::Arc;
use std::time::Duration;

use goldcresttally_admission::Policy;
use goldcresttally_core::text_enum;
use goldcresttally_proxy::entry;
use goldcresttally_standin::upstream::{Behaviour, Record};
use serde_json::{Value, json};

use crate::documents::{self, RANKS};
use crate::fleet::{Fleet, FleetOptions, VmLocation};
use crate::load::{CallStats, CallStream, PoissonLoad};
use crate::output::{Report, rounded};

/// Offered load of each rank when it does not flood, as a share of capacity.
const BASE_LOAD: [f64; 3] = [0.5, 0.15, 0.075];

/// Target latencies of the ranks in [`documents::ranks_section`], in milliseconds.
const TARGETS_MS: [u64; 3] = [250, 1000, 5000];

/// Floor shares of the ranks in [`documents::ranks_section`].
const FLOORS: [f64; 3] = [0.0, 0.1, 0.05];

/// Service time of a call at an upstream, in milliseconds.
const SERVICE_MS: f64 = 100.0;

/// Minimum share of urgent calls on time in a flood of the least urgent rank.
const URGENT_ON_TIME_BOUND: f64 = 0.99;

/// Minimum goodput in a flood of urgent calls, as a share of capacity.
const GOODPUT_BOUND: f64 = 0.95;

/// Deployment that is modelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Site {
    /// 4 instances of the booking service with 12 slots each.
    Fjordleik,
    /// 5 instances of the orders service with 6 slots each.
    Agency,
}

text_enum!(Site, "site", "fjordleik or agency", Fjordleik = "fjordleik", Agency = "agency",);

impl Site {
    fn instances(self) -> usize {
        match self {
            Self::Fjordleik => 4,
            Self::Agency => 5,
        }
    }

    fn slots(self) -> u32 {
        match self {
            Self::Fjordleik => 12,
            Self::Agency => 6,
        }
    }

    fn service(self) -> &'static str {
        match self {
            Self::Fjordleik => "booking",
            Self::Agency => "orders",
        }
    }

    /// Returns the capacity of all instances, in calls per second.
    fn capacity(self) -> f64 {
        self.instances() as f64 * f64::from(self.slots()) * 1000.0 / SERVICE_MS
    }
}

/// Options of the experiment.
#[derive(Debug, Clone)]
pub struct Options {
    /// Deployment that is modelled.
    pub site: Site,
    /// Admission policy beside the upstreams.
    pub policy: Policy,
    /// Rank that floods: `urgent`, `least`, or `least-then-urgent` with half of the upstreams
    /// stopped in between.
    pub flood: String,
    /// Offered load of the flooding rank, in multiples of capacity.
    pub load: f64,
    /// Duration of each flood, in seconds.
    pub seconds: u64,
    /// Whether retries are limited to a share of the calls.
    pub retry_budget: bool,
    /// Whether the entry throttles calls that the upstreams would refuse.
    pub throttle: bool,
    /// Whether a refusal names a less loaded node.
    pub redirects: bool,
    /// Seed of the random number generators.
    pub seed: u64,
}

/// Runs the experiment; fails if the fleet cannot be set up.
pub async fn run(options: Options) -> Result<Report, String> {
    let record = Arc::new(Record::default());
    let mut fleet = start(&options, &record).await?;
    let baseline =
        build_load(&fleet, &options, "quiet", None, 1.0).run(Duration::from_secs(4)).await;
    let duration = Duration::from_secs(options.seconds);
    let mut phases = Vec::new();
    if options.flood == "least-then-urgent" {
        phases.push(run_phase(&fleet, &options, "least", 1.0, duration, &baseline, &record).await);
        let remaining = stop_half_of_upstreams(&mut fleet).await;
        phases.push(
            run_phase(&fleet, &options, "urgent", remaining, duration, &baseline, &record).await,
        );
    } else {
        phases.push(
            run_phase(&fleet, &options, &options.flood, 1.0, duration, &baseline, &record).await,
        );
    }
    let ok = phases.iter().all(|p| p["held"] == true);
    let figures = json!({
        "experiment": "flood",
        "site": options.site.to_string(),
        "policy": options.policy.to_string(),
        "load": options.load,
        "retry_budget": options.retry_budget,
        "throttle": options.throttle,
        "redirects": options.redirects,
        "seed": options.seed,
        "capacity_per_s": options.site.capacity(),
        "phases": phases,
    });
    fleet.shut_down().await;
    Ok(Report { ok, figures })
}

async fn start(options: &Options, record: &Arc<Record>) -> Result<Fleet, String> {
    let site = options.site;
    let entry = entry::Options {
        throttle: options.throttle,
        retry_budget: options.retry_budget,
        ..entry::Options::default()
    };
    let fleet_options = FleetOptions {
        policy: options.policy,
        entry,
        redirects: options.redirects,
        ..FleetOptions::default()
    };
    let locations = VmLocation::spread(site.instances(), 3);
    let fleet = Fleet::start(fleet_options, locations, options.seed).await;
    let mut fleet = fleet.map_err(|e| e.to_string())?;
    for i in 0..site.instances() {
        let behaviour = Behaviour {
            slots: site.slots(),
            // The FIFO policy has no admission limit, so the upstream queues every call.
            backlog: if options.policy == Policy::Fifo { u32::MAX / 2 } else { site.slots() },
            service_ms: SERVICE_MS,
            ..Behaviour::default()
        };
        let started = fleet.start_upstream(i, site.service(), behaviour, record).await;
        started.map_err(|e| e.to_string())?;
    }
    fleet.put_section(0, "ranks", &documents::ranks_section()).await?;
    let section = documents::service_section(site.service(), 5000, 256);
    fleet.put_section(0, site.service(), &section).await?;
    let version = fleet.accept(0).await?;
    let limit = Duration::from_secs(20);
    let ready = fleet.wait_version(version, limit).await
        && fleet.wait_endpoints(site.service(), site.instances(), limit).await;
    // Waits until the slow start of new endpoints is over.
    tokio::time::sleep(Duration::from_secs(5)).await;
    ready.then_some(fleet).ok_or_else(|| "the fleet did not become ready".to_owned())
}

/// Builds the load of all ranks with `flood` as the flooding one, or only the base load of urgent
/// calls if there is none; `share` is the share of capacity that is available.
fn build_load(
    fleet: &Fleet,
    options: &Options,
    label: &str,
    flood: Option<&str>,
    share: f64,
) -> PoissonLoad {
    let capacity = options.site.capacity() * share;
    let mut streams = Vec::new();
    for (i, rank) in RANKS.into_iter().enumerate() {
        let rate = match flood {
            Some(f) if f == rank => options.load * capacity,
            Some(_) => BASE_LOAD[i] * capacity,
            // The baseline latency is that of urgent calls alone.
            None if i == 0 => BASE_LOAD[0] * capacity,
            None => continue,
        };
        for kind in ["read", "write"] {
            streams.push(CallStream {
                service: options.site.service().to_owned(),
                rank,
                kind,
                rate: rate / 2.0,
                target: Duration::from_millis(TARGETS_MS[i]),
            });
        }
    }
    let running = fleet.vms.iter().filter(|vm| vm.node.is_some());
    let entries = running.map(|vm| vm.location.calls()).collect();
    PoissonLoad { streams, entries, label: label.to_owned(), seed: options.seed }
}

async fn run_phase(
    fleet: &Fleet,
    options: &Options,
    rank: &str,
    share: f64,
    duration: Duration,
    baseline: &CallStats,
    record: &Record,
) -> Value {
    let stats = build_load(fleet, options, rank, Some(rank), share).run(duration).await;
    evaluate(options, rank, share, &stats, baseline, duration.as_secs_f64(), record)
}

/// Stops the upstreams of the second half of the VMs, whose nodes keep running; returns the share
/// of capacity that remains.
async fn stop_half_of_upstreams(fleet: &mut Fleet) -> f64 {
    let half = fleet.vms.len().div_ceil(2);
    for vm in &mut fleet.vms[half..] {
        if let Some(upstream) = vm.upstream.take() {
            upstream.stop().await;
        }
    }
    half as f64 / fleet.vms.len() as f64
}

/// Returns the figures of a flood; `held` says whether its bounds and all invariants held.
fn evaluate(
    options: &Options,
    flood: &str,
    share: f64,
    stats: &CallStats,
    baseline: &CallStats,
    seconds: f64,
    record: &Record,
) -> Value {
    let capacity = options.site.capacity() * share;
    let ranks: Vec<_> = RANKS.iter().map(|r| stats.rank(r)).collect();
    let answered: u64 = ranks.iter().map(crate::load::RankStats::answered).sum();
    let goodput = stats.on_time_in_window() as f64 / seconds;
    let urgent = &ranks[0];
    let urgent_share = urgent.on_time() as f64 / urgent.offered().max(1) as f64;
    let baseline_p99 = baseline.rank(RANKS[0]).quantile_ms(0.99);
    let added_delay = urgent.quantile_ms(0.99) - baseline_p99;
    let violations = stats.violations(record);
    let floors_kept = (1..3).all(|i| {
        let min_answered = FLOORS[i] * answered as f64;
        ranks[i].answered() as f64 >= min_answered.min(ranks[i].offered() as f64)
    });
    let within_bounds = match flood {
        "least" => urgent_share >= URGENT_ON_TIME_BOUND && added_delay <= SERVICE_MS,
        _ => goodput >= GOODPUT_BOUND * capacity && floors_kept,
    };
    let mut figures = json!({
        "flood": flood,
        "capacity_per_s": capacity,
        "goodput_per_s": rounded(goodput),
        "goodput_share": rounded(goodput / capacity),
        "urgent_on_time_share": rounded(urgent_share),
        "urgent_quiet_p99_ms": rounded(baseline_p99),
        "urgent_p99_delay_ms": rounded(added_delay),
        "floors_kept": floors_kept,
        "may_have_run": stats.may_have_run(),
        "broken": stats.broken(),
        "ranks": RANKS.iter().zip(&ranks).map(|(n, r)| ((*n).to_owned(), r.figures())).collect::<serde_json::Map<_, _>>(),
        "held": within_bounds && violations.is_empty(),
    });
    violations.add_to(&mut figures);
    figures
}
