//! Convergence time of accepted versions and control cost per node, under faults.

mod changes;
mod fault;
mod figures;

use std::collections::HashMap;
use std::time::Duration;

use goldcresttallyd::control::{Command, ControlStatus};
use tokio::time::Instant;

use crate::documents;
use crate::fleet::{Fleet, FleetOptions, Monitor, VmLocation};
use crate::output::Report;
use crate::usage::rss_mb;

/// Maximum time until a version is in force on every reachable node, in seconds.
const CONVERGENCE_BOUND_S: u64 = 4;

/// Maximum time until all nodes have joined, before changes are made, in seconds.
const JOIN_LIMIT_S: u64 = 60;

/// Pause between the setup and the measurement, in milliseconds.
const QUIESCENT_MS: u64 = 2000;

/// Failure domains of the fleet.
const DOMAINS: usize = 4;

/// Sections besides the one with the ranks.
const SECTIONS: usize = 8;

pub use fault::Fault;

/// Options of the experiment.
#[derive(Debug, Clone)]
pub struct Options {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of accepted changes.
    pub changes: usize,
    /// Fault that is injected.
    pub fault: Fault,
    /// Distribution mode: `tree`, `gossip` or `poll`.
    pub mode: String,
    /// Interval between the starts of changes, in milliseconds.
    pub pause_ms: u64,
    /// Seed of the random number generators.
    pub seed: u64,
}

/// State of a running experiment.
struct Run {
    options: Options,
    fleet: Fleet,
    monitor: Monitor,
    /// Queue limit that each service has in the next version.
    contents: HashMap<String, u32>,
    /// Convergence time of each reachable node for each version, in milliseconds.
    times_ms: Vec<f64>,
    not_converged: usize,
    accepts_failed: usize,
    changes: usize,
}

/// Runs the experiment; fails if the fleet cannot be set up or a change cannot be written.
pub async fn run(options: Options) -> Result<Report, String> {
    let rss_before = rss_mb();
    let fleet_options = FleetOptions {
        mode: options.mode.clone(),
        fleet_size: options.nodes as u32,
        ..FleetOptions::default()
    };
    let locations = VmLocation::spread(options.nodes, DOMAINS);
    let fleet = Fleet::start(fleet_options, locations, options.seed).await;
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
        self.fleet.put_section(0, "ranks", &documents::ranks_section()).await?;
        for n in 0..SECTIONS {
            let name = format!("filler-{n}");
            self.fleet.put_section(0, &name, &documents::filler_section(&name, 0)).await?;
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
        tokio::time::sleep(Duration::from_millis(QUIESCENT_MS)).await;
        Ok(())
    }

    fn watch(&self, i: usize) {
        let node = self.fleet.vms[i].node.as_ref();
        self.monitor.set_node(i, node.map(|n| std::sync::Arc::clone(n.state())));
    }

    async fn make_changes(&mut self) -> Result<(), String> {
        if self.options.fault == Fault::Loss {
            self.fleet.network.set_datagram_loss(0.1);
        }
        for change in 0..self.options.changes {
            let started = Instant::now();
            match self.options.fault {
                Fault::None | Fault::Loss => self.change(change, None).await?,
                Fault::StoreOutage => self.change_in_outage(change).await?,
                Fault::LostAnswer => self.change_with_lost_answer(change).await?,
                Fault::Partition => self.change_in_partition(change).await?,
                Fault::MassRestart => self.change_after_mass_restart(change).await?,
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
}
