//! How fast accepted versions are in force everywhere, and what that costs, under faults.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use goldcresttally_standin::platform::Faults;
use goldcresttallyd::control::{Command, ControlStatus};
use serde_json::json;
use tokio::time::Instant;

use crate::documents;
use crate::fleet::{Fleet, FleetOptions, Monitor, Place};
use crate::output::{Report, rounded};

/// Time within which a version must be in force on every reachable node, in seconds.
const CONVERGENCE_BOUND_S: u64 = 4;

/// Bounds on the cost of control per node: bytes per second, share of a core, and memory.
const CONTROL_BOUND_BYTES_PER_S: f64 = 22.0 * 1024.0;
const CPU_BOUND_PCT: f64 = 2.8;
const RSS_BOUND_MB: f64 = 64.0;

/// Time that nodes have to find each other before changes are made, in seconds.
const JOIN_LIMIT_S: u64 = 60;

/// Time for which nothing happens before the cost of rest is measured, in milliseconds.
const SETTLE_MS: u64 = 2000;

/// Failure domains of the fleet.
const DOMAINS: usize = 4;

/// Sections besides the ranks.
const SECTIONS: usize = 8;

/// What goes wrong while changes are made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// The platform is down for a while after each accept.
    StoreOutage,
    /// The answers to writes are lost after they took effect.
    LostAnswer,
    /// A failure domain is cut off from the others and the platform, then healed.
    Partition,
    /// Half of the nodes are killed at once and started again.
    Herd,
    /// A tenth of the datagrams is lost.
    Loss,
    /// All open connections go silent for good while new ones work.
    Silence,
    /// Two operators edit and accept at once.
    Race,
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "none" => Ok(Self::None),
            "store-outage" => Ok(Self::StoreOutage),
            "lost-answer" => Ok(Self::LostAnswer),
            "partition" => Ok(Self::Partition),
            "herd" => Ok(Self::Herd),
            "loss" => Ok(Self::Loss),
            "silence" => Ok(Self::Silence),
            "race" => Ok(Self::Race),
            _ => Err(format!("`{text}`: no such fault")),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::None => "none",
            Self::StoreOutage => "store-outage",
            Self::LostAnswer => "lost-answer",
            Self::Partition => "partition",
            Self::Herd => "herd",
            Self::Loss => "loss",
            Self::Silence => "silence",
            Self::Race => "race",
        })
    }
}

/// Choices of the experiment.
#[derive(Debug, Clone)]
pub struct Options {
    /// Nodes.
    pub nodes: usize,
    /// Accepted changes.
    pub changes: usize,
    /// What goes wrong.
    pub fault: Fault,
    /// How versions are spread.
    pub mode: String,
    /// Time between changes, in milliseconds.
    pub pause_ms: u64,
    /// Seed of random choices.
    pub seed: u64,
}

/// An experiment under way.
struct Run {
    options: Options,
    fleet: Fleet,
    monitor: Monitor,
    contents: HashMap<String, u32>,
    /// Time that each reachable node took for each version, in milliseconds.
    times_ms: Vec<f64>,
    not_converged: usize,
    accepts_failed: usize,
    changes: usize,
}

/// Runs the experiment.
pub async fn run(options: Options) -> Result<Report, String> {
    let rss_before = rss_mb();
    let fleet_options = FleetOptions {
        mode: options.mode.clone(),
        fleet_size: options.nodes as u32,
        ..FleetOptions::default()
    };
    let places = Place::spread(options.nodes, DOMAINS);
    let fleet = Fleet::start(fleet_options, places, options.seed).await;
    let fleet = fleet.map_err(|e| e.to_string())?;
    let monitor = Monitor::start(options.nodes);
    let mut run = Run {
        fleet,
        monitor,
        contents: HashMap::new(),
        times_ms: Vec::new(),
        not_converged: 0,
        accepts_failed: 0,
        changes: 0,
        options,
    };
    run.prepare().await?;
    let before = run.statuses().await;
    let (reads, started) = (run.fleet.platform.stats().reads, Instant::now());
    run.make_changes().await?;
    let seconds = started.elapsed().as_secs_f64();
    let after = run.statuses().await;
    let reads = (run.fleet.platform.stats().reads - reads) as f64 / seconds;
    let rss = (rss_mb() - rss_before) / run.options.nodes as f64;
    run.report(&before, &after, seconds, reads, rss).await
}

