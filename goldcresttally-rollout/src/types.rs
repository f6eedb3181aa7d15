//! Orders, stages, reports and the rows in the store.

use std::fmt;
use std::time::Duration;

use goldcresttally_core::{Deadline, NodeId, Rate, ReleaseName, text_enum};
use serde::{Deserialize, Serialize};

/// Key of the class of calls whose times are not compared, because the upstream was not yet at its
/// full speed.
pub const UNTIMED_CLASS: u32 = u32::MAX;

/// An operator's order to move a service to a release.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Revision of the row.
    pub revision: u64,
    /// The release that is to take over.
    pub release: ReleaseName,
    /// Time limit of the rollout.
    pub duration: Duration,
}

impl Order {
    /// Returns whether both orders demand the same. The revision of a row changes when the store is
    /// restored from a copy and the row is written again.
    pub fn is_same(&self, other: &Self) -> bool {
        self.release == other.release && self.duration == other.duration
    }
}

/// The phase of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// A few upstreams of the new release get a small share of the calls.
    Canary,
    /// All upstreams of both releases get calls.
    Open,
    /// The upstreams of the old release get no new calls.
    Shift,
    /// The new release has taken over; the upstreams of the old one never get calls again.
    Completed,
    /// The upstreams of the new release get no calls.
    RolledBack,
}

text_enum!(
    Phase,
    "rollout phase",
    "canary, open, shift, completed or rolled_back",
    Canary = "canary",
    Open = "open",
    Shift = "shift",
    Completed = "completed",
    RolledBack = "rolled_back",
);

/// What the decider tells a node about the upstream beside it.
#[derive(Debug, Clone, PartialEq)]
pub struct Stage {
    /// The release under test.
    pub release: ReleaseName,
    /// Revision of the operator's order.
    pub order: u64,
    /// Fencing token of the decider; 0 for a stage that was derived from the rows in the store.
    pub epoch: u64,
    /// The phase.
    pub phase: Phase,
    /// Calls per second that this node may let through to an upstream of the release; `None` for no
    /// limit.
    pub rate: Option<Rate>,
    /// Thousandths of the service's calls that the release is to get in phases `canary` and `open`.
    pub share_milli: u16,
    /// Time for which the stage holds after it was received; `None` for a stage that does not
    /// expire.
    pub valid: Option<Duration>,
}

/// Counts of one class of calls since the node first heard of the order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClassCount {
    /// Calls that were answered well.
    pub answered: u64,
    /// Calls that failed at the upstream.
    pub failed: u64,
    /// Sum of the times from sending a call to its answer, for answered calls, in milliseconds.
    pub total_ms: u64,
}

/// A node's report to the decider.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Release of the upstream beside the node; `None` without an upstream.
    pub release: Option<ReleaseName>,
    /// Highest epoch that the node has seen.
    pub epoch: u64,
    /// Calls sent to the upstream since the node first heard of the order.
    pub received: u64,
    /// Calls that run at the upstream.
    pub in_flight: u32,
    /// Counts by class of call.
    pub classes: Vec<(u32, ClassCount)>,
    /// The stage that the node holds, if any.
    pub held: Option<Stage>,
    /// Whether the node knows whether there is an order.
    pub is_informed: bool,
}

/// The state of a rollout in the table that operators read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// The rollout is under way.
    Running,
    /// The new release has taken over.
    Completed,
    /// The new release was found faulty and gets no calls.
    RolledBack,
}

text_enum!(
    Status,
    "rollout status",
    "running, completed or rolled_back",
    Running = "running",
    Completed = "completed",
    RolledBack = "rolled_back",
);

/// The row that operators read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusRow {
    /// The state.
    pub state: Status,
    /// The release that the order names.
    pub to: ReleaseName,
}

/// The row by which deciders agree on who leads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateRow {
    /// Revision of the order.
    pub order: u64,
    /// Release of the order.
    pub release: ReleaseName,
    /// Time limit of the order, in milliseconds.
    pub duration_ms: u64,
    /// Fencing token of the decider.
    pub epoch: u64,
    /// The phase that the decider has reached.
    pub phase: Phase,
    /// The decider.
    pub decider: NodeId,
    /// Number of times that the decider has renewed its leadership in this epoch.
    pub renewals: u64,
    /// Time since the order, in milliseconds.
    pub elapsed_ms: u64,
}

impl StateRow {
    /// Returns whether the row belongs to the order.
    pub fn is_of(&self, order: &Order) -> bool {
        self.release == order.release && u128::from(self.duration_ms) == order.duration.as_millis()
    }
}

/// A row with its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored<T> {
    /// The content.
    pub row: T,
    /// Revision of the row.
    pub revision: u64,
}

/// A write of the row by which deciders agree. It fails unless both rows have the given revisions;
/// 0 stands for a row that does not exist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateWrite {
    /// The new content.
    pub row: StateRow,
    /// Revision that the row must have.
    pub expected_state: u64,
    /// Revision that the status row must have.
    pub expected_status: u64,
}

/// A write of the row that operators read, under the same condition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatusWrite {
    /// The new content.
    pub row: StatusRow,
    /// Revision that the row of the deciders must have.
    pub expected_state: u64,
    /// Revision that the row must have.
    pub expected_status: u64,
}

/// A conditional write of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// The row by which deciders agree.
    State(StateWrite),
    /// The row that operators read.
    Status(StatusWrite),
}

/// A decision, for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// This node has taken the lead.
    Leads {
        /// Its fencing token.
        epoch: u64,
    },
    /// Another node has taken the lead.
    Superseded {
        /// The other node's fencing token, as far as it is known.
        epoch: u64,
    },
    /// The rollout has reached a phase.
    Phase {
        /// The phase.
        phase: Phase,
        /// Time since the order.
        elapsed: Duration,
        /// Calls sent to upstreams of the new release, and to all.
        calls: (u64, u64),
    },
    /// The release is faulty.
    Faulty(crate::evaluation::Fault),
    /// The status row was written.
    Written(Status),
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Leads { epoch } => write!(f, "leads epoch={epoch}"),
            Self::Superseded { epoch } => write!(f, "superseded epoch={epoch}"),
            Self::Phase { phase, elapsed, calls: (new, all) } => {
                write!(f, "phase={phase} elapsed_ms={} calls={new}/{all}", elapsed.as_millis())
            }
            Self::Faulty(fault) => write!(f, "faulty {fault}"),
            Self::Written(status) => write!(f, "status={status}"),
        }
    }
}

/// Returns when a stage that was received at `now` expires; `None` if it does not.
pub(crate) fn expiry(stage: &Stage, now: goldcresttally_core::MonoTime) -> Option<Deadline> {
    stage.valid.map(|valid| Deadline::after(now, valid))
}
