//! What the leader does at the store and tells the doors.

use std::collections::VecDeque;
use std::time::Duration;

use goldcresttally_core::{Deadline, MonoTime, NodeId, Rate, rendezvous};

use super::{Action, Decider, Purpose, Role};
use crate::evaluation::{ClassCounts, Fault};
use crate::types::{Decision, Phase, Report, Stage, Status};

/// Limits of the time for which a stage holds, in milliseconds. It must be longer than the interval
/// at which stages are sent.
const MIN_LEASE_MS: u64 = 800;
const MAX_LEASE_MS: u64 = 1500;

/// Share of the time for a rollback that a stage holds at most. The rest is for noticing the fault.
const LEASE_SHARE: f64 = 0.3;

/// Interval at which stages are sent, in milliseconds.
const STAGE_INTERVAL_MS: u64 = 500;

/// The same for doors of the old release while their reports serve only for comparison.
const SLOW_STAGE_INTERVAL_MS: u64 = 1000;

/// The same while the doors of the old release finish their calls.
const SHIFT_STAGE_INTERVAL_MS: u64 = 200;

/// Interval at which leadership is renewed at the store, in milliseconds.
const RENEW_INTERVAL_MS: u64 = 2000;

/// Time after the last renewal for which the leader acts, in milliseconds.
const CONFIRMED_MS: u64 = 5000;

/// Maximum time for which the doors are told how the rollout has ended, in milliseconds. Doors that
/// were not reached read it from the store.
const ANNOUNCE_MS: u64 = 10_000;

/// Time after which a door's last report no longer counts as current, in milliseconds.
const REPORT_AGE_MS: u64 = 2500;

/// Thousandths of the calls that the release gets in phase `open`, in which there are as many
/// upstreams of it as of the old one.
const OPEN_SHARE_MILLI: u16 = 400;

/// Share of the rate of phase `canary` that the entries send.
const STEERED_SHARE: f64 = 0.85;

/// Smallest change of the share in phase `canary` that is published, in thousandths.
const MIN_SHARE_CHANGE: u16 = 30;

/// Weight of the newest report in the smoothed rate of a door.
const RATE_WEIGHT: f64 = 0.5;

/// Counts of both releases at a point in time.
#[derive(Debug, Clone)]
pub(super) struct Sample {
    pub at: MonoTime,
    pub new: ClassCounts,
    pub old: ClassCounts,
}

/// The state of a leader.
#[derive(Debug)]
pub(super) struct Lead {
    pub epoch: u64,
    /// When the last write or read that confirmed the lead was sent.
    pub confirmed_at: MonoTime,
    renewals: u64,
    renew_at: Deadline,
    pub retry_at: Deadline,
    /// Whether the rows must be read before anything else is written.
    pub must_read: bool,
    pub phase: Phase,
    pub phase_since: MonoTime,
    pub fault: Option<Fault>,
    /// Whether the phase `rolled_back` was written.
    rollback_is_written: bool,
    /// Since when the doors of the old release have been closed for good.
    pub sealed_at: Option<MonoTime>,
    /// Whether `completed` may have been written.
    pub commit_is_open: bool,
    pub samples: VecDeque<Sample>,
    /// Thousandths of the service's calls that the release is to get in phase `canary`.
    canary_milli: u16,
    /// When the releases are compared next.
    pub judge_at: Deadline,
    /// How the rollout has ended, and until when the doors are told.
    ended: Option<(Status, Deadline)>,
}

impl Lead {
    pub fn new(epoch: u64, phase: Phase, now: MonoTime, confirmed_at: MonoTime) -> Self {
        Self {
            epoch,
            confirmed_at,
            renewals: 0,
            renew_at: Deadline::after(now, Duration::from_millis(RENEW_INTERVAL_MS)),
            retry_at: Deadline(now),
            must_read: false,
            phase,
            phase_since: now,
            fault: None,
            rollback_is_written: phase == Phase::RolledBack,
            sealed_at: None,
            commit_is_open: false,
            samples: VecDeque::new(),
            canary_milli: 0,
            judge_at: Deadline(now),
            ended: None,
        }
    }

