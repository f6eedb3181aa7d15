//! The parsed headers of an attempt.

use std::sync::Arc;
use std::time::Duration;

use goldcresttally_core::{AttemptId, Deadline, Generation, RankName, ServiceName};
use goldcresttally_routing::UpstreamNotice;
use http::HeaderMap;

use crate::errors::{CallError, Reason};
use crate::headers;
use crate::state::NodeState;

/// An attempt that arrived at this node.
#[derive(Debug, Clone)]
pub(super) struct AttemptInfo {
    pub attempt: AttemptId,
    pub service: ServiceName,
    /// Index of the rank in this node's active configuration; 0 is the most urgent.
    pub rank: usize,
    pub deadline: Deadline,
    /// Time until which a response is on time.
    pub on_time_by: Deadline,
    /// Latency target of the route.
    pub target: Duration,
    /// What the upstream has told the entry node about itself.
    pub notice: Option<UpstreamNotice>,
    /// Whether the call has an idempotency key, so that its outcome is retained for longer.
    pub keyed: bool,
}

impl AttemptInfo {
    /// Parses the headers of an attempt.
    ///
    /// Fails with `BadRequest` if a required header is missing, with `StaleGeneration` if the
    /// attempt is addressed to an earlier process at this address, and with `Draining` if this node
    /// is leaving.
    pub fn read(headers: &HeaderMap, state: &Arc<NodeState>) -> Result<Self, CallError> {
        let refuse = |reason| Err(CallError::not_run(reason));
        let Some(attempt) = headers::parse::<AttemptId>(headers, &headers::ATTEMPT) else {
            return refuse(Reason::BadRequest);
        };
        let Some(service) = headers::parse::<ServiceName>(headers, &headers::SERVICE) else {
            return refuse(Reason::BadRequest);
        };
        let Some(left) = headers::time_left(headers, &headers::DEADLINE_MS) else {
            return refuse(Reason::BadRequest);
        };
        let generation = headers::parse::<Generation>(headers, &headers::GENERATION);
        if generation != Some(state.identity.generation) {
            return refuse(Reason::StaleGeneration);
        }
        if state.is_leaving() {
            return refuse(Reason::Draining);
        }
        let name = headers::parse::<RankName>(headers, &headers::RANK);
        let config = state.active_config();
        let ranks = config.snapshot.ranks();
        let known = ranks.iter().position(|r| Some(&r.name) == name.as_ref());
        let target = headers::parse(headers, &headers::TARGET_MS).map(Duration::from_millis);
        let on_time = headers::parse(headers, &headers::ON_TIME_MS).map(Duration::from_millis);
        Ok(Self {
            attempt,
            service,
            // The entry may use a newer configuration. A rank that is unknown here counts as the
            // least urgent.
            rank: known.unwrap_or(ranks.len()),
            deadline: Deadline::after(state.clock.now(), left),
            on_time_by: Deadline::after(state.clock.now(), on_time.unwrap_or(left)),
            target: target.or_else(|| known.map(|i| ranks[i].target)).unwrap_or(left),
            notice: headers::parse(headers, &headers::UPSTREAM_NOTICE),
            keyed: headers.contains_key(headers::KEYED),
        })
    }
}
