//! Probing, suspicion, gossip and repair as one state machine.

mod gossip;
mod merge;
mod probe;
mod view;

use std::time::Duration;

use goldcresttally_core::{Deadline, Map, MonoTime, NodeId, Version};

use crate::message::{Body, Header, Message};
use crate::record::{Record, Status, Upstream};
use gossip::Broadcasts;
use probe::Probe;
pub use view::HASH_BUCKETS;

/// Timing and sizes of the protocol.
#[derive(Debug, Clone)]
pub struct Options {
    /// One member is probed in each interval.
    pub probe_interval: Duration,
    /// Time after which an unanswered probe is tried through other members.
    pub probe_timeout: Duration,
    /// Members asked to probe on this node's behalf.
    pub indirect_probes: usize,
    /// Shortest time that a suspect has to refute; grows with the logarithm of the members.
    pub suspicion_base: Duration,
    /// Queued claims are sent once in each interval.
    pub gossip_interval: Duration,
    /// Members that get each round of gossip.
    pub gossip_fanout: usize,
    /// Most claims in one datagram.
    pub updates_per_datagram: usize,
    /// Time for which a dead or left member is remembered.
    pub tombstone_retention: Duration,
    /// Interval of repair by comparing hashes with one other member.
    pub sync_interval: Duration,
    /// A gap between ticks that means this process was paused.
    pub pause_threshold: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            suspicion_base: Duration::from_secs(3),
            gossip_interval: Duration::from_millis(200),
            gossip_fanout: 3,
            updates_per_datagram: 10,
            tombstone_retention: Duration::from_hours(1),
            sync_interval: Duration::from_secs(30),
            pause_threshold: Duration::from_secs(2),
        }
    }
}

/// What happens to the machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed; sent at least every 100 ms.
    Tick,
    /// A datagram came.
    DatagramReceived(Message),
    /// Claims came over a connection, when joining or repairing.
    RecordsReceived(Vec<Record>),
    /// The upstreams beside this node changed.
    UpstreamsChanged(Vec<Upstream>),
    /// Another version is in force at this node, or one was refused.
    VersionChanged {
        /// The version in force.
        version: Version,
        /// The newest version refused.
        refused: Version,
    },
    /// An operator watches a rollout: ask members that have not told a version this new.
    QueryVersions {
        /// The version.
        version: Version,
        /// Most members to ask.
        limit: usize,
    },
    /// This node takes no new calls from now on.
    Leaving,
    /// This node stops now.
    Stopped,
}

/// What the driver is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// The receiver.
        to: NodeId,
        /// The datagram.
        message: Message,
    },
    /// The view of members or their upstreams changed.
    ViewChanged,
    /// A member has a version in force that is newer than this node's.
    VersionSeen {
        /// The member.
        from: NodeId,
        /// Its version.
        version: Version,
    },
    /// Compare hashes with a member and merge what differs.
    Sync {
        /// The member.
        with: NodeId,
    },
    /// A later process runs at this node's address, or ran there.
    Superseded {
        /// The record that says so.
        by: Record,
    },
    /// This process was paused; leases that it holds may have lapsed.
    Resumed {
        /// How long it was paused.
        gap: Duration,
    },
    /// This node lost sight of most members at once, or sees them again.
    IsolationChanged {
        /// Whether it is cut off.
        isolated: bool,
    },
}

/// What this node knows of another.
#[derive(Debug, Clone)]
struct Member {
    record: Record,
    /// When a suspicion turns into death.
    suspicion: Option<Deadline>,
    /// When it was declared dead.
    died: Option<MonoTime>,
    /// When the record of a dead or left member is dropped.
    tombstone: Option<Deadline>,
    /// The newest version that it told.
    version: Version,
    /// The newest version that it told it refused.
    refused: Version,
}

/// The membership machine of one node.
#[derive(Debug)]
pub struct Membership {
    options: Options,
    rng: fastrand::Rng,
    own: Record,
    version: Version,
    refused: Version,
    members: Map<NodeId, Member>,
    broadcasts: Broadcasts,
    probe: Probe,
    next_gossip: Deadline,
    next_sync: Deadline,
    last_tick: Option<MonoTime>,
    isolated: bool,
}

