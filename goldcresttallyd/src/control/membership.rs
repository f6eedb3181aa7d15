//! Performs what the membership machine decides.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use goldcresttally_core::{Deadline, Generation, InstanceId, NodeId, ServiceName, Version};
use goldcresttally_distribution as distribution;
use goldcresttally_membership::{Action, AnnounceOutcome, Announcement, Event, Message, Status};
use goldcresttally_proxy::clock;
use goldcresttally_wire::datagram;

use super::command::{LaggingNode, Rollout};
use super::driver::{Control, Machines};
use crate::events::{self, emit};

/// Members asked for their version at one look at a rollout.
const ASK_LIMIT: usize = 400;

/// Time for which a configuration is waited for to confirm an upstream, in milliseconds: an
/// interval of announcements, since the next one confirms it too.
const CONFIRM_LIMIT_MS: u64 = 1500;

/// Interval at which it is looked for, in milliseconds.
const CONFIRM_CHECK_MS: u64 = 20;

impl Control {
    /// Gives an event to the machine and performs its actions.
    pub(super) fn on_members(self: &Rc<Self>, event: Event) {
        let mut actions = Vec::new();
        let now = self.now();
        self.machines.borrow_mut().membership.on_event(now, event, &mut actions);
        for action in actions {
            self.perform_members(action);
        }
    }

    fn perform_members(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send { to, message } => self.send(to, &message),
            Action::ViewChanged => self.view_changed.set(true),
            Action::VersionSeen { from, version } => {
                self.on_distribution(distribution::Event::PeerVersion { from, version });
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
                // Leases lapsed by this node's own clock must not be acted on.
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
        if !self.transport.allows_datagram(to.0) {
            return;
        }
        let Ok(bytes) = datagram::encode(message) else {
            return;
        };
        let mut traffic = self.traffic.get();
        traffic.datagrams_out += 1;
        traffic.bytes_out += bytes.len() as u64;
        self.traffic.set(traffic);
        // Datagrams may be lost anywhere; the protocol makes up for it.
        let _ = self.socket.try_send_to(&bytes, to.0);
    }

    pub(super) fn on_datagram(self: &Rc<Self>, from: SocketAddr, bytes: &[u8]) {
        let mut traffic = self.traffic.get();
        traffic.datagrams_in += 1;
        traffic.bytes_in += bytes.len() as u64;
        self.traffic.set(traffic);
        match datagram::decode(bytes) {
            Ok(message) => self.on_members(Event::DatagramReceived(message)),
            Err(e) => emit(events::DATAGRAM_INVALID, format_args!("from {from}: {e}")),
        }
    }

    pub(super) fn on_announce(self: &Rc<Self>, announcement: Announcement) -> AnnounceOutcome {
        let details = announcement.clone();
        let announced = self.machines.borrow_mut().registry.announce(self.now(), announcement);
        if announced == AnnounceOutcome::Changed {
            emit(events::UPSTREAM_ANNOUNCED, format_args!("{details}"));
            self.publish_upstreams();
        }
        match announced {
            AnnounceOutcome::Stale => emit(events::ANNOUNCEMENT_STALE, format_args!("{details}")),
            AnnounceOutcome::Unconfirmed => {
                emit(events::ANNOUNCEMENT_UNCONFIRMED, format_args!("{details}"));
                let control = Rc::clone(self);
                self.tasks.spawn_local(async move { control.confirm(details).await });
            }
            AnnounceOutcome::Changed | AnnounceOutcome::Renewed => {}
        }
        announced
    }

    /// Asks an upstream itself whether what was heard of it first still holds.
    async fn confirm(self: Rc<Self>, announcement: Announcement) {
        let Announcement { service, address, process: Some(process), .. } = &announcement else {
            return;
        };
        // How to ask is in the configuration, which a node that has just started may not have.
        let give_up = Deadline::after(self.now(), Duration::from_millis(CONFIRM_LIMIT_MS));
        while !self.peer.state().is_ready() && !give_up.is_past(self.now()) {
            tokio::time::sleep(Duration::from_millis(CONFIRM_CHECK_MS)).await;
        }
        if !self.peer.is_healthy(service, *address, &process.instance).await {
            return;
        }
        let now = self.now();
        if self.machines.borrow_mut().registry.confirm(now, *address, &process.instance) {
            emit(events::UPSTREAM_ANNOUNCED, format_args!("{announcement}, confirmed by itself"));
            self.publish_upstreams();
        }
    }

    pub(super) fn on_withdraw_process(
        self: &Rc<Self>,
        instance: &InstanceId,
        generation: Option<Generation>,
    ) -> bool {
        // Without a generation, it is the end of what has started by now.
        let generation = generation.unwrap_or_else(|| Generation(clock::wall_ms()));
        let gone = self.machines.borrow_mut().registry.withdraw_process(instance, Some(generation));
        let process = format!("instance={instance}/{generation}");
        let what = gone.as_ref().map_or_else(
            || "not known here".to_owned(),
            |gone| format!("{} at {}", gone.service, gone.address),
        );
        emit(events::UPSTREAM_WITHDRAWN, format_args!("{what} {process}"));
        if gone.is_some() {
            self.publish_upstreams();
        }
        gone.is_some()
    }

    pub(super) fn on_withdraw(self: &Rc<Self>, service: &ServiceName, address: SocketAddr) -> bool {
        let known = self.machines.borrow_mut().registry.withdraw(service, address);
        if known {
            emit(events::UPSTREAM_WITHDRAWN, format_args!("{service} at {address}"));
            self.publish_upstreams();
        }
        known
    }

    /// Ends the leases of upstreams that take no connections; one that lives announces itself anew.
    pub(super) fn withdraw_unreachable(self: &Rc<Self>) {
        let gone = self.peer.unreachable_upstreams();
        let mut withdrawn = false;
        for (service, address) in &gone {
            withdrawn |= self.machines.borrow_mut().registry.withdraw(service, *address);
            emit(events::UPSTREAM_UNREACHABLE, format_args!("{service} at {address}"));
        }
        if withdrawn {
            self.publish_upstreams();
        }
    }

    pub(super) fn expire_leases(self: &Rc<Self>) {
        let gone = self.machines.borrow_mut().registry.expire(self.now());
        for upstream in &gone {
            let details = format_args!("{} at {}", upstream.service, upstream.address);
            emit(events::UPSTREAM_EXPIRED, details);
        }
        if !gone.is_empty() {
            self.publish_upstreams();
        }
    }

    /// Tells how far a version has come, and asks those that have not told.
    pub(super) fn rollout(self: &Rc<Self>, version: Version) -> Rollout {
        self.on_members(Event::QueryVersions { version, limit: ASK_LIMIT });
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
