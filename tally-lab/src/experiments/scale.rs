//! Cost of one node's control state machines in a large fleet whose messages are simulated.

use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcresttally_config::{Manifest, SectionEntry, Snapshot};
use goldcresttally_core::{AttemptId, BitRate, Generation, Incarnation, MonoTime, NodeId, Version};
use goldcresttally_distribution::{
    self as distribution, Bundle, ChangedSection, Distribution, VersionUpdate,
};
use goldcresttally_ledger::{self as ledger, Ledger};
use goldcresttally_membership::{
    self as members, Body, Header, Membership, Message, Record, Status, Upstream, UpstreamState,
};
use goldcresttally_wire::datagram;
use serde_json::json;

use crate::documents;
use crate::output::{Report, rounded};
use crate::usage::rss_mb;

/// Failure domains and services of the target deployment.
const DOMAINS: usize = 10;
const SERVICES: usize = 310;

/// Simulated time, in seconds.
const SECONDS: u64 = 60;

/// Entries of the ledger whose memory is measured.
const LEDGER_ENTRIES: usize = 200_000;

/// Tick interval of the membership state machine, in milliseconds.
const TICK_MS: u64 = 50;

/// Member record changes per second: 1,200 restarts a day with five changes each, and failures.
const CHANGES_PER_S: f64 = 1200.0 * 5.0 / 86_400.0 + 0.01;

/// Bounds on the control cost per node: percentage of one core, traffic, and memory in megabytes.
const CPU_BOUND_PCT: f64 = 2.8;
const BYTES_BOUND_PER_S: f64 = 22.0 * 1024.0;
const RSS_BOUND_MB: f64 = 64.0;

/// Runs the experiment for one node in a fleet of `nodes`; fails if a document does not build.
pub fn run(nodes: usize, seed: u64) -> Result<Report, String> {
    let rss_before = rss_mb();
    let mut node = SimulatedNode::new(nodes, seed);
    let membership_mb = rss_mb() - rss_before;
    let started = Instant::now();
    node.run();
    let membership_pct = started.elapsed().as_secs_f64() / SECONDS as f64 * 100.0;
    let (document_mb, install_ms, update_bytes) = document_cost()?;
    // 3,600 configuration changes a day, each installed once.
    let install_pct = install_ms / 1000.0 * (3600.0 / 86_400.0) * 100.0;
    let update_bytes_per_s = update_bytes as f64 * 3600.0 / 86_400.0;
    let bytes_per_s = node.bytes as f64 / SECONDS as f64;
    let (cpu, memory) = (membership_pct + install_pct, membership_mb + document_mb);
    let ok = cpu <= CPU_BOUND_PCT && bytes_per_s <= BYTES_BOUND_PER_S && memory <= RSS_BOUND_MB;
    let figures = json!({
        "experiment": "scale",
        "nodes": nodes,
        "services": SERVICES,
        "membership_cpu_pct": rounded(membership_pct),
        "membership_bytes_per_s": rounded(bytes_per_s),
        "membership_mb": rounded(membership_mb),
        "document_mb": rounded(document_mb),
        "ledger_bytes_per_attempt": rounded(ledger_bytes_per_attempt()),
        "install_ms": rounded(install_ms),
        "update_bytes": update_bytes,
        "update_bytes_per_s": rounded(update_bytes_per_s),
        "cpu_pct": rounded(cpu),
        "memory_mb": rounded(memory),
    });
    Ok(Report { ok, figures })
}

/// Membership of one node among simulated nodes that answer every probe and gossip changes.
struct SimulatedNode {
    state_machine: Membership,
    records: Vec<Record>,
    rng: fastrand::Rng,
    now: MonoTime,
    bytes: u64,
}

impl SimulatedNode {
    fn new(nodes: usize, seed: u64) -> Self {
        let now = MonoTime::from_millis(1000);
        let records: Vec<Record> = (0..nodes).map(record).collect();
        let options = members::Options::default();
        let mut state_machine = Membership::new(options, records[0].clone(), seed, now);
        state_machine.on_event(
            now,
            members::Event::RecordsReceived(records.clone()),
            &mut Vec::new(),
        );
        let rng = fastrand::Rng::with_seed(seed);
        Self { state_machine, records, rng, now, bytes: 0 }
    }

    fn run(&mut self) {
        for tick in 0..SECONDS * 1000 / TICK_MS {
            self.now = self.now + Duration::from_millis(TICK_MS);
            let mut actions = Vec::new();
            self.state_machine.on_event(self.now, members::Event::Tick, &mut actions);
            self.send_all(&mut actions);
            if tick % (1000 / TICK_MS) == 0 {
                // One other node probes this one each second.
                self.receive(Body::Ping { sequence: tick }, Vec::new());
            }
            if self.rng.f64() < CHANGES_PER_S * TICK_MS as f64 / 1000.0 {
                self.change_record();
            }
        }
    }

    /// Changes the record of a random node and delivers it as many times as gossip would.
    fn change_record(&mut self) {
        let n = self.rng.usize(1..self.records.len());
        self.records[n].incarnation = self.records[n].incarnation.next();
        let copies = 4.0 * (self.records.len() as f64 + 1.0).log10().ceil();
        for _ in 0..copies as usize {
            let update = self.records[n].clone();
            self.receive(Body::Gossip, vec![update]);
        }
    }

    fn receive(&mut self, body: Body, updates: Vec<Record>) {
        let from = self.records[self.rng.usize(1..self.records.len())].id;
        let header =
            Header { from, generation: Generation(1), version: Version(0), refused: Version(0) };
        let Ok(bytes) = datagram::encode(&Message { header, body, updates }) else { return };
        self.bytes += bytes.len() as u64;
        let Ok(message) = datagram::decode(&bytes, &mut |_| {}) else { return };
        let mut actions = Vec::new();
        self.state_machine.on_event(
            self.now,
            members::Event::DatagramReceived(message),
            &mut actions,
        );
        self.send_all(&mut actions);
    }