impl Membership {
    /// Returns the machine of the node that `own` describes; `seed` drives its random choices.
    pub fn new(options: Options, own: Record, seed: u64, now: MonoTime) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let first_sync = options.sync_interval.mul_f64(0.5 + rng.f64());
        let mut machine = Self {
            rng,
            version: Version(0),
            refused: Version(0),
            members: Map::default(),
            broadcasts: Broadcasts::default(),
            probe: Probe::new(now),
            next_gossip: Deadline(now),
            next_sync: Deadline::after(now, first_sync),
            last_tick: None,
            isolated: false,
            own,
            options,
        };
        machine.broadcast_own();
        machine
    }

    /// Takes one event and appends what is to be done to `actions`.
    pub fn on_event(&mut self, now: MonoTime, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.on_tick(now, actions),
            Event::DatagramReceived(message) => self.on_message(now, message, actions),
            Event::RecordsReceived(records) => self.merge_all(now, records, actions),
            Event::UpstreamsChanged(upstreams) => self.on_upstreams(upstreams, actions),
            Event::VersionChanged { version, refused } => {
                self.version = self.version.max(version);
                self.refused = self.refused.max(refused);
            }
            Event::QueryVersions { version, limit } => self.ask_versions(version, limit, actions),
            Event::Leaving => self.on_leaving(actions),
            Event::Stopped => self.on_stopped(actions),
        }
    }

    fn on_tick(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        let gap = self.last_tick.map_or(Duration::ZERO, |last| now.since(last));
        self.last_tick = Some(now);
        if gap > self.options.pause_threshold {
            self.on_resume(now, gap, actions);
        }
        self.probe_members(now, actions);
        self.end_suspicions(now, actions);
        self.drop_tombstones(now);
        self.send_gossip(now, actions);
        self.repair(now, actions);
    }

    /// Starts over with what a pause has made meaningless: probes in flight and suspicions.
    fn on_resume(&mut self, now: MonoTime, gap: Duration, actions: &mut Vec<Action>) {
        self.probe = Probe::new(now);
        let suspicion = Deadline::after(now, self.suspicion_timeout());
        for member in self.members.values_mut().filter(|m| m.suspicion.is_some()) {
            member.suspicion = Some(suspicion);
        }
        self.next_sync = Deadline(now);
        actions.push(Action::Resumed { gap });
    }

    fn on_message(&mut self, now: MonoTime, message: Message, actions: &mut Vec<Action>) {
        let Message { header, body, updates } = message;
        if header.from == self.own.id {
            return;
        }
        self.merge_all(now, updates, actions);
        let known = self.note_sender(header, actions);
        match body {
            Body::Ping { sequence } => {
                let mut updates = self.take_updates();
                // Lets a sender that is held dead or suspect refute it.
                updates.extend(known.filter(|r| r.status != Status::Alive));
                self.send(header.from, Body::Ack { sequence }, updates, actions);
            }
            Body::PingRequest { sequence, target } => {
                self.relay_probe(now, header.from, sequence, target, actions);
            }
            Body::Ack { sequence } => self.on_ack(now, sequence, actions),
            Body::Gossip => {}
        }
    }

    /// Notes what a datagram's header says; returns the record held of its sender.
    fn note_sender(&mut self, header: Header, actions: &mut Vec<Action>) -> Option<Record> {
        if header.version > self.version {
            actions.push(Action::VersionSeen { from: header.from, version: header.version });
        }
        let member = self.members.get_mut(&header.from)?;
        if member.record.generation != header.generation {
            return Some(member.record.clone());
        }
        member.version = member.version.max(header.version);
        member.refused = member.refused.max(header.refused);
        Some(member.record.clone())
    }

    fn on_upstreams(&mut self, upstreams: Vec<Upstream>, actions: &mut Vec<Action>) {
        if self.own.upstreams != upstreams {
            self.own.upstreams = upstreams;
            self.own.incarnation = self.own.incarnation.next();
            self.broadcast_own();
            actions.push(Action::ViewChanged);
        }
    }

    fn on_leaving(&mut self, actions: &mut Vec<Action>) {
        self.own.leaving = true;
        self.own.incarnation = self.own.incarnation.next();
        self.broadcast_own();
        self.next_gossip = Deadline(MonoTime(0));
        actions.push(Action::ViewChanged);
    }

    fn on_stopped(&mut self, actions: &mut Vec<Action>) {
        self.own.status = Status::Left;
        self.own.incarnation = self.own.incarnation.next();
        let own = self.own.clone();
        for to in self.random_members(2 * self.options.gossip_fanout) {
            self.send(to, Body::Gossip, vec![own.clone()], actions);
        }
    }

    fn repair(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        if !self.next_sync.is_past(now) {
            return;
        }
        let wait = self.options.sync_interval.mul_f64(0.75 + 0.5 * self.rng.f64());
        self.next_sync = Deadline::after(now, wait);
        if let Some(with) = self.random_members(1).pop() {
            actions.push(Action::Sync { with });
        }
    }

    fn send(&self, to: NodeId, body: Body, updates: Vec<Record>, actions: &mut Vec<Action>) {
        let message = Message { header: self.header(), body, updates };
        actions.push(Action::Send { to, message });
    }

    /// Returns what this node's datagrams say about it.
    pub fn header(&self) -> Header {
        Header {
            from: self.own.id,
            generation: self.own.generation,
            version: self.version,
            refused: self.refused,
        }
    }

    fn suspicion_timeout(&self) -> Duration {
        let members = (self.members.len() + 1) as f64;
        self.options.suspicion_base.mul_f64(members.log10().max(1.0))
    }
}
