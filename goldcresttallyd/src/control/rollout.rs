//! Rollouts of new releases: feeds events to the deciders and to the door of the local upstream, and
//! performs their actions.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use goldcresttally_core::{Deadline, MonoTime, NodeId, ServiceName, rendezvous};
use goldcresttally_distribution::{Peer, Topology};
use goldcresttally_membership::{Announcement, Record, Status as MemberStatus, UpstreamState};
use goldcresttally_proxy::peer::RolloutGate;
use goldcresttally_rollout::{
    Action, Candidates, ClassCount, Decider, Door, Event, Gate, Member, Options, Order, Phase,
    Report, Resolved, Stage, Status, StoreError, StoredRows,
};
use goldcresttally_store::{Error, RolloutStore};

use super::driver::Control;
use crate::events::{self, emit};
use crate::settings::Settings;

/// Interval at which the members are passed to the deciders, in milliseconds.
const MEMBERS_INTERVAL_MS: u64 = 500;

/// Delay before the order is read again after a failure, and while no decider is heard, in
/// milliseconds.
const RESOLVE_RETRY_MS: u64 = 300;
const RESOLVE_INTERVAL_MS: u64 = 2500;

/// Time that a node has to join before it judges by the members that it sees, in milliseconds.
const JOIN_WAIT_MS: u64 = 3000;

/// Number of members that are asked about the order when the store does not answer.
const MAX_ASKED_MEMBERS: usize = 2;

/// The state of rollouts at one node.
pub(super) struct Rollouts {
    store: Arc<dyn RolloutStore>,
    options: Options,
    /// The service of the upstream beside this node.
    service: ServiceName,
    pub gate: Arc<RolloutGate>,
    door: RefCell<Door>,
    deciders: RefCell<BTreeMap<ServiceName, Decider>>,
    /// Doors that have not answered the last stage yet.
    sending: RefCell<BTreeSet<(ServiceName, NodeId)>>,
    is_resolving: Cell<bool>,
    next_resolve: Cell<Deadline>,
    next_members: Cell<Deadline>,
    /// When the upstream has reached its full speed.
    warm_at: Cell<MonoTime>,
    /// The order whose answers are counted.
    counted_order: Cell<Option<u64>>,
    /// The gate that was applied last.
    applied: Cell<Gate>,
    /// Whether the upstream was published as open, and with which share of the calls.
    published: Cell<(bool, u16)>,
    era: Cell<u64>,
    started: MonoTime,
}

/// How a rollout lets the upstream beside this node be published.
pub(super) struct Published {
    pub service: ServiceName,
    pub is_open: bool,
    /// Thousandths of the service's calls that its release is to get; 0 outside of a test.
    pub trial_milli: u16,
}

impl Rollouts {
    /// Returns the state of a node that has just started; `None` if its service is not known.
    pub fn new(store: Arc<dyn RolloutStore>, settings: &Settings, now: MonoTime) -> Option<Self> {
        let service = settings.conventions.own_service.clone()?;
        let r = &settings.rollouts;
        let options = Options {
            expose_share: r.expose_share,
            expose_calls: r.expose_calls,
            rollback: Duration::from_millis(r.rollback_ms),
        };
        Some(Self {
            era: Cell::new(store.era()),
            store,
            options,
            gate: Arc::new(RolloutGate::new(service.clone())),
            service,
            door: RefCell::default(),
            deciders: RefCell::default(),
            sending: RefCell::default(),
            is_resolving: Cell::new(false),
            next_resolve: Cell::new(Deadline(now)),
            next_members: Cell::new(Deadline(now)),
            warm_at: Cell::new(now),
            counted_order: Cell::new(None),
            applied: Cell::new(Gate::Closed),
            published: Cell::new((false, 0)),
            started: now,
        })
    }
}