    pub fn announce_end(&mut self, now: MonoTime, status: Status) {
        let until = Deadline::after(now, Duration::from_millis(ANNOUNCE_MS));
        self.ended = Some((status, until));
    }

    /// Returns whether the rollout has ended, so that the lead only tells the doors.
    pub fn has_ended(&self) -> bool {
        self.ended.is_some()
    }

    /// Returns whether the lead was confirmed recently enough to act on it.
    fn is_confirmed(&self, now: MonoTime) -> bool {
        now.since(self.confirmed_at) < Duration::from_millis(CONFIRMED_MS)
    }
}

impl Decider {
    /// Does what is due as the leader.
    pub(super) fn lead(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        // A node that sees few members would take the others for gone.
        if self.candidates.isolated || self.has_announced_end(now) {
            return;
        }
        self.judge(now, actions);
        self.send_stages(now, actions);
        self.use_store(now, actions);
    }

    /// Ends the lead once all doors know how the rollout has ended; returns whether it has ended.
    fn has_announced_end(&mut self, now: MonoTime) -> bool {
        let Role::Leader(lead) = &self.role else { return true };
        let Some((status, until)) = lead.ended else { return false };
        let phase = match status {
            Status::Completed => Phase::Completed,
            _ => Phase::RolledBack,
        };
        let knows = |report: &Report| {
            report.held.as_ref().is_some_and(|held| held.phase == phase && held.valid.is_none())
        };
        let all_know =
            self.doors.values().all(|door| door.last.as_ref().is_some_and(|(_, r)| knows(r)));
        if all_know || until.is_past(now) {
            self.role = Role::Ended;
            return true;
        }
        false
    }

    /// Does the next read or write that is due.
    fn use_store(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        let Role::Leader(lead) = &self.role else { return };
        if self.pending.is_some() || !lead.retry_at.is_past(now) || lead.ended.is_some() {
            return;
        }
        if lead.must_read {
            return self.read(now, actions);
        }
        let (epoch, phase, renewals) = (lead.epoch, lead.phase, lead.renewals);
        // A known outcome is only written again, after the store has lost it.
        if let Some(status) = self.outcome {
            return self.write_status(now, status, actions);
        }
        if lead.fault.is_some() && !lead.rollback_is_written {
            let phase = Phase::RolledBack;
            return self.write_state(now, Purpose::Phase(phase), epoch, phase, renewals, actions);
        }
        let is_running = self.stored.status.as_ref().is_some_and(|status| {
            status.row.state == Status::Running && status.row.to == self.order.release
        });
        if !is_running {
            return self.write_status(now, Status::Running, actions);
        }
        if phase == Phase::RolledBack {
            if self.is_new_release_closed(now) {
                self.write_status(now, Status::RolledBack, actions);
            }
            return;
        }
        if lead.sealed_at.is_some() && self.is_old_release_idle() {
            if let Role::Leader(lead) = &mut self.role {
                lead.commit_is_open = true;
            }
            return self.write_status(now, Status::Completed, actions);
        }
        if let Some(next) = self.next_phase(now) {
            return self.write_state(now, Purpose::Phase(next), epoch, next, renewals, actions);
        }
        let Role::Leader(lead) = &mut self.role else { return };
        if lead.renew_at.is_past(now) {
            lead.renewals += 1;
            lead.renew_at = Deadline::after(now, Duration::from_millis(RENEW_INTERVAL_MS));
            let renewals = lead.renewals;
            self.write_state(now, Purpose::Renew, epoch, phase, renewals, actions);
        }
    }

