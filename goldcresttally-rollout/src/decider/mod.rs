//! Who decides on a rollout, and when it moves on.
//!
//! One decider leads at a time, by a row in the store that is written conditionally. Each takeover
//! raises the epoch, which fences the earlier decider at the doors and, because every write expects
//! the revision of that row, in the store. A new leader starts in phase `canary` again. The doors
//! count since the order, so what an earlier leader has observed is not lost, and the phases that
//! have been passed are passed again within seconds.

mod lead;
mod progress;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use goldcresttally_core::{Deadline, MonoTime, NodeId, ReleaseName};

use crate::evaluation::ClassCounts;
use crate::types::{
    Decision, Order, Phase, Report, Stage, StateRow, StateWrite, Status, StatusRow, Stored, Write,
};
use lead::Lead;

/// Time after which another candidate takes the lead if the row has not changed, in milliseconds;
/// twice the interval at which a leader renews it.
const TAKEOVER_MS: u64 = 4000;

/// Additional time per place in the ranking, in milliseconds.
const TAKEOVER_STEP_MS: u64 = 1000;

/// Maximum place in the ranking that adds to that time.
const MAX_STEPS: usize = 10;

/// Delay before the store is asked again after a failure, in milliseconds.
const RETRY_MS: u64 = 400;

/// Options of a decider.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Share of the service's calls that a faulty release may get.
    pub expose_share: f64,
    /// Calls that it may get besides.
    pub expose_calls: u64,
    /// Time within which the release must get no more calls after it has shown to be faulty.
    pub rollback: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { expose_share: 0.1, expose_calls: 50, rollback: Duration::from_secs(5) }
    }
}

/// A member that has an upstream of the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The node.
    pub id: NodeId,
    /// The release of its upstream, if it names one.
    pub release: Option<ReleaseName>,
}

/// The members as this node sees them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Candidates {
    /// The nodes that may lead, the most suitable first.
    pub ranking: Vec<NodeId>,
    /// The members with an upstream of the service.
    pub doors: Vec<Member>,
    /// All members.
    pub present: BTreeSet<NodeId>,
    /// Whether this node has lost contact with most members.
    pub isolated: bool,
}

/// The rows of a rollout.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoredRows {
    /// The row by which deciders agree.
    pub state: Option<Stored<StateRow>>,
    /// The row that operators read.
    pub status: Option<Stored<StatusRow>>,
}

/// Why a request to the store failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreError {
    /// A row had another revision than expected; nothing was written.
    Conflict,
    /// Nothing was read or written.
    Unavailable,
    /// The answer was lost; the write may have taken effect, or may yet.
    Unknown,
}

/// An input of the state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed; expected at least every 100 ms.
    Tick,
    /// The order was seen in the store.
    OrderSeen(Order),
    /// The members may have changed.
    Members(Candidates),
    /// A door has answered a stage.
    Report {
        /// The node.
        from: NodeId,
        /// Its report.
        report: Report,
    },
    /// The result of [`Action::Read`].
    Read(Result<StoredRows, StoreError>),
    /// The result of [`Action::Write`]: the revision of the row.
    Written(Result<u64, StoreError>),
    /// The store was restored from a copy.
    Restored,
}

/// An output of the state machine, to be carried out by the driver.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read both rows.
    Read,
    /// Write a row.
    Write(Write),
    /// Send a stage to a door.
    Send {
        /// The node.
        to: NodeId,
        /// The stage.
        stage: Stage,
    },
    /// Log a decision.
    Log(Decision),
}

/// What a write is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Purpose {
    Claim(u64),
    Renew,
    Phase(Phase),
    Status(Status),
}

#[derive(Debug, Clone, PartialEq)]
enum Pending {
    Read { sent_at: MonoTime },
    Write { sent_at: MonoTime, purpose: Purpose, write: Write },
}

#[derive(Debug)]
enum Role {
    Standby { check_at: Deadline },
    Leader(Box<Lead>),
    Ended,
}

/// What is known of a door.
#[derive(Debug, Default)]
struct DoorState {
    release: Option<ReleaseName>,
    /// The last report, with the time when it arrived.
    last: Option<(MonoTime, Report)>,
    /// Calls and counts of the node's earlier processes.
    earlier_received: u64,
    earlier_counts: ClassCounts,
    /// Calls per second, smoothed.
    rate: f64,
    next_send: Option<Deadline>,
}

