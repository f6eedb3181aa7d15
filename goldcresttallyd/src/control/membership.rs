//! Feeds events to the membership state machine and to the registry of local upstreams, and
//! performs the resulting actions.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use goldcresttally_core::{Deadline, Generation, InstanceId, NodeId, ServiceName, Version};
use goldcresttally_distribution as distribution;
use goldcresttally_membership::{
    Action, AnnounceOutcome, Announcement, Event, Message, Status, UpstreamProcess,
};
use goldcresttally_proxy::clock;
use goldcresttally_proxy::peer::Health;
use goldcresttally_wire::datagram;

use super::command::{LaggingNode, Rollout};
use super::driver::{Control, Machines};
use crate::events::{self, emit};

/// Maximum number of members asked for their version by one rollout query.
const MAX_VERSION_QUERIES: usize = 400;

/// Maximum wait for a configuration before an upstream is asked for confirmation, in milliseconds.
const CONFIG_WAIT_TIMEOUT_MS: u64 = 1500;

/// Interval at which the configuration is polled for during that wait, in milliseconds.
const CONFIG_CHECK_INTERVAL_MS: u64 = 20;

/// Number of times that an upstream which does not answer is asked for each announcement.
const MAX_HEALTH_CHECKS: u32 = 3;

/// Delay before an upstream that did not answer is asked again, in milliseconds.
const HEALTH_RETRY_MS: u64 = 200;

/// Logs that a record in a message was left out.
pub(super) fn entry_skipped(error: &goldcresttally_wire::Error) {
    emit(events::ENTRIES_SKIPPED, format_args!("list=members first=\"{error}\""));
}

impl Control {
    /// Passes an event to the membership state machine and performs the resulting actions.
    pub(super) fn on_membership(self: &Rc<Self>, event: Event) {
        let mut actions = Vec::new();
        let now = self.now();
        self.machines.borrow_mut().membership.on_event(now, event, &mut actions);
        for action in actions {
            self.perform_membership(action);
        }
    }

