//! Burn rates over several windows and the error budget that is left.
//!
//! A burn rate of 1 uses up the budget exactly within its period; alerting on two windows at once
//! follows "The Site Reliability Workbook" (Beyer et al., 2018), chapter 5.

use goldcresttally_core::{Map, RankName, ServiceName};
use serde::{Deserialize, Serialize};

use crate::summary::{RETENTION_MINUTES, Series, Summary};

/// Windows over which burn rates are given, in minutes.
pub const WINDOWS_MINUTES: [usize; 4] = [5, 30, 60, 360];

/// Burn rate over 5 minutes and an hour that calls for somebody at once.
const PAGE_RATE: f64 = 14.4;

/// Burn rate over 30 minutes and 6 hours that calls for somebody soon.
const TICKET_RATE: f64 = 6.0;

/// One service and rank.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// The service.
    pub service: ServiceName,
    /// The rank.
    pub rank: RankName,
    /// Share of calls that should be answered well and in time.
    pub objective: f64,
    /// Calls of the last 6 hours.
    pub calls: u64,
    /// Calls that were not answered well and in time.
    pub bad: u64,
    /// Burn rates over the windows of `WINDOWS_MINUTES`.
    pub burn: [f64; 4],
    /// Share of the budget of the last 6 hours that is left; negative when it is overdrawn.
    pub budget_left: f64,
    /// Median latency, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of latency, in milliseconds.
    pub p99_ms: f64,
    /// `page`, `ticket` or `ok`.
    pub alert: String,
    /// Burn rate of each minute, the current one first, for the plot.
    pub minutes: Vec<f64>,
}

/// The burn of all services and ranks.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// The configuration version whose objectives were used.
    pub version: u64,
    /// Nodes whose calls are counted.
    pub nodes: usize,
    /// Nodes that did not answer.
    pub missing: Vec<String>,
    /// The rows, ordered by service and rank.
    pub rows: Vec<BurnRow>,
}

impl BurnReport {
    /// Computes the report from what was seen and the objective of each service.
    pub fn new(version: u64, summary: &Summary, objectives: &Map<ServiceName, f64>) -> Self {
        let row = |s: &Series| {
            let objective = objectives.get(&s.service).copied().unwrap_or(0.99);
            burn_row(s, objective)
        };
        Self { version, rows: summary.series().iter().map(row).collect(), ..Self::default() }
    }
}

fn burn_row(series: &Series, objective: f64) -> BurnRow {
    let budget = (1.0 - objective).max(1e-9);
    let rate = |minutes: usize| bad_share(series, 0, minutes) / budget;
    let burn = WINDOWS_MINUTES.map(rate);
    let calls: u64 = series.calls.iter().sum();
    let bad = calls - series.good.iter().sum::<u64>().min(calls);
    let paged = burn[0] >= PAGE_RATE && burn[2] >= PAGE_RATE;
    let ticketed = burn[1] >= TICKET_RATE && burn[3] >= TICKET_RATE;
    let alert = match (paged, ticketed) {
        (true, _) => "page",
        (false, true) => "ticket",
        (false, false) => "ok",
    };
    let quantile_ms = |q| series.latency_us.value_at_quantile(q) as f64 / 1000.0;
    BurnRow {
        service: series.service.clone(),
        rank: series.rank.clone(),
        objective,
        calls,
        bad,
        budget_left: 1.0 - burn[3],
        burn,
        p50_ms: quantile_ms(0.5),
        p99_ms: quantile_ms(0.99),
        alert: alert.to_owned(),
        minutes: (0..60).map(|age| bad_share(series, age, 1) / budget).collect(),
    }
}

/// Returns the share of bad calls among those of `count` minutes from the age `from` on.
fn bad_share(series: &Series, from: usize, count: usize) -> f64 {
    let sum = |list: &[u64]| list.iter().skip(from).take(count.min(RETENTION_MINUTES)).sum::<u64>();
    let (calls, good) = (sum(&series.calls), sum(&series.good));
    match calls {
        0 => 0.0,
        calls => (calls - good.min(calls)) as f64 / calls as f64,
    }
}