/// The decider of one service's rollout at one node.
#[derive(Debug)]
pub struct Decider {
    own: NodeId,
    options: Options,
    order: Order,
    seen_at: MonoTime,
    /// Time since the order by the row of another leader, and when the row was read.
    known_elapsed: (Duration, MonoTime),
    candidates: Candidates,
    doors: BTreeMap<NodeId, DoorState>,
    stored: StoredRows,
    /// When the row of the deciders was first seen at its present revision.
    state_seen_at: Option<MonoTime>,
    pending: Option<Pending>,
    /// Highest epoch seen anywhere.
    max_epoch: u64,
    /// The epoch of a claim whose answer was lost.
    claimed: Option<u64>,
    /// How the rollout has ended, as far as this node knows.
    outcome: Option<Status>,
    role: Role,
}

impl Decider {
    /// Returns the decider at node `own` of an order that it has seen at `now`.
    pub fn new(own: NodeId, order: Order, options: Options, now: MonoTime) -> Self {
        Self {
            own,
            options,
            order,
            seen_at: now,
            known_elapsed: (Duration::ZERO, now),
            candidates: Candidates::default(),
            doors: BTreeMap::new(),
            stored: StoredRows::default(),
            state_seen_at: None,
            pending: None,
            max_epoch: 0,
            claimed: None,
            outcome: None,
            role: Role::Standby { check_at: Deadline(now) },
        }
    }

    /// Returns the order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Returns whether this node leads.
    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns how the rollout has ended; `None` if it has not, as far as this node knows.
    pub fn outcome(&self) -> Option<Status> {
        self.outcome
    }

    /// Returns whether this node has nothing to do until the next order.
    pub fn is_idle(&self) -> bool {
        matches!(self.role, Role::Ended) && self.pending.is_none()
    }

