//! A random mix of faults under load; what must never happen is counted at the upstreams.

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
use load::Load;

/// VMs of the fleet.
const NODES: usize = 9;

/// Failure domains of the fleet.
const DOMAINS: usize = 3;

/// Time that one call takes at an upstream, in milliseconds.
const SERVICE_MS: f64 = 20.0;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A node is killed and started again a second later.
    Kill,
    /// An upstream drains, stops, and starts anew.
    Drain,
    /// A node stops as planned and starts again.
    Stop,
    /// Open connections go silent for good.
    Silence,
    /// The platform is down for a while.
    Outage,
    /// Answers of the platform are lost after the write.
    LostAnswers,
    /// A failure domain is cut off for a while.
    Cut,
    /// Two operators edit and accept at once.
    Race,
}

const ALL: [(&str, Kind); 8] = [
    ("kill", Kind::Kill),
    ("drain", Kind::Drain),
    ("stop", Kind::Stop),
    ("silence", Kind::Silence),
    ("outage", Kind::Outage),
    ("lost-answers", Kind::LostAnswers),
    ("cut", Kind::Cut),
    ("race", Kind::Race),
];

/// Reads a list of kinds separated by commas, or `all`.
pub fn kinds(text: &str) -> Result<Vec<Kind>, String> {
    if text == "all" {
        return Ok(ALL.iter().map(|(_, kind)| *kind).collect());
    }
    let one = |name: &str| {
        let found = ALL.iter().find(|(n, _)| *n == name).map(|(_, kind)| *kind);
        found.ok_or_else(|| format!("`{name}`: no such kind of fault"))
    };
    text.split(',').map(one).collect()
}

/// Choices of the experiment.
#[derive(Debug, Clone)]
pub struct Options {
    /// Length, in seconds.
    pub seconds: u64,
    /// Whether entries ask for the outcome of attempts whose connection broke.
    pub settle: bool,
    /// Kinds of faults that happen.
    pub kinds: Vec<Kind>,
    /// Seed of random choices.
    pub seed: u64,
}

/// Entry nodes that run, and when each was last killed.
#[derive(Debug, Default)]
struct Entries {
    running: Vec<(usize, SocketAddr)>,
    killed: HashMap<usize, Instant>,
}

type SharedEntries = Arc<Mutex<Entries>>;

