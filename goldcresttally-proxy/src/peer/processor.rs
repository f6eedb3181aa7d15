//! Refusal of attempts while this node is short of processor time.

use std::time::Duration;

use goldcresttally_admission::CallUrgency;
use goldcresttally_routing::LoadReport;
use http::{HeaderMap, Response};

use super::Peer;
use super::attempt_info::AttemptInfo;
use crate::body::CallBody;
use crate::call_log::{CallEvent, CallInfo};
use crate::errors::{CallError, Reason};
use crate::headers;

impl Peer {
    /// Returns the refusal of an attempt of another node, before its body is read, if this node is
    /// short of processor time. Attempts of this node's own entry were checked there.
    pub(super) fn refuse_if_short(
        &self,
        info: &AttemptInfo,
        map: &HeaderMap,
    ) -> Option<Response<CallBody>> {
        let state = &self.state;
        if !self.overload_control || info.attempt.origin == state.identity.node {
            return None;
        }
        let now = state.clock.now();
        let nested = self.load_of(info).nested;
        let late = info.on_time_by.is_past(now);
        let useful_until = if nested || late { info.deadline } else { info.on_time_by };
        let time_left = useful_until.remaining(now);
        let urgency = CallUrgency { rank: info.rank, nested, late, time_left };
        let retry_after = state.processor.admit(now, &urgency).err()?;
        state.counters.processor_refused.increment();
        let call = CallInfo {
            id: state.conventions.id_of(map),
            service: Some(&info.service),
            account: None,
            version: state.active_config().snapshot.version(),
            class: Some((info.rank, info.target)),
            age: Duration::ZERO,
            remaining: info.deadline.remaining(now),
        };
        state.call_log.record(&call, CallEvent::NoProcessorTime { nested, retry_after });
        let error =
            CallError { retry_after: Some(retry_after), ..CallError::not_run(Reason::Overloaded) };
        let mut response = error.into_response();
        let load = self.load_of(info);
        // The upstream's free slots are of no use while its node cannot serve them.
        let load = LoadReport { free: load.free.min(0), ..load };
        headers::set(response.headers_mut(), headers::LOAD, &load);
        Some(response)
    }
}
