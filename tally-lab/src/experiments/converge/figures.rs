//! Figures of the experiment, compared with their bounds.

use goldcresttallyd::control::ControlStatus;
use serde_json::json;

use super::{CONVERGENCE_BOUND_S, Run};
use crate::output::{Report, rounded};

/// Bounds on the control cost per node: traffic, percentage of one core, and memory in megabytes.
const CONTROL_BOUND_BYTES_PER_S: f64 = 22.0 * 1024.0;
const CPU_BOUND_PCT: f64 = 2.8;
const RSS_BOUND_MB: f64 = 64.0;

impl Run {
    pub(super) async fn report(
        mut self,
        before: &[ControlStatus],
        after: &[ControlStatus],
        seconds: f64,
        reads: f64,
        rss: f64,
    ) -> Result<Report, String> {
        let nodes = self.options.nodes as f64;
        let bytes = |s: &ControlStatus| s.traffic.bytes_in + s.traffic.bytes_out;
        let rate_per_node = |counter: fn(&ControlStatus) -> u64| {
            let increase = |s: &ControlStatus| {
                // The counters of a restarted node start at zero.
                let same_process =
                    |b: &&ControlStatus| b.node == s.node && b.generation == s.generation;
                counter(s) - before.iter().find(same_process).map_or(0, counter)
            };
            after.iter().map(increase).sum::<u64>() as f64 / nodes / seconds
        };
        let bytes_per_s = rate_per_node(bytes);
        let cpu_pct = rate_per_node(|s| s.cpu_us) / 10_000.0;
        self.times_ms.sort_by(f64::total_cmp);
        let quantile = |q: f64| {
            let index = ((self.times_ms.len() as f64 * q).ceil() as usize).max(1) - 1;
            self.times_ms.get(index).copied().map_or(0.0, rounded)
        };
        let (reverted, partial) = (self.monitor.reverted(), self.monitor.partial());
        let within_cost_bounds = bytes_per_s <= CONTROL_BOUND_BYTES_PER_S
            && cpu_pct <= CPU_BOUND_PCT
            && rss <= RSS_BOUND_MB;
        let max_ms = quantile(1.0);
        let ok = reverted == 0
            && partial == 0
            && self.not_converged == 0
            && self.accepts_failed == 0
            && max_ms <= CONVERGENCE_BOUND_S as f64 * 1000.0
            && within_cost_bounds;
        let figures = json!({
            "experiment": "converge",
            "mode": self.options.mode,
            "fault": self.options.fault.to_string(),
            "seed": self.options.seed,
            "nodes": self.options.nodes,
            "changes": self.changes,
            "p50_ms": quantile(0.5),
            "p99_ms": quantile(0.99),
            "max_ms": max_ms,
            "control_bytes_per_node_s": rounded(bytes_per_s),
            "cpu_pct_per_node": rounded(cpu_pct),
            "rss_mb_per_node": rounded(rss),
            "store_reads_per_s": rounded(reads),
            "reverted": reverted,
            "partial": partial,
            "not_converged": self.not_converged,
            "accepts_failed": self.accepts_failed,
        });
        self.monitor.stop().await;
        self.fleet.shut_down().await;
        Ok(Report { ok, figures })
    }
}