    /// Continues or gives up the lead after the rows were read.
    pub(super) fn on_leader_read(
        &mut self,
        now: MonoTime,
        sent_at: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        let state = self.stored.state.as_ref().map(|stored| stored.row.clone());
        let Role::Leader(lead) = &mut self.role else { return };
        lead.must_read = false;
        let (mine, max) = (lead.epoch, self.max_epoch);
        let own = self.own;
        match state {
            Some(row) if row.decider == own && row.epoch == mine && mine == max => {
                lead.confirmed_at = sent_at;
                // The write whose answer was lost has taken effect.
                if row.phase > lead.phase && !lead.commit_is_open {
                    self.enter_phase(now, row.phase, actions);
                }
            }
            Some(row) if row.epoch > mine => self.step_down(now, row.epoch, actions),
            // The store was restored from a copy, or a door has seen a later epoch that the store
            // has lost: this node claims the lead anew.
            _ => {
                self.step_down(now, max, actions);
                self.role = Role::Standby { check_at: Deadline(now) };
                self.claim(now, actions);
            }
        }
    }

    pub(super) fn enter_phase(&mut self, now: MonoTime, phase: Phase, actions: &mut Vec<Action>) {
        let (elapsed, calls) = (self.elapsed(now), (self.received(true), self.received_by_all()));
        let Role::Leader(lead) = &mut self.role else { return };
        if phase == Phase::RolledBack {
            lead.rollback_is_written = true;
            lead.sealed_at = None;
            lead.commit_is_open = false;
            if lead.phase == phase {
                return;
            }
        }
        lead.phase = phase;
        lead.phase_since = now;
        actions.push(Action::Log(Decision::Phase { phase, elapsed, calls }));
        self.send_soon();
        self.send_stages(now, actions);
    }

    /// Starts the rollback. The doors are told at once, except while `completed` may have been
    /// written: then the store decides first.
    pub(super) fn roll_back(&mut self, now: MonoTime, fault: Fault, actions: &mut Vec<Action>) {
        let Role::Leader(lead) = &mut self.role else { return };
        if lead.fault.is_some() || lead.phase == Phase::RolledBack {
            return;
        }
        lead.fault = Some(fault);
        actions.push(Action::Log(Decision::Faulty(fault)));
        if lead.commit_is_open {
            return;
        }
        lead.phase = Phase::RolledBack;
        lead.phase_since = now;
        lead.sealed_at = None;
        self.send_soon();
        self.send_stages(now, actions);
    }

    /// Makes all doors due for a stage.
    pub(super) fn send_soon(&mut self) {
        self.doors.values_mut().for_each(|door| door.next_send = None);
    }

    /// Sends stages to the doors that are due for one.
    pub(super) fn send_stages(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        let Role::Leader(lead) = &self.role else { return };
        // How a rollout has ended is in the store, so that it needs no confirmed lead.
        if lead.ended.is_none() && !lead.is_confirmed(now) {
            return;
        }
        let (shares, canary_milli) = self.canary_rates(now);
        let lease = self.lease();
        let Role::Leader(lead) = &mut self.role else { return };
        // A change is published by all doors that get calls, so small ones are left out.
        if lead.canary_milli == 0 || lead.canary_milli.abs_diff(canary_milli) > MIN_SHARE_CHANGE {
            lead.canary_milli = canary_milli;
        }
        let interval = match (lead.phase, lead.ended) {
            (Phase::Shift, None) => SHIFT_STAGE_INTERVAL_MS,
            _ => STAGE_INTERVAL_MS,
        };
        let (phase, valid) = match (lead.phase, lead.ended) {
            (_, Some((Status::Completed, _))) => (Phase::Completed, None),
            (_, Some(_)) | (Phase::RolledBack, None) => (Phase::RolledBack, None),
            (Phase::Shift, None) if lead.sealed_at.is_some() => (Phase::Completed, Some(lease)),
            (phase, None) => (phase, Some(lease)),
        };
        let stage = Stage {
            release: self.order.release.clone(),
            order: self.order.revision,
            epoch: lead.epoch,
            phase,
            rate: None,
            share_milli: match phase {
                Phase::Canary => lead.canary_milli,
                Phase::Open => OPEN_SHARE_MILLI,
                _ => 0,
            },
            valid,
        };
        for (id, door) in &mut self.doors {
            if door.next_send.is_some_and(|at| !at.is_past(now)) {
                continue;
            }
            let is_new = door.release.as_ref() == Some(&stage.release);
            let is_slow = !is_new && phase == Phase::Canary && door.last.is_some();
            let interval = if is_slow { SLOW_STAGE_INTERVAL_MS } else { interval };
            door.next_send = Some(Deadline::after(now, Duration::from_millis(interval)));
            let rate = match phase {
                Phase::Canary => {
                    let found = shares.iter().find(|(chosen, _)| chosen == id);
                    Some(found.map_or(Rate(0.0), |(_, rate)| *rate))
                }
                _ => None,
            };
            actions.push(Action::Send { to: *id, stage: Stage { rate, ..stage.clone() } });
        }
    }