impl Control {
    /// Takes note of an upstream's release and of how long it is slow; where rollouts are not
    /// enabled, the release is left out.
    pub(super) fn note_release(&self, announcement: Announcement) -> Announcement {
        let Some(rollouts) = &self.rollouts else {
            return Announcement { release: None, ..announcement };
        };
        if announcement.service == rollouts.service && !announcement.cold_left.is_zero() {
            rollouts.warm_at.set(self.now() + announcement.cold_left);
        }
        announcement
    }

    /// Does what is due for rollouts.
    pub(super) fn tick_rollouts(self: &Rc<Self>) {
        let Some(rollouts) = &self.rollouts else { return };
        let now = self.now();
        for (service, order) in rollouts.store.new_orders() {
            self.on_order(&service, order);
        }
        self.judge_establishment(rollouts, now);
        self.apply_gate();
        if rollouts.door.borrow().needs_resolution(now) {
            self.resolve_if_due(rollouts, now);
        }
        if rollouts.deciders.borrow().is_empty() {
            return;
        }
        let is_restored = rollouts.store.era() > rollouts.era.replace(rollouts.store.era());
        let tells_members = rollouts.next_members.get().is_past(now);
        if tells_members {
            let interval = Duration::from_millis(MEMBERS_INTERVAL_MS);
            rollouts.next_members.set(Deadline::after(now, interval));
        }
        let services: Vec<_> = rollouts.deciders.borrow().keys().cloned().collect();
        for service in services {
            if is_restored {
                self.on_rollout(&service, Event::Restored);
            }
            let is_idle = rollouts.deciders.borrow().get(&service).is_none_or(Decider::is_idle);
            if is_idle {
                continue;
            }
            if tells_members {
                self.on_rollout(&service, Event::Members(self.candidates(&service)));
            }
            self.on_rollout(&service, Event::Tick);
        }
    }

    fn on_order(self: &Rc<Self>, service: &ServiceName, order: Order) {
        let Some(rollouts) = &self.rollouts else { return };
        let now = self.now();
        let Order { revision, release, duration } = &order;
        let seconds = duration.as_secs_f64();
        emit(
            events::ROLLOUT_ORDERED,
            format_args!("service={service} to={release} revision={revision} duration_s={seconds}"),
        );
        let is_known = rollouts.deciders.borrow().contains_key(service);
        if !is_known {
            let own = self.settings.node.control;
            let decider = Decider::new(own, order.clone(), rollouts.options, now);
            rollouts.deciders.borrow_mut().insert(service.clone(), decider);
        }
        self.on_rollout(service, Event::Members(self.candidates(service)));
        self.on_rollout(service, Event::OrderSeen(order));
    }

    /// Passes an event to the decider of a service's rollout and performs the resulting actions.
    fn on_rollout(self: &Rc<Self>, service: &ServiceName, event: Event) {
        let Some(rollouts) = &self.rollouts else { return };
        let mut actions = Vec::new();
        if let Some(decider) = rollouts.deciders.borrow_mut().get_mut(service) {
            decider.on_event(self.now(), event, &mut actions);
        }
        for action in actions {
            self.perform_rollout(rollouts, service, action);
        }
    }

    fn perform_rollout(
        self: &Rc<Self>,
        rollouts: &Rollouts,
        service: &ServiceName,
        action: Action,
    ) {
        let (control, service) = (Rc::clone(self), service.clone());
        let store = Arc::clone(&rollouts.store);
        match action {
            Action::Read => drop(self.tasks.spawn(async move {
                let rows = store.rows(&service).await;
                let result = rows.map_err(|e| store_error(&service, "read", &e));
                control.on_rollout(&service, Event::Read(result));
            })),
            Action::Write(write) => drop(self.tasks.spawn(async move {
                let written = store.write(&service, write).await;
                let result = written.map_err(|e| store_error(&service, "write", &e));
                control.on_rollout(&service, Event::Written(result));
            })),
            Action::Send { to, stage } => {
                // One stage at a time: the next one follows within half a second.
                if rollouts.sending.borrow_mut().insert((service.clone(), to)) {
                    self.tasks.spawn(control.send_stage(service, to, stage));
                }
            }
            Action::Log(decision) => {
                emit(events::ROLLOUT_DECIDED, format_args!("service={service} {decision}"));
            }
        }
    }

