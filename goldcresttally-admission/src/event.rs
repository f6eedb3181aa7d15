//! What happens to the machine, what it decides, and its options.

use std::fmt;
use std::time::Duration;

use goldcresttally_core::{Deadline, text_enum};

use crate::limit::Outcome;

/// Identifies a call within one admission machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// How calls are ordered and limited.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// First come, first served, without limit or refusal; a baseline.
    Fifo,
    /// The most urgent first, without floors; a baseline.
    Strict,
    /// The most urgent first, each rank keeping its floor share.
    #[default]
    Ranked,
}

text_enum!(
    Policy,
    "admission policy",
    "fifo, strict or ranked",
    Fifo = "fifo",
    Strict = "strict",
    Ranked = "ranked",
);

/// Limits of one upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// How calls are ordered and limited.
    pub policy: Policy,
    /// Most calls that run at once.
    pub max_concurrency: u32,
    /// Whether the limit on concurrent calls follows observed latency and shed answers; otherwise
    /// it stays at `max_concurrency`.
    pub adaptive: bool,
    /// Most calls that wait.
    pub queue_capacity: usize,
    /// The floor share of each rank, the most urgent first.
    pub floor_shares: Vec<f64>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            max_concurrency: 1,
            adaptive: true,
            queue_capacity: 64,
            floor_shares: Vec::new(),
        }
    }
}

/// Why a call was refused unrun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// More urgent calls take all there is.
    Overloaded,
    /// Its deadline cannot be met.
    Deadline,
    /// The upstream is draining or gone.
    Draining,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Overloaded => "overloaded",
            Self::Deadline => "deadline",
            Self::Draining => "draining",
        })
    }
}

/// What happens to the machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// A call came.
    Offer {
        /// The call.
        call: CallId,
        /// Its rank; 0 is the most urgent.
        rank: usize,
        /// When its answer is of no use any more.
        deadline: Deadline,
        /// Until when its answer is on time.
        on_time_by: Deadline,
        /// Time within which the answers of its rank are on time.
        target: Duration,
    },
    /// A call that was dispatched ended.
    Finish {
        /// The call.
        call: CallId,
        /// How it ended.
        outcome: Outcome,
    },
    /// A call that waits, or whose turn has just come, is given up; it gets no further action.
    Withdraw {
        /// The call.
        call: CallId,
    },
    /// The limits changed.
    Configure(Options),
    /// The upstream takes nothing new from now on.
    Drain,
    /// The upstream takes calls.
    Open,
    /// Time has passed.
    Tick,
}

/// What the driver is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send the call to the upstream.
    Dispatch(CallId),
    /// Answer that the call did not run.
    Refuse(CallId, Refusal),
}

/// How loaded an upstream is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Calls that run.
    pub running: usize,
    /// Calls that wait.
    pub waiting: usize,
    /// Calls that may run at once.
    pub limit: usize,
}
