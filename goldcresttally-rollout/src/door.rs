//! What a node lets through to the upstream beside it during a rollout.

use std::time::Duration;

use goldcresttally_core::{Deadline, MonoTime, Rate, ReleaseName};

use crate::types::{Order, Phase, Stage, Status, expiry};

/// Time after the expiry of a stage after which the node reads the rows of the order itself, in
/// milliseconds. The next decider has usually taken the lead by then.
const RESOLVE_AFTER_MS: u64 = 3000;

/// Time after which a node takes part in the choice of a decider itself, in milliseconds. By then
/// the readers of the feed, which do so from the beginning, are gone.
const ABANDONED_AFTER_MS: u64 = 6000;

/// What a node may let through to its upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Gate {
    /// All calls.
    Open,
    /// All calls until the lease ends.
    Leased(Deadline),
    /// Calls at a rate until the lease ends.
    Paced(Rate, Deadline),
    /// No calls.
    Closed,
}

impl Gate {
    /// Returns whether calls may be let through at `now`.
    pub fn admits(self, now: MonoTime) -> bool {
        match self {
            Self::Open => true,
            Self::Leased(until) | Self::Paced(_, until) => !until.is_past(now),
            Self::Closed => false,
        }
    }
}

/// What the rows in the store say about the order of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Resolved {
    /// There is no order.
    NoOrder,
    /// The order is under way, or no decider has seen it yet.
    Running(Order),
    /// The rollout has ended.
    Ended(Order, Status),
}

#[derive(Debug, Clone, PartialEq)]
enum Knowledge {
    /// The node has just started.
    Unknown,
    NoOrder,
    /// An order is under way and no decider has been heard. The old release may have been closed
    /// for good, so neither release may be opened.
    Awaiting {
        order: Order,
        since: MonoTime,
    },
    Held {
        stage: Stage,
        /// When the stage expires; `None` if it does not.
        until: Option<Deadline>,
    },
}

/// The door of a node: what it lets through to the upstream beside it.
///
/// An upstream of the release under test is open only while a stage that allows it has not expired.
/// One of another release is closed only in phase `shift`, until the stage expires, and from phase
/// `completed` on, for good: `completed` may then have been written, after which the platform stops
/// the upstream.
#[derive(Debug)]
pub struct Door {
    release: Option<ReleaseName>,
    epoch: u64,
    knowledge: Knowledge,
    /// Whether the upstream's release was in service without an order of its own.
    established: bool,
    /// Whether the upstreams of the service beside other nodes are all of other releases.
    is_foreign: bool,
}

impl Default for Door {
    fn default() -> Self {
        Self {
            release: None,
            epoch: 0,
            knowledge: Knowledge::Unknown,
            established: false,
            is_foreign: true,
        }
    }
}

impl Door {
    /// Sets the release of the upstream beside the node; `None` without an upstream or if it names
    /// none.
    pub fn set_release(&mut self, release: Option<ReleaseName>) {
        if release.is_some() && release != self.release {
            self.established = false;
            // Not known before the members are looked at.
            self.is_foreign = true;
            self.release = release;
        }
    }

    /// Returns the release of the upstream beside the node.
    pub fn release(&self) -> Option<&ReleaseName> {
        self.release.as_ref()
    }

    /// Returns the highest epoch that the node has seen.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the stage that the node holds, which may have expired.
    pub fn held(&self) -> Option<&Stage> {
        match &self.knowledge {
            Knowledge::Held { stage, .. } => Some(stage),
            _ => None,
        }
    }

    /// Returns whether an order is under way as far as the node knows.
    pub fn is_under_way(&self) -> bool {
        match &self.knowledge {
            Knowledge::Awaiting { .. } => true,
            Knowledge::Held { stage, .. } => match stage.phase {
                Phase::Canary | Phase::Open | Phase::Shift => true,
                Phase::Completed => stage.valid.is_some(),
                Phase::RolledBack => false,
            },
            Knowledge::Unknown | Knowledge::NoOrder => false,
        }
    }

    /// Returns whether the node has not learned yet whether there is an order.
    pub fn is_unknown(&self) -> bool {
        self.knowledge == Knowledge::Unknown
    }

    /// Takes a stage from a decider; returns whether the decider has the highest epoch seen.
    pub fn on_stage(&mut self, now: MonoTime, stage: Stage) -> bool {
        if stage.epoch < self.epoch {
            return false;
        }
        self.epoch = stage.epoch;
        // A release that was found faulty is not tried again under the same order by a decider that
        // has not heard of it yet. What the store says has been decided counts, though.
        let is_final = stage.phase == Phase::Completed && stage.valid.is_none();
        if let Knowledge::Held { stage: held, .. } = &self.knowledge
            && held.phase == Phase::RolledBack
            && held.epoch > 0
            && !is_final
            && (held.order, &held.release) == (stage.order, &stage.release)
        {
            return true;
        }
        let until = expiry(&stage, now);
        self.knowledge = Knowledge::Held { stage, until };
        true
    }