    fn perform_membership(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send { to, message } => self.send(to, &message),
            Action::ViewChanged => self.endpoints_stale.set(true),
            Action::VersionSeen { from, version } => {
                self.on_distribution(distribution::Event::PeerVersion { from, version });
            }
            Action::NoticeReceived { from, version, position, direct } => {
                self.on_notice(from, version, position, direct);
            }
            Action::Sync { with } => self.spawn_sync(with),
            Action::Superseded { by } => {
                let details =
                    format_args!("generation {} incarnation {}", by.generation, by.incarnation);
                emit(events::NODE_SUPERSEDED, details);
                self.peer.state().set_superseded(by.generation);
                self.stop.cancel();
            }
            Action::Resumed { gap } => {
                emit(events::PROCESS_RESUMED, format_args!("after {} ms", gap.as_millis()));
                // Upstreams whose leases lapsed during the pause must not be used.
                self.expire_leases();
                self.connections.clear();
            }
            Action::IsolationChanged { isolated: true } => emit(events::ISOLATED, format_args!("")),
            Action::IsolationChanged { isolated: false } => {
                emit(events::ISOLATION_ENDED, format_args!(""));
            }
        }
    }

    fn send(&self, to: NodeId, message: &Message) {
        self.send_to_all(&[to], message);
    }

    /// Sends a datagram to several nodes.
    pub(super) fn send_to_all(&self, to: &[NodeId], message: &Message) {
        let Ok(bytes) = datagram::encode(message) else {
            return;
        };
        for id in to.iter().filter(|id| self.transport.allows_datagram(id.0)) {
            let mut traffic = self.traffic.get();
            traffic.datagrams_out += 1;
            traffic.bytes_out += bytes.len() as u64;
            self.traffic.set(traffic);
            // The protocol tolerates lost datagrams, so a failed send is ignored.
            let _ = self.socket.try_send_to(&bytes, id.0);
        }
    }

    pub(super) fn on_datagram(self: &Rc<Self>, from: SocketAddr, bytes: &[u8]) {
        let mut traffic = self.traffic.get();
        traffic.datagrams_in += 1;
        traffic.bytes_in += bytes.len() as u64;
        self.traffic.set(traffic);
        match datagram::decode(bytes, &mut |e| entry_skipped(&e)) {
            Ok(message) => self.on_membership(Event::DatagramReceived(message)),
            Err(e) => emit(events::DATAGRAM_INVALID, format_args!("from {from}: {e}")),
        }
    }

    pub(super) fn on_announce(self: &Rc<Self>, announcement: Announcement) -> AnnounceOutcome {
        let announcement = self.note_release(announcement);
        let details = announcement.clone();
        let outcome = self.machines.borrow_mut().registry.announce(self.now(), announcement);
        if outcome == AnnounceOutcome::Changed {
            emit(events::UPSTREAM_ANNOUNCED, format_args!("{details}"));
            self.publish_upstreams();
        }
        match outcome {
            AnnounceOutcome::Stale => emit(events::ANNOUNCEMENT_STALE, format_args!("{details}")),
            AnnounceOutcome::Unconfirmed => {
                emit(events::ANNOUNCEMENT_UNCONFIRMED, format_args!("{details}"));
                self.spawn_confirmation(details);
            }
            AnnounceOutcome::Changed | AnnounceOutcome::Renewed => {}
        }
        outcome
    }

    /// Starts to ask an upstream's process that may be older than this node whether its announcement
    /// still holds, unless it is being asked already.
    fn spawn_confirmation(self: &Rc<Self>, announcement: Announcement) {
        let (address, Some(process)) = (announcement.address, announcement.process) else { return };
        if !self.machines.borrow_mut().registry.begin_confirmation(address, &process) {
            return;
        }
        let control = Rc::clone(self);
        self.tasks.spawn(async move {
            control.confirm_announcement(announcement.service, address, process).await;
        });
    }

    async fn confirm_announcement(
        self: Rc<Self>,
        service: ServiceName,
        address: SocketAddr,
        process: UpstreamProcess,
    ) {
        // The configuration says how to ask; a recently started node may not have one yet.
        let deadline = Deadline::after(self.now(), Duration::from_millis(CONFIG_WAIT_TIMEOUT_MS));
        while !self.peer.state().is_ready() && !deadline.is_past(self.now()) {
            tokio::time::sleep(Duration::from_millis(CONFIG_CHECK_INTERVAL_MS)).await;
        }
        let UpstreamProcess { instance, generation, .. } = &process;
        let confirmed = self.ask_upstream(&service, address, &process).await;
        let now = self.now();
        let mut machines = self.machines.borrow_mut();
        if !confirmed {
            return machines.registry.abandon_confirmation(address, &process);
        }
        let changed = machines.registry.confirm(now, address, &process);
        drop(machines);
        if changed {
            let details = format_args!("{service} at {address} instance={instance}/{generation}");
            emit(events::UPSTREAM_ANNOUNCED, format_args!("{details}, confirmed by the upstream"));
            self.publish_upstreams();
        }
    }

    /// Returns whether an upstream's process says that it accepts calls.
    async fn ask_upstream(
        &self,
        service: &ServiceName,
        address: SocketAddr,
        process: &UpstreamProcess,
    ) -> bool {
        for _ in 0..MAX_HEALTH_CHECKS {
            match self.peer.check_health(service, address, &process.instance).await {
                Health::Serving | Health::NotConfigured => return true,
                Health::NotServing => return false,
                Health::Unknown => tokio::time::sleep(Duration::from_millis(HEALTH_RETRY_MS)).await,
            }
            if !self.machines.borrow().registry.awaits_confirmation(address, process) {
                return false;
            }
        }
        false
    }

    pub(super) fn on_withdraw_process(
        self: &Rc<Self>,
        instance: &InstanceId,
        generation: Option<Generation>,
    ) -> bool {
        let withdrawn = {
            let registry = &mut self.machines.borrow_mut().registry;
            // Without a generation, all processes started up to now are withdrawn. The clock may have
            // been stepped back since one of them started.
            let latest = || registry.generation_of(instance).max(Generation(clock::wall_ms()));
            let generation = generation.unwrap_or_else(latest);
            (registry.withdraw_process(instance, generation), generation)
        };
        let (withdrawn, generation) = withdrawn;
        let process = format!("instance={instance}/{generation}");
        let upstream = withdrawn.as_ref().map_or_else(
            || "unknown upstream".to_owned(),
            |withdrawn| format!("{} at {}", withdrawn.service, withdrawn.address),
        );
        emit(events::UPSTREAM_WITHDRAWN, format_args!("{upstream} {process}"));
        if withdrawn.is_some() {
            self.publish_upstreams();
        }
        withdrawn.is_some()
    }

    pub(super) fn on_withdraw(self: &Rc<Self>, service: &ServiceName, address: SocketAddr) -> bool {
        let known = self.machines.borrow_mut().registry.withdraw(service, address);
        if known {
            emit(events::UPSTREAM_WITHDRAWN, format_args!("{service} at {address}"));
            self.publish_upstreams();
        }
        known
    }

    /// Ends the leases of upstreams that accept no connections.
    ///
    /// An upstream that is alive announces itself again.
    pub(super) fn withdraw_unreachable(self: &Rc<Self>) {
        let unreachable = self.peer.unreachable_upstreams();
        let mut withdrawn = false;
        for (service, address) in &unreachable {
            withdrawn |= self.machines.borrow_mut().registry.withdraw(service, *address);
            emit(events::UPSTREAM_UNREACHABLE, format_args!("{service} at {address}"));
        }
        if withdrawn {
            self.publish_upstreams();
        }
    }

    /// Marks the upstreams as draining that have said in an answer that they are leaving.
    pub(super) fn drain_leaving(self: &Rc<Self>) {
        let mut changed = false;
        for (service, address) in &self.peer.leaving_upstreams() {
            changed |= self.machines.borrow_mut().registry.drain(service, *address);
        }
        if changed {
            self.publish_upstreams();
        }
    }

    /// Removes the upstreams whose leases have expired.
    pub(super) fn expire_leases(self: &Rc<Self>) {
        let expired = self.machines.borrow_mut().registry.expire(self.now());
        for upstream in &expired {
            let details = format_args!("{} at {}", upstream.service, upstream.address);
            emit(events::UPSTREAM_EXPIRED, details);
        }
        if !expired.is_empty() {
            self.publish_upstreams();
        }
    }

    /// Returns the progress of a version's rollout, and queries members that have not reported it.
    pub(super) fn rollout(self: &Rc<Self>, version: Version) -> Rollout {
        self.on_membership(Event::QueryVersions { version, limit: MAX_VERSION_QUERIES });
        let machines = self.machines.borrow();
        let Machines { membership, .. } = &*machines;
        let reports = membership.versions();
        let members: Vec<_> = reports.iter().filter(|r| r.status.is_member()).collect();
        let lagging: Vec<_> = members
            .iter()
            .filter(|r| r.version < version)
            .map(|r| {
                let reason = match (r.refused >= version, r.status) {
                    (true, _) => "refused",
                    (false, Status::Suspect) => "unreachable",
                    (false, _) => "behind",
                };
                LaggingNode { node: r.id, version: r.version, reason: reason.to_owned() }
            })
            .collect();
        Rollout { version, nodes: members.len(), in_force: members.len() - lagging.len(), lagging }
    }
}
