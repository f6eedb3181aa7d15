//! Handles messages that ask for room on this node's link before a large body is sent.

use std::time::Duration;

use goldcresttally_admission::TransferRequest;
use http::{HeaderMap, Response};

use super::Peer;
use super::attempt_info::AttemptInfo;
use crate::body::{CallBody, full};
use crate::call_log::{CallEvent, CallInfo};
use crate::errors::{CallError, Reason};
use crate::headers;

impl Peer {
    /// Waits until the body of an attempt may be sent here, or refuses the attempt. Nothing of it
    /// has run then.
    pub(super) async fn reserve(&self, map: &HeaderMap) -> Response<CallBody> {
        let info = match AttemptInfo::read(map, &self.state) {
            Ok(info) => info,
            Err(error) => return error.into_response(),
        };
        let Some(bytes) = headers::parse::<u64>(map, &headers::BODY_BYTES) else {
            return CallError::not_run(Reason::BadRequest).into_response();
        };
        let work = Duration::from_millis(self.load_of(&info).work_ms.into());
        let AttemptInfo { rank, on_time_by, deadline, .. } = info;
        let request = TransferRequest { bytes, rank, on_time_by, deadline, work };
        let limit = self.state.clock.instant(deadline);
        let decision =
            tokio::time::timeout_at(limit, self.transfers.reserve(info.attempt, request));
        let error = match decision.await {
            Ok(Ok(())) => None,
            Ok(Err(after)) => {
                self.log_link_full(map, &info, bytes);
                // Spread, so that those refused together do not return together.
                let retry_after = Some(after.mul_f64(1.0 + fastrand::f64()));
                Some(CallError { retry_after, ..CallError::not_run(Reason::LinkFull) })
            }
            Err(_) => Some(CallError::not_run(Reason::Deadline)),
        };
        let mut response = error.map_or_else(|| Response::new(full("")), CallError::into_response);
        headers::set(response.headers_mut(), headers::LOAD, &self.load_of(&info));
        response
    }

    fn log_link_full(&self, map: &HeaderMap, info: &AttemptInfo, bytes: u64) {
        let state = &self.state;
        let call = CallInfo {
            id: state.conventions.id_of(map),
            service: Some(&info.service),
            account: None,
            version: state.active_config().snapshot.version(),
            class: Some((info.rank, info.target)),
            age: Duration::ZERO,
            remaining: info.deadline.remaining(state.clock.now()),
        };
        let load = self.transfers.load();
        state.counters.link_full.increment();
        state.call_log.record(&call, CallEvent::LinkFull { bytes, load });
    }
}