    async fn send_stage(self: Rc<Self>, service: ServiceName, to: NodeId, stage: Stage) {
        let report = match to == self.settings.node.control {
            true => self.on_rollout_stage(Some(stage)),
            false => match self.connections.rollout(to, Some(&stage)).await {
                Ok(report) => Some(report),
                Err(e) => {
                    emit(events::ROLLOUT_STAGE_FAILED, format_args!("to {to}: {e}"));
                    None
                }
            },
        };
        let Some(rollouts) = &self.rollouts else { return };
        rollouts.sending.borrow_mut().remove(&(service.clone(), to));
        if let Some(report) = report {
            self.on_rollout(&service, Event::Report { from: to, report });
        }
    }

    /// Returns the members as a decider of the service needs them.
    fn candidates(&self, service: &ServiceName) -> Candidates {
        let machines = self.machines.borrow();
        let membership = &machines.membership;
        let own = membership.own();
        let peer = |r: &Record| Peer {
            id: r.id,
            domain: r.domain.clone(),
            link: r.link,
            stays: r.status == MemberStatus::Alive && !r.leaving,
        };
        let others: Vec<_> = membership.members().map(peer).collect();
        let topology = Topology::new(&peer(own), &others);
        let pollers = self.settings.distribution.pollers;
        let members = || membership.members().chain([own]);
        let upstream_of = |r: &Record| r.upstreams.iter().find(|u| u.service == *service).cloned();
        let mut ranking: Vec<_> = members()
            .filter(|r| !r.leaving)
            .filter_map(|r| {
                let reads_feed = topology.is_among_first(r.id, pollers);
                let is_candidate = reads_feed || upstream_of(r).is_some();
                let weight = rendezvous::weight(r.id, service.as_str());
                is_candidate.then_some((!reads_feed, Reverse(weight), r.id))
            })
            .collect();
        ranking.sort_unstable();
        let mut doors: Vec<_> = members()
            .filter_map(|r| Some(Member { id: r.id, release: upstream_of(r)?.release }))
            .collect();
        doors.sort_unstable_by_key(|member| member.id);
        Candidates {
            ranking: ranking.into_iter().map(|(_, _, id)| id).collect(),
            doors,
            present: members().map(|r| r.id).collect(),
            isolated: membership.is_isolated(),
        }
    }

    /// Tells the door whether its upstream's release is in service, until it is.
    fn judge_establishment(&self, rollouts: &Rollouts, now: MonoTime) {
        let mut door = rollouts.door.borrow_mut();
        if !door.awaits_establishment() {
            return;
        }
        let wait = Deadline::after(rollouts.started, Duration::from_millis(JOIN_WAIT_MS));
        let knows_members = self.joined.get() || wait.is_past(now);
        let is_foreign = !knows_members || self.is_foreign(rollouts, &door);
        door.set_foreign(is_foreign);
    }

    /// Returns whether the open upstreams of the service beside other nodes are all of other
    /// releases.
    fn is_foreign(&self, rollouts: &Rollouts, door: &Door) -> bool {
        let machines = self.machines.borrow();
        let mut is_foreign = false;
        for upstream in machines.membership.members().flat_map(|r| &r.upstreams) {
            let is_open = upstream.state != UpstreamState::Draining;
            if upstream.service != rollouts.service || !is_open {
                continue;
            }
            if upstream.release.as_ref() == door.release() {
                return false;
            }
            is_foreign = true;
        }
        is_foreign
    }

