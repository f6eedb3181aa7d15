//! The border to the log of calls: what was decided about a call, and by which inputs.

use std::fmt::{self, Debug};
use std::time::Duration;

use goldcresttally_core::{NodeId, ServiceName, Verdict, Version};
use http::StatusCode;

use crate::errors::Reason;
use crate::link::Silence;

/// What is known of a call when something is decided about it.
#[derive(Debug, Clone, Copy)]
pub struct CallInfo<'a> {
    /// The caller's id for it.
    pub id: &'a str,
    /// The service, once it has a route.
    pub service: Option<&'a ServiceName>,
    /// The configuration version that it began with.
    pub version: Version,
    /// Its rank, 0 the most urgent, and the target of its route, once it has a route.
    pub class: Option<(usize, Duration)>,
    /// Time since it came.
    pub age: Duration,
    /// Time left until its deadline.
    pub remaining: Duration,
}

impl fmt::Display for CallInfo<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { id, service, version, class, age, remaining } = self;
        let (age, remaining) = (age.as_millis(), remaining.as_millis());
        write!(f, "call={id} version={version} age_ms={age} left_ms={remaining}")?;
        if let Some((rank, target)) = class {
            write!(f, " rank={rank} target_ms={}", target.as_millis())?;
        }
        service.map_or(Ok(()), |service| write!(f, " service={service}"))
    }
}

/// What was decided about a call.
#[derive(Debug, Clone, Copy)]
pub enum CallEvent {
    /// It ended without an upstream's answer.
    Failed {
        /// The status that its caller got.
        status: StatusCode,
        /// Whether it may have run.
        verdict: Verdict,
        /// Why.
        reason: Reason,
        /// Attempts that were made.
        attempts: usize,
    },
    /// It ended with an upstream's own failure.
    UpstreamFailed {
        /// The status.
        status: StatusCode,
        /// The node that ran the last attempt.
        node: Option<NodeId>,
    },
    /// An attempt failed or is in doubt, and another one is made.
    Retried {
        /// The node of that attempt.
        node: NodeId,
        /// Whether it may have run.
        verdict: Verdict,
        /// Why it failed.
        reason: Reason,
    },
    /// An attempt is in doubt: its node does not answer a probe.
    Suspected {
        /// The node.
        node: NodeId,
        /// What speaks against it.
        silence: Silence,
    },
    /// Beside an upstream: an attempt was refused, or its answer not passed on.
    AttemptEnded {
        /// Whether it may have run.
        verdict: Verdict,
        /// Why.
        reason: Reason,
        /// Calls that ran and waited there.
        load: (usize, usize),
    },
}

impl fmt::Display for CallEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = |node: &Option<NodeId>| node.map_or_else(|| "-".to_owned(), |n| n.to_string());
        match self {
            Self::Failed { status, verdict, reason, attempts } => {
                let status = status.as_u16();
                write!(f, "status={status} verdict={verdict} reason={reason} attempts={attempts}")
            }
            Self::UpstreamFailed { status, node } => {
                write!(f, "status={} node={}", status.as_u16(), at(node))
            }
            Self::Retried { node, verdict, reason } => {
                write!(f, "node={node} verdict={verdict} reason={reason}")
            }
            Self::Suspected { node, silence: Silence { quiet, probe } } => {
                let (quiet, probe) = (quiet.as_millis(), probe.as_millis());
                write!(f, "node={node} quiet_ms={quiet} probe_ms={probe}")
            }
            Self::AttemptEnded { verdict, reason, load: (running, waiting) } => {
                write!(f, "verdict={verdict} reason={reason} running={running} waiting={waiting}")
            }
        }
    }
}

/// Takes what was decided about calls; it must not block.
pub trait CallLog: Send + Sync + Debug {
    /// Notes a decision.
    fn record(&self, call: &CallInfo<'_>, event: CallEvent);
}

/// Notes nothing.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoopCallLog;

impl CallLog for NoopCallLog {
    fn record(&self, _call: &CallInfo<'_>, _event: CallEvent) {}
}
