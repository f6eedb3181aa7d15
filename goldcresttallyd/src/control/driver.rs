//! The event loop of the control thread: feeds datagrams, ticks and commands to the state machines.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use goldcresttally_config::{SectionCache, SectionFormat};
use goldcresttally_core::{Deadline, MonoTime, NodeId};
use goldcresttally_distribution::{self as distribution, Distribution};
use goldcresttally_ledger::ClaimBatcher;
use goldcresttally_membership::{self as members, JoinBackoff, Membership, Registry};
use goldcresttally_proxy::claims::ClaimWriteOutcome;
use goldcresttally_proxy::link::LinkPool;
use goldcresttally_proxy::{Peer, Transport};
use goldcresttally_quota::Exchange;
use goldcresttally_store::{DocumentSource, NodeDirectory, TableStore};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use super::Config;
use super::command::{Command, ControlStatus, Traffic};
use super::connections::Connections;
use super::distribution::PollTask;
use super::rollout::Rollouts;
use super::tasks::LocalTasks;
use crate::events::{self, emit};
use crate::settings::Settings;

/// Interval between ticks of the state machines, in milliseconds.
const TICK_INTERVAL_MS: u64 = 50;

/// Minimum interval between endpoint tables built from the membership view, in milliseconds.
const PUBLISH_INTERVAL_MS: u64 = 200;

/// Interval at which the number of suppressed log lines is reported, in milliseconds.
const SUPPRESSION_REPORT_INTERVAL_MS: u64 = 5000;

/// Time that the control thread's tasks have to end when the node stops, in milliseconds.
const TASK_STOP_TIMEOUT_MS: u64 = 200;

/// Maximum size of a received datagram, in bytes.
const DATAGRAM_BUFFER_BYTES: usize = 64 * 1024;

/// The state machines of one node.
pub(super) struct Machines {
    pub membership: Membership,
    pub distribution: Distribution,
    pub registry: Registry,
    pub join_backoff: JoinBackoff,
    pub claim_batcher: ClaimBatcher<oneshot::Sender<ClaimWriteOutcome>>,
}

/// The state shared by the control thread's tasks.
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
    /// The nodes that the directory listed last.
    pub directory_nodes: RefCell<Vec<NodeId>>,
    pub socket: UdpSocket,
    pub connections: Connections,
    pub tasks: LocalTasks,
    pub stop: CancellationToken,
    pub traffic: Rc<Cell<Traffic>>,
    /// The parsed sections of the version in force.
    pub section_cache: RefCell<SectionCache>,
    /// The poll of the table in progress or made last.
    pub poll_task: RefCell<Option<PollTask>>,
    /// Whether the membership view has changed since the endpoint table was last built from it.
    pub endpoints_stale: Cell<bool>,
    /// The earliest time to build the endpoint table again.
    pub next_publish: Cell<Deadline>,
    /// The time of the next report of suppressed log lines.
    pub next_suppression_report: Cell<Deadline>,
    /// Whether this node has joined the members.
    pub joined: Cell<bool>,
    /// Whether an attempt to join is in progress.
    pub joining: Cell<bool>,
    /// Number of attempts to join that failed at all nodes asked.
    pub failed_joins: Cell<u32>,
    /// The last second in which joins were requested of this node, and their number.
    pub join_window: Cell<(u64, u32)>,
    /// Moves the tokens of accounts; `None` if their limits are not enforced.
    pub exchange: Option<RefCell<Exchange>>,
    /// The time at which the exchange needs the next event, if that is before the next tick.
    pub exchange_due: Cell<Option<Deadline>>,
    pub exchange_due_changed: Notify,
    /// The reason why a version was refused last.
    pub refusal: RefCell<Option<Arc<str>>>,
    /// Rollouts of upstreams; `None` where they are not enabled.
    pub rollouts: Option<Rollouts>,
}