    /// Encodes the sent messages to count their bytes, and answers probes.
    fn send_all(&mut self, actions: &mut Vec<members::Action>) {
        for action in actions.drain(..) {
            let members::Action::Send { to, message } = action else { continue };
            let Ok(bytes) = datagram::encode(&message) else { continue };
            self.bytes += bytes.len() as u64;
            if let Body::Ping { sequence } = message.body {
                self.acknowledge(to, sequence);
            }
        }
    }

    fn acknowledge(&mut self, from: NodeId, sequence: u64) {
        let header =
            Header { from, generation: Generation(1), version: Version(0), refused: Version(0) };
        let message = Message { header, body: Body::Ack { sequence }, updates: Vec::new() };
        if let Ok(bytes) = datagram::encode(&message) {
            self.bytes += bytes.len() as u64;
        }
        self.state_machine.on_event(
            self.now,
            members::Event::DatagramReceived(message),
            &mut Vec::new(),
        );
    }
}

fn record(n: usize) -> Record {
    let ip = [10, (n / 65_536) as u8, (n / 256) as u8, n as u8];
    let address = |port| std::net::SocketAddr::from((ip, port));
    let name = |text: String| text.parse().unwrap_or_else(|_| unreachable!("a valid name"));
    let service = service_name(n % SERVICES);
    Record {
        id: NodeId(address(7400)),
        peer: address(7401),
        operator: address(7403),
        domain: name(format!("domain-{}", n % DOMAINS)),
        region: format!("region-{}", n % 3)
            .parse()
            .unwrap_or_else(|_| unreachable!("a valid name")),
        generation: Generation(1),
        incarnation: Incarnation(0),
        status: Status::Alive,
        leaving: false,
        link: BitRate::default(),
        upstreams: vec![Upstream {
            service: service.parse().unwrap_or_else(|_| unreachable!("a valid name")),
            slots: 12,
            state: UpstreamState::Ready,
            release: None,
            trial_milli: 0,
        }],
    }
}

fn service_name(service: usize) -> String {
    format!("service-{service}")
}

/// Returns the memory of a ledger entry of a completed attempt without an answer, in bytes.
fn ledger_bytes_per_attempt() -> f64 {
    let before = rss_mb();
    let options = ledger::Options { max_entries: LEDGER_ENTRIES, ..ledger::Options::default() };
    let mut ledger = Ledger::new(options);
    let origin = NodeId(([10, 0, 0, 1], 7400).into());
    let deadline = goldcresttally_core::Deadline(MonoTime::from_millis(5000));
    for sequence in 0..LEDGER_ENTRIES as u64 {
        let id = AttemptId { origin, generation: Generation(1), sequence };
        // Neither can fail: the ledger has room for all entries, and every attempt id is new.
        let _ = ledger.begin(MonoTime(0), id, deadline, None);
        let _ = ledger.dispatch(id);
        ledger.done(id, None);
    }
    (rss_mb() - before) * 1e6 / ledger.len() as f64
}

/// Measures a document with all services: memory, time to install a change, bytes of a change.
fn document_cost() -> Result<(f64, f64, usize), String> {
    let before = rss_mb();
    let section = |n: usize, queue: usize| -> Result<ChangedSection, String> {
        let text = documents::service_section(&service_name(n), 3000, queue);
        let name =
            service_name(n).parse().map_err(|e: goldcresttally_core::Error| e.to_string())?;
        Ok(ChangedSection { name, body: Arc::from(text) })
    };
    let mut sections: Vec<_> = (0..SERVICES).map(|n| section(n, 64)).collect::<Result<_, _>>()?;
    let ranks = ChangedSection {
        name: "ranks".parse().map_err(|e: goldcresttally_core::Error| e.to_string())?,
        body: Arc::from(documents::ranks_section()),
    };
    sections.push(ranks);
    let first = full_update(1, &sections);
    sections[7] = section(7, 65)?;
    let bundle = Bundle::default().patched(&first).ok_or("the first version does not apply")?;
    let snapshot = Snapshot::build(Version(1), &bundle.sections()).map_err(|e| e.to_string())?;
    let local_peer = distribution::Peer::new(
        NodeId(([10, 0, 0, 1], 7400).into()),
        "domain-0".parse().map_err(|e: goldcresttally_core::Error| e.to_string())?,
    );
    let state_machine =
        Distribution::new(distribution::Options::default(), local_peer, 1, MonoTime(0));
    let document_mb = rss_mb() - before;
    let second = Bundle::default().patched(&full_update(2, &sections)).ok_or("does not apply")?;
    let update = second.update_from(bundle.manifest());
    let started = Instant::now();
    let patched = bundle.patched(&update).ok_or("the change does not apply")?;
    let changed_snapshot =
        Snapshot::build(Version(2), &patched.sections()).map_err(|e| e.to_string())?;
    let install_ms = started.elapsed().as_secs_f64() * 1000.0;
    drop((snapshot, changed_snapshot, state_machine));
    let bytes = update.changed.iter().map(|s| s.body.len() + 64).sum::<usize>() + 128;
    Ok((document_mb, install_ms, bytes))
}

fn full_update(version: u64, sections: &[ChangedSection]) -> VersionUpdate {
    let entries: Vec<SectionEntry> = sections.iter().map(ChangedSection::entry).collect();
    VersionUpdate {
        version: Version(version),
        base: Version(0),
        manifest: Manifest::new(Version(version), entries).digest(),
        changed: sections.to_vec(),
        removed: Vec::new(),
    }
}
