//! The inputs, decisions and options of the admission state machine.

use std::fmt;
use std::time::Duration;

use goldcresttally_core::{Deadline, Rate, text_enum};

use crate::limit::Outcome;

/// Identifies a call within one [`Admission`](crate::Admission).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// How calls are ordered and limited.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// First come, first served, without a limit or refusals. A baseline for comparisons.
    Fifo,
    /// Strict priority by rank, without floor shares. A baseline for comparisons.
    Strict,
    /// Priority by rank, with a guaranteed floor share for each rank.
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

/// Limits on the calls of one upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// How calls are ordered and limited.
    pub policy: Policy,
    /// Maximum number of calls that run at the same time.
    pub max_concurrency: u32,
    /// Whether the limit on concurrent calls adapts to latency and to shed calls; otherwise it
    /// stays at `max_concurrency`.
    pub adaptive: bool,
    /// Maximum number of calls that wait.
    pub queue_capacity: usize,
    /// Floor share of each rank, the most urgent first: the share of the capacity that the rank
    /// gets even under a flood of more urgent calls.
    pub floor_shares: Vec<f64>,
    /// Whether nested calls go before new ones and have slots kept free for them, and calls wait
    /// only as long as they are likely to be on time.
    pub overload_control: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            max_concurrency: 1,
            adaptive: true,
            queue_capacity: 64,
            floor_shares: Vec::new(),
            overload_control: false,
        }
    }
}

/// Why a call was refused without running it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The capacity is taken by other calls, or the call would start too late behind them.
    Overloaded,
    /// It can no longer be answered in time.
    Deadline,
    /// The upstream is draining or has left.
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

/// An input of the state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// A call arrived.
    Offer {
        /// The call.
        call: CallId,
        /// Its rank; 0 is the most urgent.
        rank: usize,
        /// Time after which its answer is useless.
        deadline: Deadline,
        /// Time until which its answer is on time.
        on_time_by: Deadline,
        /// Time within which calls of its class are to be answered.
        target: Duration,
    },
    /// A dispatched call ended.
    Finish {
        /// The call.
        call: CallId,
        /// How it ended.
        outcome: Outcome,
    },
    /// A call is abandoned while it waits or just after it was dispatched. No further action
    /// follows for it.
    Withdraw {
        /// The call.
        call: CallId,
    },
    /// The limits changed.
    Configure(Options),
    /// The upstream takes at most this many calls per second from now on; `None` ends the limit.
    LimitRate(Option<Rate>),
    /// The upstream takes no new calls from now on.
    Drain,
    /// The upstream takes new calls again.
    Open,
    /// Time has passed; calls that have waited too long are refused.
    Tick,
}

/// A decision that the caller of the state machine has to carry out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send the call to the upstream.
    Dispatch(CallId),
    /// Reply that the call was refused and did not run.
    Refuse(CallId, Refusal),
}

/// Load that a call of one class meets at an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClassLoad {
    /// Free slots for the class. Negative values count the waiting calls that go before it.
    pub free: i32,
    /// Current limit on running calls.
    pub limit: usize,
    /// Mean time for which a slot is taken, as far as it matters for the wait of the class.
    pub turn: Duration,
    /// Average service time of the class.
    pub work: Duration,
    /// Whether calls of the class are nested calls.
    pub nested: bool,
}

/// Load of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of running calls.
    pub running: usize,
    /// Number of waiting calls.
    pub waiting: usize,
    /// Current limit on running calls.
    pub limit: usize,
}