    /// Takes what the store, or a node that has read it, says about the order.
    pub fn on_resolved(&mut self, now: MonoTime, resolved: Resolved) {
        if let Knowledge::Held { until: Some(until), .. } = &self.knowledge
            && !until.is_past(now)
        {
            return;
        }
        match (resolved, &self.knowledge) {
            (Resolved::NoOrder, Knowledge::Unknown) => self.knowledge = Knowledge::NoOrder,
            (Resolved::Running(order), Knowledge::Unknown) => {
                self.knowledge = Knowledge::Awaiting { order, since: now };
            }
            (Resolved::Running(order), Knowledge::Awaiting { since, .. }) => {
                self.knowledge = Knowledge::Awaiting { order, since: *since };
            }
            (Resolved::Ended(order, status), _) => {
                let phase = match status {
                    Status::Completed => Phase::Completed,
                    Status::RolledBack => Phase::RolledBack,
                    Status::Running => return,
                };
                let stage = Stage {
                    release: order.release,
                    order: order.revision,
                    epoch: 0,
                    phase,
                    rate: None,
                    share_milli: 0,
                    valid: None,
                };
                self.knowledge = Knowledge::Held { stage, until: None };
            }
            (Resolved::NoOrder | Resolved::Running(_), _) => {}
        }
    }

    /// Tells whether the upstreams of the service beside other nodes are all of other releases.
    ///
    /// The upstreams of a new release may start shortly before the order that names it arrives. They
    /// stay closed until then.
    pub fn set_foreign(&mut self, is_foreign: bool) {
        self.is_foreign = is_foreign;
        let without_order = match &self.knowledge {
            Knowledge::NoOrder => true,
            Knowledge::Held { stage, .. } => {
                stage.phase == Phase::RolledBack && !self.is_under_test(stage)
            }
            Knowledge::Unknown | Knowledge::Awaiting { .. } => false,
        };
        if without_order && !is_foreign && self.release.is_some() {
            self.established = true;
        }
    }

    /// Returns whether the node waits to learn whether its release is in service.
    pub fn awaits_establishment(&self) -> bool {
        !self.established
    }

    /// Returns what the node may let through.
    pub fn gate(&self, now: MonoTime) -> Gate {
        let without_order =
            if self.established || !self.is_foreign { Gate::Open } else { Gate::Closed };
        let (stage, until) = match &self.knowledge {
            Knowledge::Unknown | Knowledge::Awaiting { .. } => return Gate::Closed,
            Knowledge::NoOrder => return without_order,
            Knowledge::Held { stage, until, .. } => (stage, *until),
        };
        let is_valid = until.is_none_or(|until| !until.is_past(now));
        if !self.is_under_test(stage) {
            return match stage.phase {
                Phase::Shift if is_valid => Gate::Closed,
                Phase::Completed => Gate::Closed,
                Phase::RolledBack => without_order,
                Phase::Canary | Phase::Open | Phase::Shift => Gate::Open,
            };
        }
        match (stage.phase, until) {
            (Phase::Completed, None) => Gate::Open,
            // A stage of another phase always expires, unless it closes the door for good.
            (Phase::RolledBack, _) | (_, None) => Gate::Closed,
            (_, Some(_)) if !is_valid => Gate::Closed,
            (Phase::Canary, Some(until)) => match stage.rate {
                Some(rate) if rate.0 > 0.0 => Gate::Paced(rate, until),
                _ => Gate::Closed,
            },
            (Phase::Open | Phase::Shift | Phase::Completed, Some(until)) => Gate::Leased(until),
        }
    }

    /// Returns the thousandths of the service's calls that the entries are to send to the upstreams
    /// of the release under test, if the one beside this node is one that gets calls; 0 otherwise.
    pub fn trial_milli(&self, now: MonoTime) -> u16 {
        match self.held() {
            Some(stage)
                if matches!(stage.phase, Phase::Canary | Phase::Open)
                    && self.is_under_test(stage)
                    && self.gate(now) != Gate::Closed =>
            {
                stage.share_milli
            }
            _ => 0,
        }
    }

    /// Returns whether the node is to read the rows of the order, because it has just started or no
    /// decider has been heard for some time.
    pub fn needs_resolution(&self, now: MonoTime) -> bool {
        let after = Duration::from_millis(RESOLVE_AFTER_MS);
        match &self.knowledge {
            Knowledge::Unknown | Knowledge::Awaiting { .. } => true,
            Knowledge::NoOrder => false,
            Knowledge::Held { until, .. } => match until {
                Some(until) => Deadline::after(until.0, after).is_past(now),
                None => false,
            },
        }
    }

    /// Returns whether an order is under way of which no decider has been heard for long.
    pub fn is_abandoned(&self, now: MonoTime) -> bool {
        let after = Duration::from_millis(ABANDONED_AFTER_MS);
        match &self.knowledge {
            Knowledge::Awaiting { since, .. } => Deadline::after(*since, after).is_past(now),
            Knowledge::Held { until: Some(until), .. } => {
                Deadline::after(until.0, after).is_past(now)
            }
            _ => false,
        }
    }

    /// Returns whether the node knows whether there is an order, and what became of it unless it is
    /// under way.
    pub fn is_informed(&self) -> bool {
        !matches!(self.knowledge, Knowledge::Unknown | Knowledge::Awaiting { .. })
    }

    fn is_under_test(&self, stage: &Stage) -> bool {
        self.release.as_ref() == Some(&stage.release)
    }
}