    /// Handles a stage from a decider, if there is one; returns the report, or `None` where rollouts
    /// are not enabled.
    pub(super) fn on_rollout_stage(self: &Rc<Self>, stage: Option<Stage>) -> Option<Report> {
        let rollouts = self.rollouts.as_ref()?;
        let now = self.now();
        if let Some(stage) = stage {
            rollouts.door.borrow_mut().on_stage(now, stage);
            self.apply_gate();
        }
        let door = rollouts.door.borrow();
        let (received, classes) = rollouts.gate.read_counts();
        let class = |(class, count): (u32, goldcresttally_proxy::peer::AnswerCount)| {
            let total_ms = count.total.as_millis() as u64;
            (class, ClassCount { answered: count.answered, failed: count.failed, total_ms })
        };
        Some(Report {
            release: door.release().cloned(),
            epoch: door.epoch(),
            received,
            in_flight: self.peer.running_calls(&rollouts.service) as u32,
            classes: classes.into_iter().map(class).collect(),
            held: door.held().cloned(),
            is_informed: door.is_informed(),
        })
    }

    /// Applies what the door says now to the request path, and tells the members if that opened or
    /// closed the upstream.
    fn apply_gate(self: &Rc<Self>) {
        let Some(rollouts) = &self.rollouts else { return };
        let now = self.now();
        let (gate, is_counting, order) = {
            let door = rollouts.door.borrow();
            let order = door.held().map(|held| held.order);
            (door.gate(now), door.is_under_way(), order)
        };
        if is_counting && rollouts.counted_order.replace(order) != order {
            rollouts.gate.reset_counts();
        }
        rollouts.gate.set_counting(is_counting, rollouts.warm_at.get() <= now);
        let is_open = gate != Gate::Closed;
        if rollouts.applied.replace(gate) != gate {
            self.set_gate(rollouts, gate);
        }
        let trial_milli = rollouts.door.borrow().trial_milli(now);
        let (was_open, published_milli) = rollouts.published.get();
        if was_open != is_open {
            let held = rollouts.door.borrow().held().map(|held| (held.phase, held.epoch));
            let held = held.map_or_else(|| "-".to_owned(), |(p, epoch)| format!("{p}/{epoch}"));
            let state = if is_open { "open" } else { "closed" };
            let service = &rollouts.service;
            emit(
                events::ROLLOUT_GATE_CHANGED,
                format_args!("service={service} gate={state} held={held}"),
            );
        }
        if was_open != is_open || published_milli != trial_milli {
            self.publish_upstreams();
        }
    }

    /// Sets the gate of the request path.
    fn set_gate(&self, rollouts: &Rollouts, gate: Gate) {
        let rate = match gate {
            Gate::Open => {
                rollouts.gate.open_until(None);
                None
            }
            Gate::Leased(until) => {
                rollouts.gate.open_until(Some(until));
                None
            }
            Gate::Paced(rate, until) => {
                rollouts.gate.open_until(Some(until));
                Some(rate)
            }
            Gate::Closed => {
                rollouts.gate.close();
                None
            }
        };
        if gate != Gate::Closed {
            self.peer.set_rollout_rate(rate);
        }
    }

    /// Takes note of the release of the upstream beside this node; returns how it is to be published.
    pub(super) fn update_gate(&self, current: &[Announcement]) -> Option<Published> {
        let rollouts = self.rollouts.as_ref()?;
        let own = current.iter().find(|a| a.service == rollouts.service);
        let mut door = rollouts.door.borrow_mut();
        door.set_release(own.and_then(|a| a.release.clone()));
        let now = self.now();
        let (is_open, trial_milli) = (door.gate(now) != Gate::Closed, door.trial_milli(now));
        rollouts.published.set((is_open, trial_milli));
        Some(Published { service: rollouts.service.clone(), is_open, trial_milli })
    }

    fn resolve_if_due(self: &Rc<Self>, rollouts: &Rollouts, now: MonoTime) {
        if rollouts.is_resolving.get() || !rollouts.next_resolve.get().is_past(now) {
            return;
        }
        rollouts.is_resolving.set(true);
        let control = Rc::clone(self);
        self.tasks.spawn(async move { control.resolve_order().await });
    }

