//! The protocol's state machine: probing, suspicion, gossip and anti-entropy repair.

mod gossip;
mod merge;
mod prober;
mod view;

use std::time::Duration;

use goldcresttally_core::{Deadline, Map, MonoTime, NodeId, Version};

use crate::message::{Body, Header, Message};
use crate::record::{Record, Status, Upstream};
use gossip::BroadcastQueue;
use prober::Prober;
pub use view::HASH_BUCKETS;

/// Timing and size parameters of the protocol.
#[derive(Debug, Clone)]
pub struct Options {
    /// Interval between probes; each probes one member.
    pub probe_interval: Duration,
    /// Time without an answer after which other members are asked to probe the target.
    pub probe_timeout: Duration,
    /// Number of members asked to probe on this node's behalf.
    pub indirect_probes: usize,
    /// Minimum time that a suspect has to refute the suspicion; with more than ten members it is
    /// multiplied by the decimal logarithm of their number.
    pub suspicion_base: Duration,
    /// Interval between gossip rounds, which send queued updates.
    pub gossip_interval: Duration,
    /// Number of members that receive each gossip round.
    pub gossip_fanout: usize,
    /// Maximum number of queued updates in one datagram.
    pub updates_per_datagram: usize,
    /// Time for which the record of a dead or left member is kept.
    pub tombstone_retention: Duration,
    /// Mean interval between anti-entropy syncs with a random member.
    pub sync_interval: Duration,
    /// A gap between ticks longer than this means that the process was paused.
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

/// An input of the state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed; expected at least every 100 ms.
    Tick,
    /// A datagram was received.
    DatagramReceived(Message),
    /// Records were received over a control connection, in a join or a sync.
    RecordsReceived(Vec<Record>),
    /// The upstreams attached to this node changed.
    UpstreamsChanged(Vec<Upstream>),
    /// The version in force at this node changed, or a version was refused.
    VersionChanged {
        /// The version in force.
        version: Version,
        /// The newest version refused; 0 if none.
        refused: Version,
    },
    /// Ping members that have reported neither `version` nor a refusal of it, so that an operator
    /// who follows a rollout sees their progress.
    QueryVersions {
        /// The version that is rolled out.
        version: Version,
        /// Maximum number of members to ping.
        limit: usize,
    },
    /// This node accepts no new calls from now on.
    Leaving,
    /// This node stops now.
    Stopped,
}

/// An output of the state machine, to be carried out by the driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// The receiver.
        to: NodeId,
        /// The datagram.
        message: Message,
    },
    /// The set of members or the state of one of them changed.
    ViewChanged,
    /// A member reported a version in force that is newer than this node's.
    VersionSeen {
        /// The member.
        from: NodeId,
        /// Its version.
        version: Version,
    },
    /// A member told which version is the newest accepted one.
    NoticeReceived {
        /// The member.
        from: NodeId,
        /// The version, which it has in force.
        version: Version,
        /// Position in the change feed up to which no later version was accepted; 0 without a feed.
        position: u64,
        /// Whether the table told it to the member itself.
        direct: bool,
    },
    /// Compare bucket hashes with a member and exchange the records that differ.
    Sync {
        /// The member.
        with: NodeId,
    },
    /// A process with a later generation was seen at this node's address.
    Superseded {
        /// That process's record.
        by: Record,
    },
    /// This process was paused; its leases may have expired meanwhile.
    Resumed {
        /// The time between the ticks before and after the pause.
        gap: Duration,
    },
    /// This node lost contact with most members at once, or regained it.
    IsolationChanged {
        /// Whether the node considers itself isolated.
        isolated: bool,
    },
}

/// The local state about another node.
#[derive(Debug, Clone)]
struct Member {
    record: Record,
    /// When a suspect is declared dead.
    suspicion: Option<Deadline>,
    /// When it was declared dead.
    died: Option<MonoTime>,
    /// When the record of a dead or left member is discarded.
    tombstone: Option<Deadline>,
    /// The newest version reported from its address.
    version: Version,
    /// The newest version that its current generation reported as refused.
    refused: Version,
}

/// The membership state machine of one node.
#[derive(Debug)]
pub struct Membership {
    options: Options,
    rng: fastrand::Rng,
    own: Record,
    version: Version,
    refused: Version,
    members: Map<NodeId, Member>,
    broadcasts: BroadcastQueue,
    prober: Prober,
    next_gossip: Deadline,
    next_sync: Deadline,
    last_tick: Option<MonoTime>,
    isolated: bool,
}

impl Membership {
    /// Returns the state machine of the node described by `own`; `seed` drives its random choices.
    pub fn new(options: Options, own: Record, seed: u64, now: MonoTime) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let first_sync = options.sync_interval.mul_f64(0.5 + rng.f64());
        let mut machine = Self {
            rng,
            version: Version(0),
            refused: Version(0),
            members: Map::default(),
            broadcasts: BroadcastQueue::default(),
            prober: Prober::new(now),
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

    /// Processes one event and appends the resulting actions to `actions`.
    pub fn on_event(&mut self, now: MonoTime, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.on_tick(now, actions),
            Event::DatagramReceived(message) => self.on_message(now, message, actions),
            Event::RecordsReceived(records) => self.merge_received(now, records, actions),
            Event::UpstreamsChanged(upstreams) => self.on_upstreams(upstreams, actions),
            Event::VersionChanged { version, refused } => {
                self.version = self.version.max(version);
                self.refused = self.refused.max(refused);
            }
            Event::QueryVersions { version, limit } => self.query_versions(version, limit, actions),
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
        self.probe_if_due(now, actions);
        self.expire_suspicions(now, actions);
        self.drop_tombstones(now);
        self.send_gossip(now, actions);
        self.sync_if_due(now, actions);
    }

    /// Resets the probes in flight and the suspicion deadlines, which a pause invalidates.
    fn on_resume(&mut self, now: MonoTime, gap: Duration, actions: &mut Vec<Action>) {
        self.prober = Prober::new(now);
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
        self.merge_received(now, updates, actions);
        let sender = self.record_header(header, actions);
        match body {
            Body::Ping { sequence } => {
                let mut updates = self.next_updates();
                // Sends a suspect or dead sender its own record, so that it can refute it.
                updates.extend(sender.filter(|r| r.status != Status::Alive));
                self.send(header.from, Body::Ack { sequence }, updates, actions);
            }
            Body::PingRequest { sequence, target } => {
                self.relay_probe(now, header.from, sequence, target, actions);
            }
            Body::Ack { sequence } => self.on_ack(now, sequence, actions),
            Body::Notice { position, direct } => {
                let Header { from, version, .. } = header;
                actions.push(Action::NoticeReceived { from, version, position, direct });
            }
            Body::Gossip => {}
        }
    }

    /// Records the versions in a datagram's header; returns the stored record of its sender.
    fn record_header(&mut self, header: Header, actions: &mut Vec<Action>) -> Option<Record> {
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

    fn sync_if_due(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
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

    /// Returns the header of this node's datagrams.
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
