//! Test versions, and a simulated fleet of distribution state machines with a shared table.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use goldcresttally_config::{Manifest, SectionEntry};
use goldcresttally_core::{Deadline, FeedPosition, MonoTime, NodeId, Version};
use goldcresttally_distribution::{
    Action, Bundle, ChangedSection, Distribution, Event, Notice, Options, Peer, Source,
    VersionUpdate,
};

/// Interval of ticks and deliveries, in milliseconds.
const STEP_MS: u64 = 20;

pub fn node(n: usize) -> NodeId {
    NodeId(format!("127.0.{}.{}:7400", n / 200, n % 200 + 1).parse().unwrap())
}

pub fn peer(n: usize, domains: usize) -> Peer {
    Peer::new(node(n), format!("d{}", n % domains).parse().unwrap())
}

/// Returns the sections of a version; section `s` changes every `s + 1` versions.
pub fn sections(version: u64) -> Vec<ChangedSection> {
    let section = |s: u64| ChangedSection {
        name: format!("s{s}").parse().unwrap(),
        body: Arc::from(format!("# {s} {}", version / (s + 1))),
    };
    (0..4).map(section).collect()
}

pub fn manifest(version: u64) -> Manifest {
    let entries: Vec<SectionEntry> = sections(version).iter().map(ChangedSection::entry).collect();
    Manifest::new(Version(version), entries)
}

pub fn complete(version: u64) -> VersionUpdate {
    VersionUpdate {
        version: Version(version),
        base: Version(0),
        manifest: manifest(version).digest(),
        changed: sections(version),
        removed: Vec::new(),
    }
}

pub fn difference(base: u64, version: u64) -> VersionUpdate {
    if base == 0 {
        return complete(version);
    }
    let bundle = Bundle::default().patched(&complete(version)).unwrap();
    bundle.update_from(&manifest(base))
}

/// A message in flight.
enum Delivery {
    To(usize, Event),
    /// A fetch from a peer, answered with the version that the peer has on arrival.
    Fetch {
        asker: usize,
        peer: usize,
        known: Version,
    },
}

pub struct Fleet {
    pub now: MonoTime,
    pub machines: Vec<Option<Distribution>>,
    /// The version in force at each node.
    pub in_force: Vec<u64>,
    /// The newest version in the table.
    pub newest: u64,
    pub table_up: bool,
    /// Nodes that the table refuses.
    pub refused_by_table: BTreeSet<usize>,
    /// Nodes whose requests to the table get no answer.
    pub silenced: BTreeSet<usize>,
    /// Nodes that are paused: they process nothing, and what arrives meanwhile is lost.
    pub paused: BTreeSet<usize>,
    /// Long polls that the table holds: the node, until when, and the version that it knew.
    held: Vec<(usize, Deadline, u64)>,
    pub reads: u64,
    pub pushes: u64,
    pub notices: u64,
    /// Versions that nodes refuse as invalid.
    pub invalid: BTreeSet<u64>,
    /// Nodes that reach neither the table nor the nodes outside of this set.
    pub partitioned: BTreeSet<usize>,
    pub loss: f64,
    pub duplicates: f64,
    pub log: Vec<String>,
    domains: usize,
    options: Options,
    rng: fastrand::Rng,
    in_flight: BTreeMap<(MonoTime, u64), Delivery>,
    serial: u64,
}

impl Fleet {
    pub fn start(count: usize, domains: usize, options: Options, seed: u64) -> Self {
        let mut fleet = Self {
            now: MonoTime::from_millis(1000),
            machines: Vec::new(),
            in_force: vec![0; count],
            newest: 0,
            table_up: true,
            refused_by_table: BTreeSet::new(),
            silenced: BTreeSet::new(),
            paused: BTreeSet::new(),
            held: Vec::new(),
            reads: 0,
            pushes: 0,
            notices: 0,
            invalid: BTreeSet::new(),
            partitioned: BTreeSet::new(),
            loss: 0.0,
            duplicates: 0.0,
            log: Vec::new(),
            domains,
            options,
            rng: fastrand::Rng::with_seed(seed),
            in_flight: BTreeMap::new(),
            serial: 0,
        };
        for n in 0..count {
            fleet.machines.push(None);
            fleet.start_node(n);
        }
        for n in 0..count {
            fleet.update_members(n);
            fleet.event(n, Event::FloorLearned(Version(0)));
        }
        fleet
    }

