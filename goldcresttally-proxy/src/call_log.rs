//! Interface to the call log: decisions about calls, with the inputs that they were based on.

use std::fmt::{self, Debug};
use std::time::Duration;

use goldcresttally_admission::TransferLoad;
use goldcresttally_core::{AccountName, NodeId, Rate, ServiceName, Verdict, Version};
use http::StatusCode;

use crate::errors::Reason;
use crate::link::Silence;

/// The properties of a call at the time of an event.
#[derive(Debug, Clone, Copy)]
pub struct CallInfo<'a> {
    /// The caller's id for the call; `-` if it has none.
    pub id: &'a str,
    /// The service, once the call is matched to a route.
    pub service: Option<&'a ServiceName>,
    /// The account of the call, once it is known.
    pub account: Option<&'a AccountName>,
    /// The configuration version that was in force when the call began.
    pub version: Version,
    /// The rank (0 is the most urgent) and latency target, once the call is matched to a route.
    pub class: Option<(usize, Duration)>,
    /// Time since the call arrived.
    pub age: Duration,
    /// Time left until the call's deadline.
    pub remaining: Duration,
}

impl fmt::Display for CallInfo<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { id, service, account, version, class, age, remaining } = self;
        let (age, remaining) = (age.as_millis(), remaining.as_millis());
        write!(f, "call={id} version={version} age_ms={age} left_ms={remaining}")?;
        if let Some((rank, target)) = class {
            write!(f, " rank={rank} target_ms={}", target.as_millis())?;
        }
        if let Some(service) = service {
            write!(f, " service={service}")?;
        }
        account.map_or(Ok(()), |account| write!(f, " account={account}"))
    }
}

/// A decision about a call.
#[derive(Debug, Clone, Copy)]
pub enum CallEvent {
    /// The call ended without an upstream's response.
    Failed {
        /// The status that the caller received.
        status: StatusCode,
        /// Whether the call may have run.
        verdict: Verdict,
        /// Why it failed.
        reason: Reason,
        /// The number of attempts that were made.
        attempts: usize,
    },
    /// The call ended with a server error that an upstream returned.
    UpstreamFailed {
        /// The upstream's status.
        status: StatusCode,
        /// The node that ran the last attempt.
        node: Option<NodeId>,
    },
    /// An attempt failed or is suspected, and another one is made.
    Retried {
        /// The node of the failed or suspected attempt.
        node: NodeId,
        /// Whether it may have run.
        verdict: Verdict,
        /// Why it failed.
        reason: Reason,
    },
    /// An attempt is suspected to have failed: its node does not answer a probe.
    Suspected {
        /// The node.
        node: NodeId,
        /// How long its link has been silent.
        silence: Silence,
    },
    /// At the upstream's node: the upstream has named another rate limit, or ended it.
    UpstreamLimited {
        /// The limit; `None` if there is none any more.
        rate: Option<Rate>,
    },
    /// At the upstream's node: the upstream has said in a response that it is leaving.
    UpstreamLeaving,
    /// At the upstream's node: a body was refused because it could not arrive in time.
    LinkFull {
        /// The length of the body.
        bytes: u64,
        /// The load of the link.
        load: TransferLoad,
    },
    /// At the upstream's node: an attempt was refused, or ended without a response to forward.
    AttemptEnded {
        /// Whether it may have run.
        verdict: Verdict,
        /// Why it failed.
        reason: Reason,
        /// The numbers of running and waiting calls at the node's upstreams.
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
            Self::UpstreamLimited { rate: Some(rate) } => write!(f, "limit={rate}"),
            Self::UpstreamLimited { rate: None } => f.write_str("limit=-"),
            Self::UpstreamLeaving => f.write_str("leaving=true"),
            Self::LinkFull { bytes, load } => {
                let TransferLoad { granted_bytes, waiting_bytes, rate } = load;
                write!(
                    f,
                    "bytes={bytes} granted={granted_bytes} waiting={waiting_bytes} rate={rate}"
                )
            }
            Self::AttemptEnded { verdict, reason, load: (running, waiting) } => {
                write!(f, "verdict={verdict} reason={reason} running={running} waiting={waiting}")
            }
        }
    }
}

/// Receives decisions about calls. Implementations must not block.
pub trait CallLog: Send + Sync + Debug {
    /// Records a decision.
    fn record(&self, call: &CallInfo<'_>, event: CallEvent);
}

/// A call log that discards everything.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoopCallLog;

impl CallLog for NoopCallLog {
    fn record(&self, _call: &CallInfo<'_>, _event: CallEvent) {}
}
