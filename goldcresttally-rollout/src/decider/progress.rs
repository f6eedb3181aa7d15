//! When a rollout moves on, and when it is rolled back.

use std::time::Duration;

use goldcresttally_core::{Deadline, MonoTime};

use super::lead::Sample;
use super::{Action, Decider, DoorState, Role};
use crate::evaluation::{ClassCounts, Fault, find_fault};
use crate::types::Phase;

/// Share of the permitted exposure that phase `canary` uses; the rest is for the phases after it.
const CANARY_EXPOSURE: f64 = 0.7;

/// Share of the calls that a faulty release may get besides which phase `canary` uses, and the
/// maximum share of a service's calls that this may be.
const CANARY_SPARE: f64 = 0.4;
const MAX_CANARY_SHARE: f64 = 0.3;

/// Share of the time limit before which all upstreams of the release are not opened.
const OPEN_AFTER: f64 = 0.4;

/// Share of the time limit after which they are opened also when few calls have been answered.
const OPEN_ANYWAY_AFTER: f64 = 0.6;

/// Answers without a sign of a fault after which they may be opened.
const MIN_ANSWERS: u64 = 100;

/// The same for answers whose times are compared.
const MIN_TIMED_ANSWERS: u64 = 60;

/// Share of the time limit for which they are open beside those of the old release.
const OPEN_SHARE: f64 = 0.05;

/// Limits of that time, in milliseconds.
const MIN_OPEN_MS: u64 = 1500;
const MAX_OPEN_MS: u64 = 4000;

/// Share of the upstreams of the old release that must be there of the new one before the old ones
/// are closed, and the share of the time limit after which fewer are enough.
const REPLACED_SHARE: f64 = 0.7;
const SHIFT_ANYWAY_AFTER: f64 = 0.75;

/// Share of the time limit after which a release without any upstream is given up.
const ABSENT_AFTER: f64 = 0.95;

/// Minimum interval between comparisons of the releases, in milliseconds.
const JUDGE_INTERVAL_MS: u64 = 100;

/// Interval between samples, and the period over which recent answers are compared, in
/// milliseconds.
const SAMPLE_INTERVAL_MS: u64 = 500;
const RECENT_MS: u64 = 4000;

/// Time after the end of the last lease after which a door of the new release counts as closed, in
/// milliseconds; a margin for the way of the stage.
const CLOSED_MARGIN_MS: u64 = 500;

/// Time that the doors have to report before a new leader moves on, in milliseconds.
const LEAD_WAIT_MS: u64 = 1500;

impl Decider {
    /// Compares the releases, and starts the rollback if the new one is faulty.
    pub(super) fn judge(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        let Role::Leader(lead) = &mut self.role else { return };
        if !lead.judge_at.is_past(now) {
            return;
        }
        lead.judge_at = Deadline::after(now, Duration::from_millis(JUDGE_INTERVAL_MS));
        let (new, old) = (self.counts(true), self.counts(false));
        let elapsed = self.elapsed(now);
        let is_absent = !self.doors.values().any(|door| self.is_new(door));
        let is_decided = self.outcome.is_some();
        let Role::Leader(lead) = &mut self.role else { return };
        if lead.phase == Phase::RolledBack || lead.fault.is_some() || is_decided {
            return;
        }
        let recent = lead.samples.front().cloned();
        let due = lead
            .samples
            .back()
            .is_none_or(|last| now.since(last.at) >= Duration::from_millis(SAMPLE_INTERVAL_MS));
        if due {
            lead.samples.push_back(Sample { at: now, new: new.clone(), old: old.clone() });
            let limit = Duration::from_millis(RECENT_MS);
            while lead.samples.front().is_some_and(|first| now.since(first.at) > limit) {
                lead.samples.pop_front();
            }
        }
        let mut fault = find_fault(&new, &[&old]);
        if let Some(Sample { new: new_then, old: old_then, .. }) = recent {
            let old_recent = old.since(&old_then);
            // The old release is slow or fails now as well if the cause lies elsewhere.
            fault = find_fault(&new, &[&old, &old_recent])
                .or_else(|| find_fault(&new.since(&new_then), &[&old, &old_recent]));
        }
        if is_absent && elapsed > self.order.duration.mul_f64(ABSENT_AFTER) {
            fault = Some(Fault::Absent);
        }
        if let Some(fault) = fault {
            self.roll_back(now, fault, actions);
        }
        self.seal_if_idle(now);
    }

    /// Closes the doors of the old release for good once they have finished their calls.
    fn seal_if_idle(&mut self, now: MonoTime) {
        let is_idle = self.is_old_release_idle();
        let Role::Leader(lead) = &mut self.role else { return };
        if lead.phase == Phase::Shift && lead.sealed_at.is_none() && is_idle {
            lead.sealed_at = Some(now);
            self.send_soon();
        }
    }

