//! Drives the machines of the control thread: takes events, performs actions.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use goldcresttally_config::SectionFormat;
use goldcresttally_core::{Deadline, MonoTime, NodeId};
use goldcresttally_distribution::{self as distribution, Distribution};
use goldcresttally_ledger::ClaimBatcher;
use goldcresttally_membership::{self as members, JoinBackoff, Membership, Registry};
use goldcresttally_proxy::claims::ClaimWriteOutcome;
use goldcresttally_proxy::link::LinkPool;
use goldcresttally_proxy::{Peer, Transport};
use goldcresttally_store::{DocumentSource, NodeDirectory, TableStore};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::Config;
use super::command::{Command, ControlStatus, Traffic};
use super::connections::Connections;
use crate::events;
use crate::settings::Settings;

/// Interval at which the machines are told the time, in milliseconds.
const TICK_MS: u64 = 50;

/// Shortest time between two tables of endpoints made from the view of members, in milliseconds.
const VIEW_INTERVAL_MS: u64 = 200;

/// Interval at which the log is told which lines were left out, in milliseconds.
const LOG_FLUSH_MS: u64 = 5000;

/// Time that tasks of the control thread have to end, in milliseconds.
const STOP_LIMIT_MS: u64 = 200;

/// Largest datagram that is read, in bytes.
const DATAGRAM_BUFFER_BYTES: usize = 64 * 1024;

/// The machines of one node.
pub(super) struct Machines {
    pub membership: Membership,
    pub distribution: Distribution,
    pub registry: Registry,
    pub pacer: JoinBackoff,
    pub batcher: ClaimBatcher<oneshot::Sender<ClaimWriteOutcome>>,
}

/// What the control thread's tasks share.
pub(super) struct Control {
    pub settings: Arc<Settings>,
    pub machines: RefCell<Machines>,
    pub peer: Arc<Peer>,
    pub links: Vec<Arc<LinkPool>>,
    pub transport: Arc<dyn Transport>,
    pub source: Arc<dyn DocumentSource>,
    pub format: Arc<dyn SectionFormat>,
    pub table: Arc<dyn TableStore>,
    pub directory: Option<Arc<dyn NodeDirectory>>,
    /// Nodes that the directory has named.
    pub listed: RefCell<Vec<NodeId>>,
    pub socket: UdpSocket,
    pub connections: Connections,
    pub tasks: TaskTracker,
    pub stop: CancellationToken,
    pub traffic: Rc<Cell<Traffic>>,
    /// Whether the view has changed since the endpoints were last made from it.
    pub view_changed: Cell<bool>,
    /// When endpoints may be made from the view again.
    pub next_view: Cell<Deadline>,
    /// When it is next told which log lines were left out.
    pub next_flush: Cell<Deadline>,
    pub joined: Cell<bool>,
    pub joining: Cell<bool>,
    pub joins_served: Cell<(u64, u32)>,
    pub refusal: RefCell<Option<Arc<str>>>,
}

impl Control {
    /// Returns the machines of a node that has just started.
    pub fn new(config: Config, socket: std::net::UdpSocket) -> std::io::Result<Self> {
        let now = config.peer.state().clock.now();
        let settings = config.settings;
        let id = config.own.id;
        let own = distribution::Peer { id, domain: config.own.domain.clone() };
        let rate = goldcresttally_core::Rate(settings.requests.claim_writes_per_second);
        let options = distribution::Options {
            long_poll: config.source.has_feed(),
            ..settings.distribution_options()
        };
        let lease = Duration::from_millis(settings.membership.lease_ms);
        let mut registry = Registry::new(lease);
        registry.require_confirmation_before(config.own.generation);
        let machines = Machines {
            membership: Membership::new(
                settings.membership_options(),
                config.own,
                config.seed,
                now,
            ),
            distribution: Distribution::new(options, own, config.seed + 1, now),
            registry,
            pacer: JoinBackoff::new(config.seed + 2, now),
            batcher: ClaimBatcher::new(rate),
        };
        let traffic = Rc::new(Cell::new(Traffic::default()));
        Ok(Self {
            machines: RefCell::new(machines),
            source: config.source,
            format: config.format,
            directory: config.directory,
            listed: RefCell::default(),
            connections: Connections::new(Arc::clone(&config.transport), Rc::clone(&traffic)),
            socket: UdpSocket::from_std(socket)?,
            peer: config.peer,
            links: config.links,
            transport: config.transport,
            table: config.table,
            tasks: TaskTracker::new(),
            stop: CancellationToken::new(),
            traffic,
            view_changed: Cell::new(true),
            next_view: Cell::new(Deadline(now)),
            next_flush: Cell::new(Deadline(now)),
            joined: Cell::new(settings.node.seeds.iter().all(|s| *s == id)),
            joining: Cell::new(false),
            joins_served: Cell::new((0, 0)),
            refusal: RefCell::new(None),
            settings,
        })
    }

