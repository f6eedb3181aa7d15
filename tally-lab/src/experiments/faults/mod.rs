//! Random faults under load; violated invariants are counted from the records of the upstreams.

mod load;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use goldcresttally_proxy::entry;
use goldcresttally_standin::platform::Faults;
use goldcresttally_standin::upstream::{Behaviour, Record};
use serde_json::json;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::documents;
use crate::fleet::{Fleet, FleetOptions, Monitor, VmLocation};
use crate::load::CallStats;
use crate::output::{Report, rounded};
use load::BackgroundLoad;

/// Number of VMs.
const NODES: usize = 9;

/// Number of failure domains.
const DOMAINS: usize = 3;

/// Service time of a call at an upstream, in milliseconds.
const SERVICE_MS: f64 = 20.0;

/// Kind of an injected fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// A node is killed and restarted a second later.
    Kill,
    /// An upstream drains, stops and is restarted.
    Drain,
    /// A node stops with a drain and is restarted.
    Stop,
    /// All open connections go silent permanently.
    Silence,
    /// The platform is unavailable for a few seconds.
    Outage,
    /// Most answers of the platform are lost after the write took effect.
    LostAnswers,
    /// A failure domain is partitioned from the others and from the platform for a few seconds.
    Cut,
    /// Two operators edit and accept concurrently.
    Race,
}

/// Names of the kinds on the command line.
const FAULT_KINDS: [(&str, FaultKind); 8] = [
    ("kill", FaultKind::Kill),
    ("drain", FaultKind::Drain),
    ("stop", FaultKind::Stop),
    ("silence", FaultKind::Silence),
    ("outage", FaultKind::Outage),
    ("lost-answers", FaultKind::LostAnswers),
    ("cut", FaultKind::Cut),
    ("race", FaultKind::Race),
];

/// Parses a comma-separated list of kinds, or `all`; fails on an unknown name.
pub fn parse_kinds(text: &str) -> Result<Vec<FaultKind>, String> {
    if text == "all" {
        return Ok(FAULT_KINDS.iter().map(|(_, kind)| *kind).collect());
    }
    let one = |name: &str| {
        let found = FAULT_KINDS.iter().find(|(n, _)| *n == name).map(|(_, kind)| *kind);
        found.ok_or_else(|| format!("`{name}`: unknown kind of fault"))
    };
    text.split(',').map(one).collect()
}

/// Options of the experiment.
#[derive(Debug, Clone)]
pub struct Options {
    /// Duration, in seconds.
    pub seconds: u64,
    /// Whether entries settle attempts whose connection broke.
    pub settle: bool,
    /// Kinds of faults to inject.
    pub kinds: Vec<FaultKind>,
    /// Seed of the random number generators.
    pub seed: u64,
}

/// Running entry nodes, and the time at which each was last killed.
#[derive(Debug, Default)]
struct Entries {
    running: Vec<(usize, SocketAddr)>,
    killed: HashMap<usize, Instant>,
}

type SharedEntries = Arc<Mutex<Entries>>;

