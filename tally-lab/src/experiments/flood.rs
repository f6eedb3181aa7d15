//! What each rank keeps while one floods in far beyond capacity.

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

/// Share of capacity that each rank offers when it does not flood.
const BASE_LOAD: [f64; 3] = [0.5, 0.15, 0.075];

/// Targets of the ranks, as the document sets them, in milliseconds.
const TARGETS_MS: [u64; 3] = [250, 1000, 5000];

/// Floors of the ranks, as the document sets them.
const FLOORS: [f64; 3] = [0.0, 0.1, 0.05];

/// Time that one call takes at an upstream, in milliseconds.
const SERVICE_MS: f64 = 100.0;

/// Share of urgent calls that must be on time in a flood of lesser ones.
const URGENT_ON_TIME_BOUND: f64 = 0.99;

/// Share of capacity that must be used in a flood of the most urgent calls.
const GOODPUT_BOUND: f64 = 0.95;

/// A deployment of the brief.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Site {
    /// 4 instances of booking with 12 slots.
    Fjordleik,
    /// 5 instances of the orders registry with 6 slots.
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

    /// Returns the calls per second that all instances can run.
    fn capacity(self) -> f64 {
        self.instances() as f64 * f64::from(self.slots()) * 1000.0 / SERVICE_MS
    }
}

/// Choices of the experiment.
#[derive(Debug, Clone)]
pub struct Options {
    /// The deployment.
    pub site: Site,
    /// How calls are ordered and limited beside the upstreams.
    pub policy: Policy,
    /// The rank that floods, `urgent` or `least`, or `least-then-urgent` with half of the
    /// upstreams killed between.
    pub flood: String,
    /// Offered load of the flooding rank, in multiples of capacity.
    pub load: f64,
    /// Length of the flood, in seconds.
    pub seconds: u64,
    /// Whether retries are bounded to a share of the calls.
    pub retry_budget: bool,
    /// Whether the entry refuses early.
    pub throttle: bool,
    /// Whether a refusal names a less loaded node.
    pub redirects: bool,
    /// Seed of random choices.
    pub seed: u64,
}

/// Runs the experiment.
pub async fn run(options: Options) -> Result<Report, String> {
    let record = Arc::new(Record::default());
    let mut fleet = start(&options, &record).await?;
    let quiet = load(&fleet, &options, "quiet", None, 1.0).run(Duration::from_secs(4)).await;
    let length = Duration::from_secs(options.seconds);
    let mut phases = Vec::new();
    if options.flood == "least-then-urgent" {
        phases.push(flood(&fleet, &options, "least", 1.0, length, &quiet, &record).await);
        let left = kill_half(&mut fleet).await;
        phases.push(flood(&fleet, &options, "urgent", left, length, &quiet, &record).await);
    } else {
        phases.push(flood(&fleet, &options, &options.flood, 1.0, length, &quiet, &record).await);
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
            // Without limits beside it, the upstream takes what comes.
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
    let up = fleet.wait_version(version, limit).await
        && fleet.wait_endpoints(site.service(), site.instances(), limit).await;
    // Past the slow start of fresh endpoints.
    tokio::time::sleep(Duration::from_secs(5)).await;
    up.then_some(fleet).ok_or_else(|| "the fleet did not come up".to_owned())
}

/// Prepares the load of all ranks; one of them may flood.
fn load(
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
            // The measure of a quiet system is urgent calls alone.
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

async fn flood(
    fleet: &Fleet,
    options: &Options,
    rank: &str,
    share: f64,
    length: Duration,
    quiet: &CallStats,
    record: &Record,
) -> Value {
    let stats = load(fleet, options, rank, Some(rank), share).run(length).await;
    judge(options, rank, share, &stats, quiet, length.as_secs_f64(), record)
}

/// Kills the upstreams of the second half of the VMs, whose nodes stay; returns the share of
/// capacity that is left.
async fn kill_half(fleet: &mut Fleet) -> f64 {
    let half = fleet.vms.len().div_ceil(2);
    for vm in &mut fleet.vms[half..] {
        if let Some(upstream) = vm.upstream.take() {
            upstream.stop().await;
        }
    }
    half as f64 / fleet.vms.len() as f64
}

fn judge(
    options: &Options,
    flood: &str,
    share: f64,
    stats: &CallStats,
    quiet: &CallStats,
    seconds: f64,
    record: &Record,
) -> Value {
    let capacity = options.site.capacity() * share;
    let ranks: Vec<_> = RANKS.iter().map(|r| stats.rank(r)).collect();
    let answered: u64 = ranks.iter().map(crate::load::RankStats::answered).sum();
    let goodput = stats.on_time_in_window() as f64 / seconds;
    let urgent = &ranks[0];
    let urgent_share = urgent.on_time() as f64 / urgent.offered().max(1) as f64;
    let quiet_p99 = quiet.rank(RANKS[0]).quantile_ms(0.99);
    let delay = urgent.quantile_ms(0.99) - quiet_p99;
    let violations = stats.violations(record);
    let floors_kept = (1..3).all(|i| {
        let kept = FLOORS[i] * answered as f64;
        ranks[i].answered() as f64 >= kept.min(ranks[i].offered() as f64)
    });
    let served = match flood {
        "least" => urgent_share >= URGENT_ON_TIME_BOUND && delay <= SERVICE_MS,
        _ => goodput >= GOODPUT_BOUND * capacity && floors_kept,
    };
    let mut figures = json!({
        "flood": flood,
        "capacity_per_s": capacity,
        "goodput_per_s": rounded(goodput),
        "goodput_share": rounded(goodput / capacity),
        "urgent_on_time_share": rounded(urgent_share),
        "urgent_quiet_p99_ms": rounded(quiet_p99),
        "urgent_p99_delay_ms": rounded(delay),
        "floors_kept": floors_kept,
        "may_have_run": stats.may_have_run(),
        "broken": stats.broken(),
        "ranks": RANKS.iter().zip(&ranks).map(|(n, r)| ((*n).to_owned(), r.figures())).collect::<serde_json::Map<_, _>>(),
        "held": served && violations.is_empty(),
    });
    violations.add_to(&mut figures);
    figures
}
