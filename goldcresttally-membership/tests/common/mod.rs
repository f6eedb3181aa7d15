//! A simulated network of membership state machines.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeSet;

use goldcresttally_core::{BitRate, Generation, Incarnation, MonoTime, NodeId, Version};
use goldcresttally_membership::{
    Action, Event, Membership, Message, Options, Record, Status, Upstream, UpstreamState,
};

/// Interval of ticks and deliveries, in milliseconds.
const STEP_MS: u64 = 50;

pub fn node(n: usize) -> NodeId {
    NodeId(format!("127.0.{}.{}:7400", n / 200, n % 200 + 1).parse().unwrap())
}

pub fn record(n: usize, generation: u64) -> Record {
    Record {
        id: node(n),
        peer: node(n).0,
        operator: node(n).0,
        domain: format!("d{}", n % 3).parse().unwrap(),
        region: "r".parse().unwrap(),
        generation: Generation(generation),
        incarnation: Incarnation(0),
        status: Status::Alive,
        leaving: false,
        link: BitRate::default(),
        upstreams: Vec::new(),
    }
}

pub fn upstream(state: UpstreamState) -> Vec<Upstream> {
    vec![Upstream {
        service: "booking".parse().unwrap(),
        slots: 4,
        state,
        release: None,
        trial_milli: 0,
    }]
}

pub struct Network {
    pub now: MonoTime,
    pub machines: Vec<Option<Membership>>,
    /// Actions other than sent datagrams, with the index of the node that requested them.
    pub actions: Vec<(usize, Action)>,
    /// Nodes that cannot communicate with the nodes outside of this set.
    pub partitioned: BTreeSet<usize>,
    /// Nodes that receive neither ticks nor datagrams.
    pub paused: BTreeSet<usize>,
    pub loss: f64,
    pub duplicates: f64,
    pub datagrams: u64,
    rng: fastrand::Rng,
    in_flight: Vec<(MonoTime, usize, Message)>,
}

impl Network {
    /// Starts `count` nodes, each of which joins through those started before it.
    pub fn start(count: usize, seed: u64) -> Self {
        let mut network = Self {
            now: MonoTime::from_millis(1000),
            machines: Vec::new(),
            actions: Vec::new(),
            partitioned: BTreeSet::new(),
            paused: BTreeSet::new(),
            loss: 0.0,
            duplicates: 0.0,
            datagrams: 0,
            rng: fastrand::Rng::with_seed(seed),
            in_flight: Vec::new(),
        };
        for n in 0..count {
            network.machines.push(None);
            network.start_node(n, 1);
        }
        network
    }

    /// Starts node `n`, which exchanges records with all running nodes.
    pub fn start_node(&mut self, n: usize, generation: u64) {
        let own = record(n, generation);
        let seed = self.rng.u64(..);
        let machine = Membership::new(Options::default(), own.clone(), seed, self.now);
        self.machines[n] = Some(machine);
        let known: Vec<Record> = self.machines.iter().flatten().map(|m| m.own().clone()).collect();
        self.event(n, Event::RecordsReceived(known));
        for other in 0..self.machines.len() {
            if other != n {
                self.event(other, Event::RecordsReceived(vec![own.clone()]));
            }
        }
    }

    pub fn kill_node(&mut self, n: usize) {
        self.machines[n] = None;
    }

    pub fn event(&mut self, n: usize, event: Event) {
        let mut actions = Vec::new();
        if let Some(machine) = &mut self.machines[n] {
            machine.on_event(self.now, event, &mut actions);
        }
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(n, to, &message),
                other => self.actions.push((n, other)),
            }
        }
    }

    fn send(&mut self, from: usize, to: NodeId, message: &Message) {
        self.datagrams += 1;
        let Some(to) = (0..self.machines.len()).find(|n| node(*n) == to) else { return };
        let copies = 1 + usize::from(self.rng.f64() < self.duplicates);
        for _ in 0..copies {
            let lost = self.rng.f64() < self.loss;
            let separated = self.partitioned.contains(&from) != self.partitioned.contains(&to);
            if lost || separated {
                continue;
            }
            let delay = std::time::Duration::from_millis(self.rng.u64(1..40));
            self.in_flight.push((self.now + delay, to, message.clone()));
        }
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + std::time::Duration::from_millis(ms);
        while self.now < end {
            self.now = self.now + std::time::Duration::from_millis(STEP_MS);
            let paused = &self.paused;
            let now = self.now;
            let due = |(at, to, _): &(MonoTime, usize, Message)| *at <= now && !paused.contains(to);
            let (due, later): (Vec<_>, Vec<_>) =
                std::mem::take(&mut self.in_flight).into_iter().partition(due);
            self.in_flight = later;
            for (_, to, message) in due {
                self.event(to, Event::DatagramReceived(message));
            }
            for n in 0..self.machines.len() {
                if !self.paused.contains(&n) {
                    self.event(n, Event::Tick);
                }
            }
        }
    }

    pub fn status(&self, at: usize, of: usize) -> Option<Status> {
        let machine = self.machines[at].as_ref()?;
        machine.records().find(|r| r.id == node(of)).map(|r| r.status)
    }

    pub fn upstream_state(&self, at: usize, of: usize) -> Option<UpstreamState> {
        let machine = self.machines[at].as_ref()?;
        let record = machine.records().find(|r| r.id == node(of))?;
        record.upstreams.first().map(|u| u.state)
    }

    pub fn report_version(&mut self, n: usize, version: u64) {
        let (version, refused) = (Version(version), Version(0));
        self.event(n, Event::VersionChanged { version, refused });
    }
}