impl Run {
    async fn prepare(&mut self) -> Result<(), String> {
        for i in 0..self.options.nodes {
            self.watch(i);
        }
        self.fleet.put_section(0, "ranks", &documents::ranks()).await?;
        for n in 0..SECTIONS {
            let name = format!("filler-{n}");
            self.fleet.put_section(0, &name, &documents::filler(&name, 0)).await?;
            self.contents.insert(name, 10);
        }
        let version = self.accept(0).await?;
        let limit = Duration::from_secs(JOIN_LIMIT_S);
        if !self.fleet.wait_version(version, limit).await {
            return Err("the first version did not reach all nodes".to_owned());
        }
        let nodes = self.options.nodes;
        let deadline = Instant::now() + limit;
        while self.statuses().await.iter().any(|s| s.members < nodes) {
            if Instant::now() > deadline {
                return Err("not every node sees all others".to_owned());
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        tokio::time::sleep(Duration::from_millis(SETTLE_MS)).await;
        Ok(())
    }

    fn watch(&self, i: usize) {
        let node = self.fleet.vms[i].node.as_ref();
        self.monitor.set_node(i, node.map(|n| std::sync::Arc::clone(n.state())));
    }

    async fn make_changes(&mut self) -> Result<(), String> {
        if self.options.fault == Fault::Loss {
            self.fleet.network.set_loss(0.1);
        }
        for change in 0..self.options.changes {
            let started = Instant::now();
            match self.options.fault {
                Fault::None | Fault::Loss => self.change(change, None).await?,
                Fault::StoreOutage => self.change_in_outage(change).await?,
                Fault::LostAnswer => self.change_with_lost_answer(change).await?,
                Fault::Partition => self.change_in_partition(change).await?,
                Fault::Herd => self.change_after_herd(change).await?,
                Fault::Silence => {
                    self.fleet.network.silence_open_connections();
                    self.change(change, None).await?;
                }
                Fault::Race => self.change_in_race(change).await?,
            }
            let pause = Duration::from_millis(self.options.pause_ms);
            tokio::time::sleep(pause.saturating_sub(started.elapsed())).await;
        }
        Ok(())
    }

    /// Writes and accepts one change; returns its version and when it was accepted.
    async fn write_change(
        &mut self,
        change: usize,
        through: usize,
    ) -> Result<(u64, Instant), String> {
        let name = format!("filler-{}", change % SECTIONS);
        let text = documents::filler(&name, change + 1);
        self.fleet.put_section(through, &name, &text).await?;
        self.contents.insert(name, 10 + (change as u32 + 1) % 1000);
        let version = self.accept(through).await?;
        Ok((version, Instant::now()))
    }

    async fn accept(&mut self, through: usize) -> Result<u64, String> {
        let version = self.fleet.accept(through).await?;
        self.monitor.expect(version, self.contents.clone());
        self.changes += 1;
        Ok(version)
    }

    /// Makes one change and waits for it on the nodes of `only`, or on all.
    async fn change(&mut self, change: usize, only: Option<&[usize]>) -> Result<(), String> {
        let all: Vec<usize> = (0..self.options.nodes).collect();
        let nodes = only.unwrap_or(&all);
        let through = nodes[change * 7 % nodes.len()];
        let (version, accepted) = self.write_change(change, through).await?;
        self.measure(version, accepted, nodes).await;
        Ok(())
    }

    /// Waits until `version` is in force on `nodes`, and notes how long each took since `from`.
    async fn measure(&mut self, version: u64, from: Instant, nodes: &[usize]) {
        let deadline = from + Duration::from_secs(CONVERGENCE_BOUND_S);
        let mut left: Vec<usize> = nodes.to_vec();
        while !left.is_empty() && Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(5)).await;
            left.retain(|i| match self.monitor.first_seen(*i, version) {
                Some(at) => {
                    self.times_ms.push(at.saturating_duration_since(from).as_secs_f64() * 1000.0);
                    false
                }
                None => true,
            });
        }
        for i in &left {
            let version_there = self.fleet.version(*i);
            eprintln!("node {i} is at version {version_there}, not {version}");
        }
        self.not_converged += left.len();
    }

    async fn change_in_outage(&mut self, change: usize) -> Result<(), String> {
        let all: Vec<usize> = (0..self.options.nodes).collect();
        let through = change * 7 % all.len();
        let (version, accepted) = self.write_change(change, through).await?;
        self.fleet.platform.set_faults(Faults { down: true, ..Faults::default() });
        // A node that restarts during the outage must come back from peers alone.
        let restarted = (through + 1) % all.len();
        self.fleet.kill_node(restarted).await;
        self.fleet.start_node(restarted).await.map_err(|e| e.to_string())?;
        self.watch(restarted);
        self.measure(version, accepted, &all).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        self.fleet.platform.set_faults(Faults::default());
        Ok(())
    }

    async fn change_with_lost_answer(&mut self, change: usize) -> Result<(), String> {
        let before = self.fleet.platform.table().scan("history/").len();
        let name = format!("filler-{}", change % SECTIONS);
        let text = documents::filler(&name, change + 1);
        self.fleet.put_section(0, &name, &text).await?;
        self.contents.insert(name, 10 + (change as u32 + 1) % 1000);
        self.fleet.platform.set_faults(Faults { lose_answers: 0.7, ..Faults::default() });
        let accepted = self.accept(0).await;
        self.fleet.platform.set_faults(Faults::default());
        // Whatever the answers said: the operation must have made one version.
        let after = self.fleet.platform.table().scan("history/").len();
        if after != before + 1 {
            self.accepts_failed += 1;
        }
        let version = accepted.unwrap_or(after as u64);
        self.monitor.expect(version, self.contents.clone());
        let all: Vec<usize> = (0..self.options.nodes).collect();
        self.measure(version, Instant::now(), &all).await;
        Ok(())
    }