    pub fn start_node(&mut self, n: usize) {
        let seed = self.rng.u64(..);
        let own = peer(n, self.domains);
        self.machines[n] = Some(Distribution::new(self.options.clone(), own, seed, self.now));
    }

    /// Reports to node `n` all running nodes on its side of the partition.
    pub fn update_members(&mut self, n: usize) {
        let others = (0..self.machines.len()).filter(|o| *o != n && self.reaches(n, *o));
        let others = others.filter(|o| self.machines[*o].is_some());
        let others: Vec<_> = others.map(|o| peer(o, self.domains)).collect();
        self.event(n, Event::MembersChanged(others));
    }

    pub fn reaches_table(&self, n: usize) -> bool {
        self.table_up && !self.partitioned.contains(&n) && !self.refused_by_table.contains(&n)
    }

    /// Answers the polls that the table holds when there is a new version or their time is over.
    fn answer_polls(&mut self) {
        let (now, newest) = (self.now, self.newest);
        let due =
            |(_, until, known): &mut (usize, Deadline, u64)| until.is_past(now) || *known < newest;
        let due: Vec<_> = self.held.extract_if(.., due).collect();
        for (n, ..) in due {
            self.answer_poll(n);
        }
    }

    fn answer_poll(&mut self, n: usize) {
        let newest = self.newest;
        let table_read = Event::TableRead {
            version: Version(newest),
            manifest: (newest > 0).then(|| manifest(newest).digest()),
            position: Some(FeedPosition(newest)),
        };
        if !self.silenced.contains(&n) {
            let up = self.reaches_table(n);
            self.deliver(n, if up { table_read } else { Event::PollFailed });
        }
    }

    /// Ends the process of node `n`; the others go on to count it as a member.
    pub fn kill(&mut self, n: usize) {
        self.machines[n] = None;
        self.in_force[n] = 0;
        self.held.retain(|(held, ..)| *held != n);
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        self.partitioned.contains(&a) == self.partitioned.contains(&b)
    }

    pub fn event(&mut self, n: usize, event: Event) {
        if self.paused.contains(&n) {
            return;
        }
        let Some(machine) = &mut self.machines[n] else { return };
        let mut actions = Vec::new();
        machine.on_event(self.now, event, &mut actions);
        for action in actions {
            self.handle_action(n, action);
        }
    }

    fn handle_action(&mut self, n: usize, action: Action) {
        match action {
            Action::AbandonPoll => self.held.retain(|(held, ..)| *held != n),
            Action::Poll { hold_until, position } => {
                self.reads += 1;
                if self.silenced.contains(&n) {
                    return;
                }
                if !self.reaches_table(n) {
                    return self.deliver(n, Event::PollFailed);
                }
                // Without a position in the feed, a node reads the newest version at once.
                match position.filter(|_| self.options.long_poll) {
                    Some(FeedPosition(known)) => self.held.push((n, hold_until, known)),
                    None => self.answer_poll(n),
                }
            }
            Action::Fetch { source: Source::Platform, known, .. } => {
                let source = Source::Platform;
                let up = self.reaches_table(n) && !self.silenced.contains(&n);
                let update = Arc::new(difference(known.0, self.newest));
                let fetched = Event::Fetched { source, update };
                self.deliver(n, if up { fetched } else { Event::FetchFailed { source } });
            }
            Action::Fetch { source: Source::Peer(from), known, .. } => {
                let peer = self.index(from);
                self.schedule(Delivery::Fetch { asker: n, peer, known });
            }
            Action::Install(bundle) => self.install(n, &bundle),
            Action::Push { to, update } => self.push(n, to, update),
            Action::Notify { to, notice } => self.notify(n, &to, notice),
            Action::Ready(version) => {
                self.log.push(format!("{} node {n} ready at {version}", self.now));
            }
        }
    }