/// Runs the experiment; fails if the fleet cannot be set up or a node cannot be restarted.
pub async fn run(options: Options) -> Result<Report, String> {
    let record = Arc::new(Record::default());
    let fleet_options = FleetOptions {
        entry: entry::Options { settle: options.settle, ..entry::Options::default() },
        drain_ms: 8000,
        ..FleetOptions::default()
    };
    let locations = VmLocation::spread(NODES, DOMAINS);
    let fleet = Fleet::start(fleet_options, locations, options.seed).await;
    let mut scenario = Scenario {
        fleet: fleet.map_err(|e| e.to_string())?,
        monitor: Monitor::start(NODES),
        entries: SharedEntries::default(),
        record: Arc::clone(&record),
        rng: fastrand::Rng::with_seed(options.seed),
        started: Instant::now(),
        changes: 0,
        unclean_stops: 0,
    };
    scenario.prepare().await?;
    let stop = CancellationToken::new();
    let load = BackgroundLoad { entries: Arc::clone(&scenario.entries), seed: options.seed };
    let load = tokio::spawn(load.run(stop.clone()));
    scenario.started = Instant::now();
    let end = scenario.started + Duration::from_secs(options.seconds);
    while Instant::now() < end {
        let kind = options.kinds[scenario.rng.usize(..options.kinds.len())];
        scenario.inject(kind).await?;
        let pause = scenario.rng.u64(200..1200);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    stop.cancel();
    let stats = load.await.map_err(|e| e.to_string())?;
    scenario.finish(&options, &stats).await
}

/// State of a running experiment.
struct Scenario {
    fleet: Fleet,
    monitor: Monitor,
    entries: SharedEntries,
    record: Arc<Record>,
    rng: fastrand::Rng,
    started: Instant,
    changes: usize,
    unclean_stops: usize,
}

impl Scenario {
    async fn prepare(&mut self) -> Result<(), String> {
        for i in 0..NODES {
            self.watch(i);
            self.start_upstream(i).await?;
        }
        self.fleet.put_section(0, "ranks", &documents::ranks_section()).await?;
        self.fleet
            .put_section(0, "booking", &documents::service_section("booking", 3000, 64))
            .await?;
        self.fleet.put_section(0, "filler", &documents::filler_section("filler", 0)).await?;
        let version = self.fleet.accept(0).await?;
        let limit = Duration::from_secs(20);
        let ready = self.fleet.wait_version(version, limit).await
            && self.fleet.wait_endpoints("booking", NODES, limit).await;
        ready.then_some(()).ok_or_else(|| {
            let versions: Vec<u64> = (0..NODES).map(|i| self.fleet.version(i)).collect();
            format!("the fleet did not become ready: versions {versions:?}")
        })
    }

    async fn inject(&mut self, kind: FaultKind) -> Result<(), String> {
        let i = self.rng.usize(..NODES);
        self.log(&format!("{kind:?} (VM {i})"));
        match kind {
            FaultKind::Kill => self.kill(i).await,
            FaultKind::Stop => self.stop(i).await,
            FaultKind::Drain => self.drain(i).await,
            FaultKind::Silence => {
                self.fleet.network.silence_open_connections();
                Ok(())
            }
            FaultKind::Outage => {
                self.set_faults(Faults { down: true, ..Faults::default() }).await;
                Ok(())
            }
            FaultKind::LostAnswers => {
                self.set_faults(Faults { lose_answers: 0.7, ..Faults::default() }).await;
                Ok(())
            }
            FaultKind::Cut => {
                self.cut(i % DOMAINS).await;
                Ok(())
            }
            FaultKind::Race => {
                self.race().await;
                Ok(())
            }
        }
    }

    async fn kill(&mut self, i: usize) -> Result<(), String> {
        self.remove_entry(i);
        lock(&self.entries).killed.insert(i, Instant::now());
        self.monitor.set_node(i, None);
        self.fleet.kill_node(i).await;
        lock(&self.entries).killed.insert(i, Instant::now());
        tokio::time::sleep(Duration::from_secs(1)).await;
        self.restart(i).await
    }

    fn remove_entry(&self, i: usize) {
        lock(&self.entries).running.retain(|(n, _)| *n != i);
    }

    async fn stop(&mut self, i: usize) -> Result<(), String> {
        self.remove_entry(i);
        self.monitor.set_node(i, None);
        if !self.fleet.stop_node(i).await {
            self.unclean_stops += 1;
            self.log("the planned stop exceeded the drain deadline");
        }
        self.restart(i).await
    }

    async fn restart(&mut self, i: usize) -> Result<(), String> {
        self.fleet.start_node(i).await.map_err(|e| e.to_string())?;
        self.watch(i);
        Ok(())
    }

    async fn drain(&mut self, i: usize) -> Result<(), String> {
        if let Some(upstream) = self.fleet.vms[i].upstream.take() {
            upstream.drain();
            // Within 2 s its running calls end and nodes stop sending new ones.
            tokio::time::sleep(Duration::from_secs(2)).await;
            upstream.stop().await;
        }
        self.start_upstream(i).await
    }

    async fn set_faults(&mut self, faults: Faults) {
        self.fleet.platform.set_faults(faults);
        let length = self.rng.u64(500..3000);
        self.change().await;
        tokio::time::sleep(Duration::from_millis(length)).await;
        self.fleet.platform.set_faults(Faults::default());
    }

    async fn cut(&mut self, domain: usize) {
        let name = format!("d{domain}");
        let (isolated, connected): (Vec<_>, Vec<_>) =
            self.fleet.vms.iter().map(|vm| &vm.location).partition(|p| p.domain == name);
        let ips = |list: Vec<&VmLocation>| -> Vec<_> { list.iter().map(|p| p.ip()).collect() };
        let (cut, rest) = (ips(isolated), ips(connected));
        self.fleet.platform.set_faults(Faults { cut: cut.clone(), ..Faults::default() });
        self.fleet.network.partition(&[cut, rest]);
        let length = self.rng.u64(500..4000);
        self.change().await;
        tokio::time::sleep(Duration::from_millis(length)).await;
        self.fleet.network.heal();
        self.fleet.platform.set_faults(Faults::default());
    }

    async fn race(&mut self) {
        let (a, b) = (self.rng.usize(..NODES), self.rng.usize(..NODES));
        let texts = [1, 2].map(|n| documents::filler_section("filler", self.changes + n));
        self.changes += 2;
        let fleet = &self.fleet;
        // Either may get a conflict; the monitor counts reverted versions.
        let _ = tokio::join!(
            async { (fleet.put_section(a, "filler", &texts[0]).await, fleet.accept(a).await) },
            async { (fleet.put_section(b, "filler", &texts[1]).await, fleet.accept(b).await) },
        );
    }

    async fn change(&mut self) {
        let i = self.rng.usize(..NODES);
        self.changes += 1;
        let text = documents::filler_section("filler", self.changes);
        // May fail during an outage.
        let _ = self.fleet.put_section(i, "filler", &text).await;
        let _ = self.fleet.accept(i).await;
    }

    fn watch(&self, i: usize) {
        let state = self.fleet.vms[i].node.as_ref().map(|n| Arc::clone(n.state()));
        self.monitor.set_node(i, state);
        lock(&self.entries).running.push((i, self.fleet.vms[i].location.calls()));
    }

    async fn start_upstream(&mut self, i: usize) -> Result<(), String> {
        let behaviour = Behaviour { slots: 12, service_ms: SERVICE_MS, ..Behaviour::default() };
        let record = Arc::clone(&self.record);
        let started = self.fleet.start_upstream(i, "booking", behaviour, &record).await;
        started.map_err(|e| e.to_string())
    }

    fn log(&self, text: &str) {
        eprintln!("{:>6.2} s  {text}", self.started.elapsed().as_secs_f64());
    }

    async fn finish(self, options: &Options, stats: &CallStats) -> Result<Report, String> {
        // Leaves time to detect late runs of calls that were refused as not run.
        tokio::time::sleep(Duration::from_secs(3)).await;
        let violations = stats.violations(&self.record);
        let reverted = self.monitor.reverted();
        let share = stats.may_have_run() as f64 / stats.offered().max(1) as f64;
        let newest = (0..NODES).map(|i| self.fleet.version(i)).max().unwrap_or(0);
        let lagging = (0..NODES).filter(|i| self.fleet.version(*i) < newest).count();
        let mut figures = json!({
            "experiment": "faults",
            "seed": options.seed,
            "seconds": options.seconds,
            "settle": options.settle,
            "calls": stats.offered(),
            "answered": stats.answered(),
            "may_have_run": stats.may_have_run(),
            "may_have_run_share": rounded(share * 1000.0) / 1000.0,
            "broken": stats.broken(),
            "versions": newest,
            "reverted": reverted,
            "not_converged": lagging,
            "unclean_stops": self.unclean_stops,
        });
        violations.add_to(&mut figures);
        let ok = violations.is_empty() && reverted == 0 && lagging == 0 && self.unclean_stops == 0;
        self.monitor.stop().await;
        self.fleet.shut_down().await;
        Ok(Report { ok, figures })
    }
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