    async fn change_in_partition(&mut self, change: usize) -> Result<(), String> {
        let nodes = self.options.nodes;
        let (inside, outside): (Vec<usize>, Vec<usize>) =
            (0..nodes).partition(|i| self.fleet.vms[*i].place.domain == "d0");
        let ips = |list: &[usize]| -> Vec<_> {
            list.iter().map(|i| self.fleet.vms[*i].place.ip()).collect()
        };
        let (cut, rest) = (ips(&inside), ips(&outside));
        self.fleet.platform.set_faults(Faults { cut: cut.clone(), ..Faults::default() });
        self.fleet.network.partition(&[cut, rest]);
        self.change(change, Some(&outside)).await?;
        // Long enough for each side to hold the other dead.
        tokio::time::sleep(Duration::from_secs(10)).await;
        let newest = self.fleet.version(outside[0]);
        self.fleet.network.heal();
        self.fleet.platform.set_faults(Faults::default());
        self.measure(newest, Instant::now(), &inside).await;
        Ok(())
    }

    async fn change_after_herd(&mut self, change: usize) -> Result<(), String> {
        let all: Vec<usize> = (0..self.options.nodes).collect();
        let half: Vec<usize> = all.iter().copied().filter(|i| i % 2 == change % 2).collect();
        for i in &half {
            self.monitor.set_node(*i, None);
            self.fleet.kill_node(*i).await;
        }
        for i in &half {
            self.fleet.start_node(*i).await.map_err(|e| e.to_string())?;
            self.watch(*i);
        }
        let healed = Instant::now();
        let through = all.iter().copied().find(|i| !half.contains(i)).unwrap_or(0);
        let (version, _) = self.write_change(change, through).await?;
        self.measure(version, healed, &all).await;
        Ok(())
    }

    async fn change_in_race(&mut self, change: usize) -> Result<(), String> {
        let name = format!("filler-{}", change % SECTIONS);
        let (one, other) = (0, self.options.nodes / 2);
        let numbers = [2 * change + 1, 2 * change + 2];
        let texts = numbers.map(|n| documents::filler(&name, n));
        let (a, b) = tokio::join!(
            self.fleet.put_section(one, &name, &texts[0]),
            self.fleet.put_section(other, &name, &texts[1]),
        );
        // With equal base revisions one edit must be told of the other; never is one lost unsaid.
        if a.is_err() && b.is_err() {
            return Err(format!("both edits failed: {a:?} {b:?}"));
        }
        let (x, y) = tokio::join!(self.fleet.accept(one), self.fleet.accept(other));
        let newest = x.clone().unwrap_or(0).max(y.clone().unwrap_or(0));
        if newest == 0 || x == y {
            self.accepts_failed += 1;
        }
        self.changes += 1;
        let all: Vec<usize> = (0..self.options.nodes).collect();
        self.measure(newest, Instant::now(), &all).await;
        Ok(())
    }

    async fn statuses(&self) -> Vec<ControlStatus> {
        let mut list = Vec::new();
        for node in self.fleet.vms.iter().filter_map(|vm| vm.node.as_ref()) {
            let (reply, answer) = tokio::sync::oneshot::channel();
            if node.commands().send(Command::Status(reply)).await.is_ok() {
                list.extend(answer.await.ok());
            }
        }
        list
    }

    async fn report(
        mut self,
        before: &[ControlStatus],
        after: &[ControlStatus],
        seconds: f64,
        reads: f64,
        rss: f64,
    ) -> Result<Report, String> {
        let nodes = self.options.nodes as f64;
        let bytes = |s: &ControlStatus| s.traffic.bytes_in + s.traffic.bytes_out;
        let grown = |of: fn(&ControlStatus) -> u64| {
            let since = |s: &ControlStatus| {
                // A node that was started anew counts from zero.
                let same = |b: &&ControlStatus| b.node == s.node && b.generation == s.generation;
                of(s) - before.iter().find(same).map_or(0, of)
            };
            after.iter().map(since).sum::<u64>() as f64 / nodes / seconds
        };
        let bytes_per_s = grown(bytes);
        let cpu_pct = grown(|s| s.cpu_us) / 10_000.0;
        self.times_ms.sort_by(f64::total_cmp);
        let quantile = |q: f64| {
            let at = ((self.times_ms.len() as f64 * q).ceil() as usize).max(1) - 1;
            self.times_ms.get(at).copied().map_or(0.0, rounded)
        };
        let (reverted, partial) = (self.monitor.reverted(), self.monitor.partial());
        let cheap = bytes_per_s <= CONTROL_BOUND_BYTES_PER_S
            && cpu_pct <= CPU_BOUND_PCT
            && rss <= RSS_BOUND_MB;
        let max_ms = quantile(1.0);
        let ok = reverted == 0
            && partial == 0
            && self.not_converged == 0
            && self.accepts_failed == 0
            && max_ms <= CONVERGENCE_BOUND_S as f64 * 1000.0
            && cheap;
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

/// Returns the resident memory of this process, in megabytes.
pub(super) fn rss_mb() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|n| n.parse::<f64>().ok());
    pages.unwrap_or(0.0) * 4096.0 / 1e6
}