/// Runs the experiment.
pub async fn run(options: Options) -> Result<Report, String> {
    let record = Arc::new(Record::default());
    let fleet_options = FleetOptions {
        entry: entry::Options { settle: options.settle, ..entry::Options::default() },
        drain_ms: 8000,
        ..FleetOptions::default()
    };
    let locations = VmLocation::spread(NODES, DOMAINS);
    let fleet = Fleet::start(fleet_options, locations, options.seed).await;
    let mut script = Script {
        fleet: fleet.map_err(|e| e.to_string())?,
        monitor: Monitor::start(NODES),
        entries: SharedEntries::default(),
        record: Arc::clone(&record),
        rng: fastrand::Rng::with_seed(options.seed),
        started: Instant::now(),
        changes: 0,
        unclean_stops: 0,
    };
    script.prepare().await?;
    let stop = CancellationToken::new();
    let load = Load { entries: Arc::clone(&script.entries), seed: options.seed };
    let load = tokio::spawn(load.run(stop.clone()));
    script.started = Instant::now();
    let end = script.started + Duration::from_secs(options.seconds);
    while Instant::now() < end {
        let kind = options.kinds[script.rng.usize(..options.kinds.len())];
        script.happen(kind).await?;
        let pause = script.rng.u64(200..1200);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    stop.cancel();
    let stats = load.await.map_err(|e| e.to_string())?;
    script.finish(&options, &stats).await
}

struct Script {
    fleet: Fleet,
    monitor: Monitor,
    entries: SharedEntries,
    record: Arc<Record>,
    rng: fastrand::Rng,
    started: Instant,
    changes: usize,
    unclean_stops: usize,
}

impl Script {
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
        let up = self.fleet.wait_version(version, limit).await
            && self.fleet.wait_endpoints("booking", NODES, limit).await;
        up.then_some(()).ok_or_else(|| {
            let versions: Vec<u64> = (0..NODES).map(|i| self.fleet.version(i)).collect();
            format!("the fleet did not come up: versions {versions:?}")
        })
    }

    async fn happen(&mut self, kind: Kind) -> Result<(), String> {
        let i = self.rng.usize(..NODES);
        self.say(&format!("{kind:?} (VM {i})"));
        match kind {
            Kind::Kill => self.kill(i).await,
            Kind::Stop => self.stop(i).await,
            Kind::Drain => self.drain(i).await,
            Kind::Silence => {
                self.fleet.network.silence_open_connections();
                Ok(())
            }
            Kind::Outage => {
                self.set_faults(Faults { down: true, ..Faults::default() }).await;
                Ok(())
            }
            Kind::LostAnswers => {
                self.set_faults(Faults { lose_answers: 0.7, ..Faults::default() }).await;
                Ok(())
            }
            Kind::Cut => {
                self.cut(i % DOMAINS).await;
                Ok(())
            }
            Kind::Race => {
                self.race().await;
                Ok(())
            }
        }
    }

    async fn kill(&mut self, i: usize) -> Result<(), String> {
        self.entry_gone(i);
        lock(&self.entries).killed.insert(i, Instant::now());
        self.monitor.set_node(i, None);
        self.fleet.kill_node(i).await;
        lock(&self.entries).killed.insert(i, Instant::now());
        tokio::time::sleep(Duration::from_secs(1)).await;
        self.restart(i).await
    }

    fn entry_gone(&self, i: usize) {
        lock(&self.entries).running.retain(|(n, _)| *n != i);
    }

    async fn stop(&mut self, i: usize) -> Result<(), String> {
        self.entry_gone(i);
        self.monitor.set_node(i, None);
        if !self.fleet.stop_node(i).await {
            self.unclean_stops += 1;
            self.say("the planned stop did not end in time");
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
            // Its last calls end; nothing new may come after 2 s.
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
        let (inside, outside): (Vec<_>, Vec<_>) =
            self.fleet.vms.iter().map(|vm| &vm.location).partition(|p| p.domain == name);
        let ips = |list: Vec<&VmLocation>| -> Vec<_> { list.iter().map(|p| p.ip()).collect() };
        let (cut, rest) = (ips(inside), ips(outside));
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
        // Either may lose; what must not happen is counted by the monitor.
        let _ = tokio::join!(
            async { (fleet.put_section(a, "filler", &texts[0]).await, fleet.accept(a).await) },
            async { (fleet.put_section(b, "filler", &texts[1]).await, fleet.accept(b).await) },
        );
    }

    async fn change(&mut self) {
        let i = self.rng.usize(..NODES);
        self.changes += 1;
        let text = documents::filler_section("filler", self.changes);
        // It may fail in an outage.
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

    fn say(&self, text: &str) {
        eprintln!("{:>6.2} s  {text}", self.started.elapsed().as_secs_f64());
    }

    async fn finish(self, options: &Options, stats: &CallStats) -> Result<Report, String> {
        // What was refused as not run must not run later either.
        tokio::time::sleep(Duration::from_secs(3)).await;
        let violations = stats.violations(&self.record);
        let reverted = self.monitor.reverted();
        let share = stats.may_have_run() as f64 / stats.offered().max(1) as f64;
        let newest = (0..NODES).map(|i| self.fleet.version(i)).max().unwrap_or(0);
        let behind = (0..NODES).filter(|i| self.fleet.version(*i) < newest).count();
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
            "not_converged": behind,
            "unclean_stops": self.unclean_stops,
        });
        violations.add_to(&mut figures);
        let ok = violations.is_empty() && reverted == 0 && behind == 0 && self.unclean_stops == 0;
        self.monitor.stop().await;
        self.fleet.shut_down().await;
        Ok(Report { ok, figures })
    }
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