impl Control {
    /// Creates the control state of a node that has just started.
    pub fn new(config: Config, socket: std::net::UdpSocket) -> std::io::Result<Self> {
        let now = config.peer.state().clock.now();
        let settings = config.settings;
        let id = config.own.id;
        let own = distribution::Peer {
            link: config.own.link,
            ..distribution::Peer::new(id, config.own.domain.clone())
        };
        let exchange = config.peer.state().account_limits().map(|limits| {
            let quotas = Arc::clone(&limits.quotas);
            RefCell::new(Exchange::new(quotas, id, config.own.domain.clone()))
        });
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
            join_backoff: JoinBackoff::new(config.seed + 2, now),
            claim_batcher: ClaimBatcher::new(rate),
        };
        let rollouts = config.rollouts.and_then(|store| Rollouts::new(store, &settings, now));
        if let Some(rollouts) = &rollouts {
            config.peer.set_rollout_gate(Arc::clone(&rollouts.gate));
        }
        let traffic = Rc::new(Cell::new(Traffic::default()));
        Ok(Self {
            machines: RefCell::new(machines),
            source: config.source,
            format: config.format,
            directory: config.directory,
            directory_nodes: RefCell::default(),
            connections: Connections::new(Arc::clone(&config.transport), Rc::clone(&traffic)),
            socket: UdpSocket::from_std(socket)?,
            peer: config.peer,
            links: config.links,
            transport: config.transport,
            table: config.table,
            tasks: LocalTasks::default(),
            stop: CancellationToken::new(),
            traffic,
            section_cache: RefCell::default(),
            poll_task: RefCell::new(None),
            endpoints_stale: Cell::new(true),
            next_publish: Cell::new(Deadline(now)),
            next_suppression_report: Cell::new(Deadline(now)),
            joined: Cell::new(settings.node.seeds.iter().all(|s| *s == id)),
            joining: Cell::new(false),
            failed_joins: Cell::new(0),
            join_window: Cell::new((0, 0)),
            exchange,
            exchange_due: Cell::new(None),
            exchange_due_changed: Notify::new(),
            refusal: RefCell::new(None),
            rollouts,
            settings,
        })
    }

    /// Runs the event loop until the node stops.
    pub async fn run(self: &Rc<Self>, mut commands: mpsc::Receiver<Command>) {
        self.tasks.spawn(Rc::clone(self).maintain_directory());
        self.tasks.spawn(Rc::clone(self).exchange_when_wanted());
        let mut tick = tokio::time::interval(Duration::from_millis(TICK_INTERVAL_MS));
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
        self.on_membership(members::Event::Stopped);
        self.stop.cancel();
        self.connections.clear();
        // Later commands fail at once.
        drop(commands);
        // Tasks that remain wait for the network.
        let dropped = self.tasks.join(Duration::from_millis(TASK_STOP_TIMEOUT_MS)).await;
        if dropped > 0 {
            emit(events::CONTROL_TASKS_DROPPED, format_args!("{dropped} tasks"));
        }
    }

    /// Returns the current time of the node's clock.
    pub fn now(&self) -> MonoTime {
        self.peer.state().clock.now()
    }

    fn on_tick(self: &Rc<Self>) {
        self.on_membership(members::Event::Tick);
        self.report_poll_progress();
        self.on_distribution(distribution::Event::Tick);
        let fresh = self.machines.borrow().distribution.is_fresh(self.now());
        self.peer.state().set_fresh(fresh);
        self.expire_leases();
        self.withdraw_unreachable();
        self.drain_leaving();
        self.join_if_due();
        self.write_claims_if_due();
        self.on_exchange(goldcresttally_quota::Event::Tick);
        self.tick_rollouts();
        self.peer.tick();
        let now = self.now();
        if self.next_suppression_report.get().is_past(now) {
            self.next_suppression_report
                .set(Deadline::after(now, Duration::from_millis(SUPPRESSION_REPORT_INTERVAL_MS)));
            events::report_suppressed();
        }
        if self.endpoints_stale.get() && self.next_publish.get().is_past(now) {
            self.endpoints_stale.set(false);
            let interval = Duration::from_millis(PUBLISH_INTERVAL_MS);
            self.next_publish.set(Deadline::after(now, interval));
            self.publish_members();
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
            Command::Claim(write) => self.submit_claim(write),
            Command::Leave => {
                self.on_membership(members::Event::Leaving);
                self.endpoints_stale.set(true);
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

/// Returns the CPU time of this thread in microseconds, or 0 if the kernel does not report it.
fn thread_cpu_us() -> u64 {
    // The first field of schedstat is the CPU time in nanoseconds.
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let ns = text.split_whitespace().next().and_then(|n| n.parse::<u64>().ok());
    ns.unwrap_or(0) / 1000
}