    /// Processes one event and appends the resulting actions to `actions`.
    pub fn on_event(&mut self, now: MonoTime, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => {}
            Event::OrderSeen(order) => self.on_order(now, order),
            Event::Members(candidates) => self.on_members(now, candidates),
            Event::Report { from, report } => self.on_report(now, from, report, actions),
            Event::Read(result) => self.on_read(now, result, actions),
            Event::Written(result) => self.on_written(now, result, actions),
            Event::Restored => self.check_again(now),
        }
        self.drive(now, actions);
    }

    fn on_order(&mut self, now: MonoTime, order: Order) {
        if order.is_same(&self.order) {
            // The row was written again, as after a restore.
            if order.revision != self.order.revision {
                self.check_again(now);
            }
            return;
        }
        self.order = order;
        self.seen_at = now;
        self.known_elapsed = (Duration::ZERO, now);
        self.outcome = None;
        self.claimed = None;
        for door in self.doors.values_mut() {
            door.last = None;
            door.earlier_received = 0;
            door.earlier_counts = ClassCounts::default();
        }
        self.role = Role::Standby { check_at: self.first_check(now) };
    }

    /// Makes sure soon that the rows in the store still say what this node knows.
    fn check_again(&mut self, now: MonoTime) {
        let step = Duration::from_millis(TAKEOVER_STEP_MS) * self.steps();
        match &mut self.role {
            Role::Standby { check_at } => *check_at = Deadline::after(now, step),
            Role::Leader(lead) if lead.has_ended() => {
                self.role = Role::Standby { check_at: Deadline(now) };
            }
            Role::Leader(lead) => lead.must_read = true,
            Role::Ended => self.role = Role::Standby { check_at: Deadline::after(now, step) },
        }
    }

    fn on_members(&mut self, now: MonoTime, candidates: Candidates) {
        for member in &candidates.doors {
            let door = self.doors.entry(member.id).or_default();
            if member.release.is_some() {
                door.release.clone_from(&member.release);
            }
        }
        // A node without its upstream may still have calls in flight.
        self.doors.retain(|id, _| candidates.present.contains(id));
        let was_first = self.steps() == 0;
        let is_new = self.candidates.ranking.is_empty();
        self.candidates = candidates;
        let first_check = self.first_check(now);
        let leader = self.stored.state.as_ref().map(|state| state.row.decider);
        let leader_left = leader.is_some_and(|id| !self.candidates.present.contains(&id));
        let is_first = self.steps() == 0;
        if let Role::Standby { check_at } = &mut self.role {
            if is_new {
                *check_at = first_check;
            } else if is_first && (leader_left || !was_first) {
                *check_at = (*check_at).min(Deadline(now));
            }
        }
    }

    /// Returns when this node looks at the rows for the first time: at once if it is the first
    /// candidate, otherwise when the first one should have taken the lead.
    fn first_check(&self, now: MonoTime) -> Deadline {
        match self.steps() {
            0 => Deadline(now),
            _ => self.takeover_at(now),
        }
    }

    fn takeover_at(&self, now: MonoTime) -> Deadline {
        let step = Duration::from_millis(TAKEOVER_STEP_MS) * self.steps();
        Deadline::after(now, Duration::from_millis(TAKEOVER_MS) + step)
    }

    /// Returns this node's place in the ranking, bounded.
    fn steps(&self) -> u32 {
        let place = self.candidates.ranking.iter().position(|id| *id == self.own);
        place.unwrap_or(MAX_STEPS).min(MAX_STEPS) as u32
    }

    fn elapsed(&self, now: MonoTime) -> Duration {
        let (known, at) = self.known_elapsed;
        now.since(self.seen_at).max(known + now.since(at))
    }

    fn on_read(
        &mut self,
        now: MonoTime,
        result: Result<StoredRows, StoreError>,
        actions: &mut Vec<Action>,
    ) {
        let Some(Pending::Read { sent_at }) = self.pending.take() else { return };
        let Ok(rows) = result else {
            return self.retry_later(now);
        };
        let revision = |rows: &StoredRows| rows.state.as_ref().map(|state| state.revision);
        let changed = revision(&rows) != revision(&self.stored);
        if changed || self.state_seen_at.is_none() {
            self.state_seen_at = Some(sent_at);
        }
        let first = self.stored == StoredRows::default();
        self.stored = rows;
        if let Some(state) = &self.stored.state {
            self.max_epoch = self.max_epoch.max(state.row.epoch);
            if state.row.is_of(&self.order) {
                let elapsed = Duration::from_millis(state.row.elapsed_ms);
                if elapsed > self.elapsed(now) {
                    self.known_elapsed = (elapsed, now);
                }
            }
        }
        if let Some(status) = self.stored_outcome() {
            return self.end(now, status, actions);
        }
        match &self.role {
            Role::Leader(_) => self.on_leader_read(now, sent_at, actions),
            Role::Standby { .. } => self.on_standby_read(now, sent_at, changed || first, actions),
            Role::Ended => {}
        }
    }

    /// Returns how the order has ended according to the rows that were read last.
    fn stored_outcome(&self) -> Option<Status> {
        let status = &self.stored.status.as_ref()?.row;
        let is_of_order =
            self.stored.state.as_ref().is_none_or(|state| state.row.is_of(&self.order));
        let ended = status.state != Status::Running && status.to == self.order.release;
        (ended && is_of_order).then_some(status.state)
    }

    fn on_standby_read(
        &mut self,
        now: MonoTime,
        sent_at: MonoTime,
        changed: bool,
        actions: &mut Vec<Action>,
    ) {
        let state = self.stored.state.as_ref().filter(|state| state.row.is_of(&self.order));
        if let Some(state) = state {
            let StateRow { decider, epoch, .. } = state.row;
            if decider == self.own && self.claimed == Some(epoch) {
                return self.take_lead(now, sent_at, epoch, actions);
            }
            let is_present = self.candidates.present.contains(&decider);
            if decider != self.own && is_present && changed && self.outcome.is_none() {
                let check_at = self.takeover_at(now);
                self.role = Role::Standby { check_at };
                return;
            }
        }
        self.claim(now, actions);
    }

    /// Tries to take the lead.
    fn claim(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        let epoch = self.max_epoch + 1;
        self.claimed = Some(epoch);
        let phase = match self.outcome {
            Some(Status::Completed) => Phase::Completed,
            Some(Status::RolledBack) => Phase::RolledBack,
            _ => match &self.stored.state {
                // Found faulty by the earlier leader, which has not reported it yet.
                Some(state)
                    if state.row.phase == Phase::RolledBack && state.row.is_of(&self.order) =>
                {
                    Phase::RolledBack
                }
                _ => Phase::Canary,
            },
        };
        self.write_state(now, Purpose::Claim(epoch), epoch, phase, 0, actions);
    }

    fn take_lead(
        &mut self,
        now: MonoTime,
        confirmed_at: MonoTime,
        epoch: u64,
        actions: &mut Vec<Action>,
    ) {
        self.claimed = None;
        self.max_epoch = self.max_epoch.max(epoch);
        let phase = self.stored.state.as_ref().map_or(Phase::Canary, |state| state.row.phase);
        self.role = Role::Leader(Box::new(Lead::new(epoch, phase, now, confirmed_at)));
        for door in self.doors.values_mut() {
            door.next_send = None;
        }
        actions.push(Action::Log(Decision::Leads { epoch }));
    }

    fn step_down(&mut self, now: MonoTime, epoch: u64, actions: &mut Vec<Action>) {
        let check_at = self.takeover_at(now);
        self.role = Role::Standby { check_at };
        actions.push(Action::Log(Decision::Superseded { epoch }));
    }

    fn on_written(
        &mut self,
        now: MonoTime,
        result: Result<u64, StoreError>,
        actions: &mut Vec<Action>,
    ) {
        let Some(Pending::Write { sent_at, purpose, write }) = self.pending.take() else { return };
        let revision = match result {
            Ok(revision) => revision,
            Err(error) => return self.on_write_failed(now, purpose, error),
        };
        match write {
            Write::State(write) => {
                self.stored.state = Some(Stored { row: write.row, revision });
                self.state_seen_at = Some(sent_at);
            }
            Write::Status(write) => {
                self.stored.status = Some(Stored { row: write.row, revision });
            }
        }
        match (purpose, &mut self.role) {
            (Purpose::Claim(epoch), Role::Standby { .. }) => {
                self.take_lead(now, sent_at, epoch, actions);
            }
            (Purpose::Status(status), _) => {
                actions.push(Action::Log(Decision::Written(status)));
                match (status, &mut self.role) {
                    (Status::Running, Role::Leader(lead)) => lead.confirmed_at = sent_at,
                    (Status::Running, _) => {}
                    // The store was restored from a copy since it was written.
                    (_, Role::Leader(lead)) if lead.must_read => {
                        self.outcome = Some(status);
                        self.role = Role::Standby { check_at: Deadline(now) };
                    }
                    _ => self.end(now, status, actions),
                }
            }
            (Purpose::Phase(phase), Role::Leader(lead)) => {
                lead.confirmed_at = sent_at;
                self.enter_phase(now, phase, actions);
            }
            (Purpose::Renew, Role::Leader(lead)) => lead.confirmed_at = sent_at,
            _ => {}
        }
    }

    fn on_write_failed(&mut self, now: MonoTime, purpose: Purpose, error: StoreError) {
        if purpose == Purpose::Status(Status::Completed)
            && error == StoreError::Unavailable
            && let Role::Leader(lead) = &mut self.role
        {
            lead.commit_is_open = false;
        }
        if error != StoreError::Unavailable
            && let Role::Leader(lead) = &mut self.role
        {
            lead.must_read = true;
        }
        self.retry_later(now);
    }

    fn retry_later(&mut self, now: MonoTime) {
        let at = Deadline::after(now, Duration::from_millis(RETRY_MS));
        match &mut self.role {
            Role::Standby { check_at } => *check_at = at,
            Role::Leader(lead) => lead.retry_at = at,
            Role::Ended => {}
        }
    }

    /// Records how the rollout has ended. A leader then tells the doors.
    fn end(&mut self, now: MonoTime, status: Status, actions: &mut Vec<Action>) {
        self.outcome = Some(status);
        match &mut self.role {
            Role::Leader(lead) => {
                lead.announce_end(now, status);
                self.send_soon();
            }
            role => *role = Role::Ended,
        }
        self.send_stages(now, actions);
    }

    fn write_state(
        &mut self,
        now: MonoTime,
        purpose: Purpose,
        epoch: u64,
        phase: Phase,
        renewals: u64,
        actions: &mut Vec<Action>,
    ) {
        let row = StateRow {
            order: self.order.revision,
            release: self.order.release.clone(),
            duration_ms: self.order.duration.as_millis() as u64,
            epoch,
            phase,
            decider: self.own,
            renewals,
            elapsed_ms: self.elapsed(now).as_millis() as u64,
        };
        let (expected_state, expected_status) = self.revisions();
        let write = Write::State(StateWrite { row, expected_state, expected_status });
        self.write(now, purpose, write, actions);
    }

    fn write_status(&mut self, now: MonoTime, state: Status, actions: &mut Vec<Action>) {
        let row = StatusRow { state, to: self.order.release.clone() };
        let (expected_state, expected_status) = self.revisions();
        let write =
            Write::Status(crate::types::StatusWrite { row, expected_state, expected_status });
        self.write(now, Purpose::Status(state), write, actions);
    }

    fn write(&mut self, now: MonoTime, purpose: Purpose, write: Write, actions: &mut Vec<Action>) {
        actions.push(Action::Write(write.clone()));
        self.pending = Some(Pending::Write { sent_at: now, purpose, write });
    }

    fn read(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        actions.push(Action::Read);
        self.pending = Some(Pending::Read { sent_at: now });
    }

    /// Returns the revisions of both rows; 0 for a row that does not exist.
    fn revisions(&self) -> (u64, u64) {
        let state = self.stored.state.as_ref().map_or(0, |stored| stored.revision);
        let status = self.stored.status.as_ref().map_or(0, |stored| stored.revision);
        (state, status)
    }

    fn drive(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        match &self.role {
            Role::Standby { check_at } => {
                let is_candidate = self.candidates.ranking.contains(&self.own);
                let may_act = is_candidate && !self.candidates.isolated;
                if self.pending.is_none() && may_act && check_at.is_past(now) {
                    self.read(now, actions);
                }
            }
            Role::Leader(_) => self.lead(now, actions),
            Role::Ended => {}
        }
    }
}
