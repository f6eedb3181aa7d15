//! What an attempt's headers say of it.

use std::sync::Arc;
use std::time::Duration;

use goldcresttally_core::{AttemptId, Deadline, Generation, RankName, ServiceName};
use http::HeaderMap;

use crate::errors::{CallError, Reason};
use crate::headers;
use crate::state::NodeState;

/// An attempt that came.
#[derive(Debug, Clone)]
pub(super) struct Ticket {
    pub attempt: AttemptId,
    pub service: ServiceName,
    /// Position of the rank in the snapshot in force here; 0 is the most urgent.
    pub rank: usize,
    pub deadline: Deadline,
    /// Until when the answer is on time.
    pub on_time_by: Deadline,
    /// Time within which answers of the route are on time.
    pub target: Duration,
    pub keyed: bool,
}

impl Ticket {
    /// Reads the headers; an attempt meant for an earlier process at this address is refused.
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
        let serving = state.active_config();
        let ranks = serving.snapshot.ranks();
        let known = ranks.iter().position(|r| Some(&r.name) == name.as_ref());
        let target = headers::parse(headers, &headers::TARGET_MS).map(Duration::from_millis);
        let on_time = headers::parse(headers, &headers::ON_TIME_MS).map(Duration::from_millis);
        Ok(Self {
            attempt,
            service,
            // The entry may be a version ahead: a rank unknown here counts as the least urgent.
            rank: known.unwrap_or(ranks.len()),
            deadline: Deadline::after(state.clock.now(), left),
            on_time_by: Deadline::after(state.clock.now(), on_time.unwrap_or(left)),
            target: target.or_else(|| known.map(|i| ranks[i].target)).unwrap_or(left),
            keyed: headers.contains_key(headers::KEYED),
        })
    }
}