    /// Returns the phase that is due next, up to `shift`.
    pub(super) fn next_phase(&self, now: MonoTime) -> Option<Phase> {
        let Role::Leader(lead) = &self.role else { return None };
        let elapsed = self.elapsed(now);
        let after = |share: f64| elapsed >= self.order.duration.mul_f64(share);
        let new = self.counts(true);
        match lead.phase {
            Phase::Canary => {
                let is_tested =
                    new.calls() >= MIN_ANSWERS && new.timed_answers() >= MIN_TIMED_ANSWERS;
                let may_open = after(OPEN_AFTER) && is_tested || after(OPEN_ANYWAY_AFTER);
                // The first reports may tell what an earlier leader has found out.
                let has_reports = self.doors.values().all(|door| door.last.is_some());
                let waited = now.since(lead.phase_since) >= Duration::from_millis(LEAD_WAIT_MS);
                let is_informed = has_reports || waited;
                let has_upstreams = self.doors.values().any(|door| self.is_new(door));
                (may_open && is_informed && has_upstreams).then_some(Phase::Open)
            }
            Phase::Open => {
                let open = self
                    .order
                    .duration
                    .mul_f64(OPEN_SHARE)
                    .clamp(Duration::from_millis(MIN_OPEN_MS), Duration::from_millis(MAX_OPEN_MS));
                let count = |is_new: bool| {
                    self.doors.values().filter(|door| self.is_new(door) == is_new).count()
                };
                let replaced = count(true) as f64 >= REPLACED_SHARE * count(false) as f64;
                let may_shift = replaced || after(SHIFT_ANYWAY_AFTER);
                (now.since(lead.phase_since) >= open && may_shift).then_some(Phase::Shift)
            }
            Phase::Shift | Phase::Completed | Phase::RolledBack => None,
        }
    }

    /// Returns whether every door of another release has said that it is closed in the present
    /// phase and has no call in flight. One that does not answer counts as having calls in flight
    /// until its node is no longer a member.
    pub(super) fn is_old_release_idle(&self) -> bool {
        let Role::Leader(lead) = &self.role else { return false };
        if lead.phase != Phase::Shift {
            return false;
        }
        let wanted = if lead.sealed_at.is_some() { Phase::Completed } else { Phase::Shift };
        self.doors.values().filter(|door| !self.is_new(door)).all(|door| {
            door.last.as_ref().is_some_and(|(_, report)| {
                report.in_flight == 0
                    && report.held.as_ref().is_some_and(|held| {
                        held.epoch == lead.epoch
                            && held.order == self.order.revision
                            && held.phase == wanted
                    })
            })
        })
    }

    /// Returns whether every door of the new release has closed, or must have by the expiry of its
    /// lease.
    pub(super) fn is_new_release_closed(&self, now: MonoTime) -> bool {
        let Role::Leader(lead) = &self.role else { return false };
        let limit = self.lease() + Duration::from_millis(CLOSED_MARGIN_MS);
        let expired = now.since(lead.phase_since) >= limit;
        let is_closed = |door: &DoorState| {
            let held = door.last.as_ref().and_then(|(_, report)| report.held.as_ref());
            held.is_some_and(|held| held.phase == Phase::RolledBack)
        };
        expired || self.doors.values().filter(|door| self.is_new(door)).all(is_closed)
    }

    pub(super) fn is_new(&self, door: &DoorState) -> bool {
        door.release.as_ref() == Some(&self.order.release)
    }

    pub(super) fn canary_share(&self) -> f64 {
        self.options.expose_share * CANARY_EXPOSURE
    }

    /// Returns the rate of calls to the release in phase `canary`, of a service with the given rate.
    /// A part of the calls that it may get besides its share is added, without which a service with
    /// few calls would learn nothing about it.
    pub(super) fn canary_rate(&self, service_rate: f64) -> f64 {
        let spare = CANARY_SPARE * self.options.expose_calls as f64;
        let seconds = self.order.duration.mul_f64(OPEN_AFTER).as_secs_f64();
        let added = (spare / seconds).min(MAX_CANARY_SHARE * service_rate);
        self.canary_share() * service_rate + added
    }

    /// Returns whether the release may get calls at `rate` for the time of a lease without getting
    /// more than it may.
    pub(super) fn has_exposure_left(&self, rate: f64) -> bool {
        let allowed = self.options.expose_share * self.received_by_all() as f64
            + CANARY_EXPOSURE * self.options.expose_calls as f64;
        self.received(true) as f64 + rate <= allowed
    }

    /// Returns the number of calls sent to upstreams of the new or of another release.
    pub(super) fn received(&self, is_new: bool) -> u64 {
        let of = |door: &DoorState| {
            door.earlier_received + door.last.as_ref().map_or(0, |(_, report)| report.received)
        };
        self.doors.values().filter(|door| self.is_new(door) == is_new).map(of).sum()
    }

    pub(super) fn received_by_all(&self) -> u64 {
        self.received(true) + self.received(false)
    }

    /// Returns the counts of the new or of the other releases.
    fn counts(&self, is_new: bool) -> ClassCounts {
        let mut sum = ClassCounts::default();
        for door in self.doors.values().filter(|door| self.is_new(door) == is_new) {
            sum.add(&door.earlier_counts.to_list());
            if let Some((_, report)) = &door.last {
                sum.add(&report.classes);
            }
        }
        sum
    }
}