    /// Finds out whether there is an order for the service of the local upstream and what became of
    /// it, from the store or else from other members.
    async fn resolve_order(self: Rc<Self>) {
        let Some(rollouts) = &self.rollouts else { return };
        let resolved = match self.read_order(rollouts).await {
            Ok(resolved) => Some(resolved),
            Err(e) => {
                store_error(&rollouts.service, "read", &e);
                self.ask_members(rollouts).await
            }
        };
        let now = self.now();
        rollouts.is_resolving.set(false);
        let wait_ms = if resolved.is_some() { RESOLVE_INTERVAL_MS } else { RESOLVE_RETRY_MS };
        let wait = Duration::from_millis(wait_ms / 2 + fastrand::u64(0..wait_ms));
        rollouts.next_resolve.set(Deadline::after(now, wait));
        let Some(resolved) = resolved else { return };
        rollouts.door.borrow_mut().on_resolved(now, resolved.clone());
        self.judge_establishment(rollouts, now);
        self.apply_gate();
        let is_abandoned = rollouts.door.borrow().is_abandoned(now);
        let is_known = rollouts.deciders.borrow().contains_key(&rollouts.service);
        if let Resolved::Running(order) = resolved
            && is_abandoned
            && !is_known
        {
            self.on_order(&rollouts.service, order);
        }
    }

    async fn read_order(&self, rollouts: &Rollouts) -> Result<Resolved, Error> {
        let service = &rollouts.service;
        let Some(order) = rollouts.store.order(service).await? else {
            return Ok(Resolved::NoOrder);
        };
        let StoredRows { state, status } = rollouts.store.rows(service).await?;
        let is_of_order = state.is_none_or(|state| state.row.is_of(&order));
        let status = status.filter(|stored| is_of_order && stored.row.to == order.release);
        Ok(match status.map(|stored| stored.row.state) {
            Some(status @ (Status::Completed | Status::RolledBack)) => {
                Resolved::Ended(order, status)
            }
            Some(Status::Running) | None => Resolved::Running(order),
        })
    }

    /// Asks members with an upstream of the service what they know.
    async fn ask_members(&self, rollouts: &Rollouts) -> Option<Resolved> {
        let mut members: Vec<_> = {
            let machines = self.machines.borrow();
            let has_upstream =
                |r: &&Record| r.upstreams.iter().any(|u| u.service == rollouts.service);
            machines.membership.members().filter(has_upstream).map(|r| r.id).collect()
        };
        fastrand::shuffle(&mut members);
        for member in members.into_iter().take(MAX_ASKED_MEMBERS) {
            let Ok(report) = self.connections.rollout(member, None).await else { continue };
            if let Some(resolved) = resolved_by(report) {
                return Some(resolved);
            }
        }
        None
    }
}

/// Returns what a member's report says about the order; `None` if it does not know.
fn resolved_by(report: Report) -> Option<Resolved> {
    if !report.is_informed {
        return None;
    }
    let Some(held) = report.held else { return Some(Resolved::NoOrder) };
    let order =
        Order { revision: held.order, release: held.release, duration: Duration::default() };
    Some(match (held.phase, held.valid) {
        (Phase::Completed, None) => Resolved::Ended(order, Status::Completed),
        (Phase::RolledBack, _) => Resolved::Ended(order, Status::RolledBack),
        // The decider, if there is one, sends a stage soon.
        _ => return None,
    })
}

fn store_error(service: &ServiceName, what: &str, error: &Error) -> StoreError {
    let error = match error {
        Error::Conflict { .. } => return StoreError::Conflict,
        Error::AnswerLost { .. } => (StoreError::Unknown, error),
        _ => (StoreError::Unavailable, error),
    };
    emit(events::ROLLOUT_STORE_FAILED, format_args!("service={service} {what}: {}", error.1));
    error.0
}