    /// Drives the machines until the node stops.
    pub async fn run(self: &Rc<Self>, mut commands: mpsc::Receiver<Command>) {
        self.tasks.spawn_local(Rc::clone(self).keep_listed());
        let mut tick = tokio::time::interval(Duration::from_millis(TICK_MS));
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut buf = vec![0; DATAGRAM_BUFFER_BYTES];
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buf) => {
                    if let Ok((len, from)) = received {
                        self.on_datagram(from, &buf[..len]);
                    }
                }
                _ = tick.tick() => self.on_tick(),
                command = commands.recv() => match command {
                    None | Some(Command::Stop) => break,
                    Some(command) => self.on_command(command),
                },
                () = self.stop.cancelled() => break,
            }
        }
        self.on_members(members::Event::Stopped);
        self.stop.cancel();
        self.connections.clear();
        self.tasks.close();
        let limit = Duration::from_millis(STOP_LIMIT_MS);
        // What is left waits for the network; it ends with the thread's tasks.
        let _ = tokio::time::timeout(limit, self.tasks.wait()).await;
    }

    /// Reads the clock.
    pub fn now(&self) -> MonoTime {
        self.peer.state().clock.now()
    }

    fn on_tick(self: &Rc<Self>) {
        self.on_members(members::Event::Tick);
        self.on_distribution(distribution::Event::Tick);
        self.expire_leases();
        self.withdraw_unreachable();
        self.join_if_due();
        self.write_claims_if_due();
        self.peer.tick();
        let now = self.now();
        if self.next_flush.get().is_past(now) {
            self.next_flush.set(Deadline::after(now, Duration::from_millis(LOG_FLUSH_MS)));
            events::report_suppressed();
        }
        if self.view_changed.get() && self.next_view.get().is_past(now) {
            self.view_changed.set(false);
            let interval = Duration::from_millis(VIEW_INTERVAL_MS);
            self.next_view.set(Deadline::after(now, interval));
            self.publish_view();
        }
    }

    fn on_command(self: &Rc<Self>, command: Command) {
        match command {
            Command::Announce(announcement, reply) => {
                let _ = reply.send(self.on_announce(announcement));
            }
            Command::WithdrawProcess(instance, generation, reply) => {
                let _ = reply.send(self.on_withdraw_process(&instance, generation));
            }
            Command::Withdraw(service, address, reply) => {
                let _ = reply.send(self.on_withdraw(&service, address));
            }
            Command::VersionAccepted(update) => {
                self.on_distribution(distribution::Event::Accepted(update));
            }
            Command::Status(reply) => {
                let _ = reply.send(self.status());
            }
            Command::Members(reply) => {
                let machines = self.machines.borrow();
                let own = machines.membership.own().clone();
                let mut records: Vec<_> = machines.membership.records().cloned().collect();
                records.push(own);
                records.sort_by_key(|r| r.id);
                let _ = reply.send(records);
            }
            Command::Rollout(version, reply) => {
                let _ = reply.send(self.rollout(version));
            }
            Command::Claim(write) => self.on_claim(write),
            Command::Leave => {
                self.on_members(members::Event::Leaving);
                self.view_changed.set(true);
            }
            Command::Stop => self.stop.cancel(),
        }
    }

    fn status(&self) -> ControlStatus {
        let machines = self.machines.borrow();
        let Machines { membership, distribution, .. } = &*machines;
        let suspects = membership.members().filter(|r| r.status == members::Status::Suspect);
        ControlStatus {
            node: membership.own().id,
            generation: membership.own().generation,
            domain: membership.own().domain.clone(),
            version: distribution.version(),
            floor: distribution.floor(),
            ready: distribution.is_ready(),
            refused: distribution.refused(),
            refusal: self.refusal.borrow().clone(),
            members: membership.members().count() + 1,
            suspects: suspects.count(),
            isolated: membership.is_isolated(),
            traffic: self.traffic.get(),
            cpu_us: thread_cpu_us(),
        }
    }
}

/// Reads the processor time of this thread from the kernel; 0 where that cannot be had.
fn thread_cpu_us() -> u64 {
    // The first field of schedstat is the time on a processor, in nanoseconds.
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let ns = text.split_whitespace().next().and_then(|n| n.parse::<u64>().ok());
    ns.unwrap_or(0) / 1000
}