    /// Returns the time for which a stage holds.
    pub(super) fn lease(&self) -> Duration {
        let limits = (Duration::from_millis(MIN_LEASE_MS), Duration::from_millis(MAX_LEASE_MS));
        self.options.rollback.mul_f64(LEASE_SHARE).clamp(limits.0, limits.1)
    }

    /// Returns the doors that get calls in phase `canary`, with their rates, and the thousandths of
    /// all calls that they get.
    fn canary_rates(&self, now: MonoTime) -> (Vec<(NodeId, Rate)>, u16) {
        let is_current = |door: &super::DoorState| {
            door.last
                .as_ref()
                .is_some_and(|(at, _)| now.since(*at) < Duration::from_millis(REPORT_AGE_MS))
        };
        let total: f64 =
            self.doors.values().filter(|door| is_current(door)).map(|door| door.rate).sum();
        let mut chosen: Vec<NodeId> = self
            .doors
            .iter()
            .filter(|(_, door)| self.is_new(door) && is_current(door))
            .map(|(id, _)| *id)
            .collect();
        chosen.sort_by_key(|id| {
            (std::cmp::Reverse(rendezvous::weight(*id, self.order.release.as_str())), *id)
        });
        let old = self.doors.values().filter(|door| !self.is_new(door)).count();
        chosen.truncate(((self.canary_share() * old as f64).round() as usize).max(1));
        let rate = self.canary_rate(total);
        if chosen.is_empty() || rate <= 0.0 || !self.has_exposure_left(rate) {
            return (Vec::new(), 0);
        }
        // Entries send less than the doors let through, so that few calls are refused.
        let milli = 1000.0 * STEERED_SHARE * rate / total;
        let each = Rate(rate / chosen.len() as f64);
        (chosen.into_iter().map(|id| (id, each)).collect(), milli.ceil() as u16)
    }

    pub(super) fn on_report(
        &mut self,
        now: MonoTime,
        from: NodeId,
        report: Report,
        actions: &mut Vec<Action>,
    ) {
        self.max_epoch = self.max_epoch.max(report.epoch);
        let max = self.max_epoch;
        let Some(door) = self.doors.get_mut(&from) else { return };
        if report.release.is_some() {
            door.release.clone_from(&report.release);
        }
        if let Some((at, last)) = &door.last {
            if report.received < last.received {
                // The node has started again and counts from zero.
                door.earlier_received += last.received;
                door.earlier_counts.add(&last.classes);
            } else {
                let seconds = now.since(*at).as_secs_f64().max(0.05);
                let rate = (report.received - last.received) as f64 / seconds;
                let is_first = door.rate == 0.0;
                let weight = if is_first { 1.0 } else { RATE_WEIGHT };
                door.rate += weight * (rate - door.rate);
            }
        }
        let was_found_faulty = report.held.as_ref().is_some_and(|held| {
            held.phase == Phase::RolledBack
                && held.epoch > 0
                && held.release == self.order.release
                && held.order == self.order.revision
        });
        // Only told after it was written, which a restored store may have lost.
        let was_completed = report.held.as_ref().is_some_and(|held| {
            held.phase == Phase::Completed
                && held.valid.is_none()
                && held.epoch > 0
                && held.release == self.order.release
        });
        door.last = Some((now, report));
        if was_completed {
            self.outcome = Some(Status::Completed);
        }
        let Role::Leader(lead) = &mut self.role else { return };
        if max > lead.epoch {
            lead.must_read = true;
        }
        if was_found_faulty && lead.ended.is_none() {
            self.roll_back(now, Fault::Reported, actions);
        }
    }
}