    fn install(&mut self, n: usize, bundle: &Bundle) {
        let version = bundle.version();
        // The bundle contains exactly the sections of one version.
        let actual: Vec<_> = bundle.sections();
        let expected: Vec<_> = sections(version.0).into_iter().map(|s| (s.name, s.body)).collect();
        assert_eq!(actual, expected, "node {n} got a mix of versions for version {version}");
        if self.invalid.contains(&version.0) {
            self.event(n, Event::Refused(version));
            return;
        }
        assert!(
            version.0 > self.in_force[n],
            "node {n} was rolled back from {} to {version}",
            self.in_force[n]
        );
        self.in_force[n] = version.0;
        self.log.push(format!("{} node {n} has version {version} in force", self.now));
        self.event(n, Event::Installed(version));
    }

    fn push(&mut self, n: usize, to: NodeId, update: Arc<VersionUpdate>) {
        self.pushes += 1;
        let target = self.index(to);
        let alive = self.machines[target].is_some() && !self.paused.contains(&target);
        let arrives = self.reaches(n, target) && alive;
        if !arrives || self.rng.f64() < self.loss {
            self.deliver(n, Event::PushFailed { to, update });
            return;
        }
        let copies = 1 + usize::from(self.rng.f64() < self.duplicates);
        for _ in 0..copies {
            self.deliver(target, Event::Pushed { from: node(n), update: Arc::clone(&update) });
        }
    }

    fn notify(&mut self, n: usize, to: &[NodeId], notice: Notice) {
        for id in to {
            self.notices += 1;
            let target = self.index(*id);
            if self.reaches(n, target) && self.rng.f64() >= self.loss {
                self.deliver(target, Event::Notice { from: node(n), notice });
            }
        }
    }

    fn index(&self, id: NodeId) -> usize {
        (0..self.machines.len()).find(|n| node(*n) == id).unwrap()
    }

    fn deliver(&mut self, to: usize, event: Event) {
        self.schedule(Delivery::To(to, event));
    }

    fn schedule(&mut self, delivery: Delivery) {
        self.serial += 1;
        let delay = Duration::from_millis(self.rng.u64(1..60));
        self.in_flight.insert((self.now + delay, self.serial), delivery);
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.now < end {
            self.now = self.now + Duration::from_millis(STEP_MS);
            let later = self.in_flight.split_off(&(self.now, u64::MAX));
            for (_, delivery) in std::mem::replace(&mut self.in_flight, later) {
                match delivery {
                    Delivery::To(n, event) => self.event(n, event),
                    Delivery::Fetch { asker, peer, known } => self.answer_fetch(asker, peer, known),
                }
            }
            self.answer_polls();
            for n in 0..self.machines.len() {
                self.event(n, Event::Tick);
            }
            self.exchange_versions();
        }
    }

    fn answer_fetch(&mut self, asker: usize, peer: usize, known: Version) {
        let source = Source::Peer(node(peer));
        let alive = self.machines[peer].as_ref().filter(|_| !self.paused.contains(&peer));
        let reachable = alive.filter(|_| self.reaches(asker, peer));
        let event = match reachable.filter(|m| m.version() > known) {
            Some(machine) => {
                Event::Fetched { source, update: Arc::new(machine.update_since(known)) }
            }
            None => Event::FetchFailed { source },
        };
        self.deliver(asker, event);
    }

    /// Simulates membership: each node pings one other node per second, and both learn the other's
    /// version.
    fn exchange_versions(&mut self) {
        let count = self.machines.len();
        for n in 0..count {
            let phase = n as u64 * 37 % (1000 / STEP_MS);
            let due = self.now.0 / 1000 / STEP_MS % (1000 / STEP_MS) == phase;
            let other = self.rng.usize(..count);
            let lost = self.rng.f64() < self.loss;
            if due && !lost && other != n && self.reaches(n, other) {
                self.report_version(other, n);
                self.report_version(n, other);
            }
        }
    }

    fn report_version(&mut self, from: usize, to: usize) {
        let Some(machine) = &self.machines[from] else { return };
        let (from, version) = (node(from), machine.version());
        self.event(to, Event::PeerVersion { from, version });
    }

    pub fn lagging(&self) -> Vec<usize> {
        let running = (0..self.machines.len()).filter(|n| self.machines[*n].is_some());
        running.filter(|n| self.in_force[*n] < self.newest).collect()
    }
}
