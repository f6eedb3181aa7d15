//! Ingress side of a node: accepts a caller's call, routes it, picks the node that runs it,
//! retries, and settles attempts whose connection broke.

mod account;
mod attempt;
mod call;
mod feedback;
mod hedging;
mod keyed;
mod quota;
mod read_ahead;
mod reserve;
mod settle;

use std::sync::Arc;
use std::time::Duration;

use goldcresttally_core::Verdict;
use goldcresttally_report::Recorder;
use goldcresttally_routing::{CallAttempts, Ejection, Picker};
use http::header::{CONNECTION, RETRY_AFTER};
use http::{Request, Response, StatusCode};
use hyper::body::Body;
use tokio_util::task::TaskTracker;

use crate::body::{BodyWithGuard, CallBody, MAX_BUFFERED_BODY_BYTES, boxed};
use crate::call_log::{CallEvent, CallInfo};
use crate::claims::ClaimStore;
use crate::errors::{CallError, Reason};
use crate::headers;
use crate::link::LinkPool;
use crate::peer::Peer;
use crate::service::Handler;
use crate::state::NodeState;
use attempt::ServedBy;
use call::Call;
pub use quota::AccountLimits;
use read_ahead::ReadAhead;

/// Default `Retry-After` when the configuration or all endpoints are missing, in milliseconds:
/// about one interval between announcements of an upstream.
const UNAVAILABLE_RETRY_MS: u64 = 1000;

/// Default `Retry-After` when the upstreams are overloaded, in milliseconds: on the order of one
/// service time.
const OVERLOAD_RETRY_MS: u64 = 300;

/// Features of the entry that experiments can switch off.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Refuse calls at the entry that upstreams would probably refuse.
    pub throttle: bool,
    /// Limit retries to a share of the calls.
    pub retry_budget: bool,
    /// Ask for the outcome of an attempt whose connection broke.
    pub settle: bool,
    /// Let old load reports give way to the mean of all, so that upstreams are loaded evenly.
    pub even_load: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self { throttle: true, retry_budget: true, settle: true, even_load: false }
    }
}

/// The ingress side of a node: handles calls from callers.
#[derive(Debug)]
pub struct Entry {
    state: Arc<NodeState>,
    peer: Arc<Peer>,
    links: Arc<LinkPool>,
    claims: Arc<dyn ClaimStore>,
    recorder: Arc<Recorder>,
    tasks: TaskTracker,
    picker: Picker,
    ejection: Ejection,
    read_ahead: ReadAhead,
    options: Options,
    /// Random start of the traffic split, so that the entries of a fleet do not follow the same
    /// sequence of services at the same time.
    split_offset: u32,
}

impl Entry {
    /// Returns the entry of a node.
    pub fn new(
        peer: Arc<Peer>,
        links: Arc<LinkPool>,
        claims: Arc<dyn ClaimStore>,
        recorder: Arc<Recorder>,
        tasks: TaskTracker,
        options: Options,
    ) -> Self {
        Self {
            state: Arc::clone(peer.state()),
            peer,
            links,
            claims,
            recorder,
            tasks,
            picker: Picker { even_load: options.even_load, ..Picker::default() },
            ejection: Ejection::default(),
            read_ahead: ReadAhead::default(),
            options,
            split_offset: fastrand::u32(..),
        }
    }

    async fn serve(self: Arc<Self>, req: Request<CallBody>) -> Response<CallBody> {
        self.state.counters.calls.increment();
        let started = self.state.clock.now();
        let id = self.state.conventions.id_of(req.headers()).to_owned();
        let (call, body) = match Call::resolve(&self, req, started) {
            Ok(routed) => routed,
            Err(error) => {
                let call = CallInfo {
                    id: &id,
                    service: None,
                    account: None,
                    version: self.state.active_config().snapshot.version(),
                    class: None,
                    age: Duration::ZERO,
                    remaining: Duration::ZERO,
                };
                return self.failure_response(&call, error, 0);
            }
        };
        let mut tries = CallAttempts::default();
        let result = tokio::select! {
            biased;
            result = call.run(body, &mut tries) => Some(result),
            () = self.state.aborted() => None,
        };
        let result = result.unwrap_or_else(|| match tries.verdict_so_far() {
            Verdict::NotRun => Err(CallError::not_run(Reason::Draining)),
            _ => Err(CallError::may_have_run(Reason::Stopped)),
        });
        let latency = self.state.clock.now().since(started);
        self.record_latency(&call, &result, latency);
        match result {
            Ok(response) => {
                self.state.counters.answered.increment();
                if response.status().is_server_error() {
                    let status = response.status();
                    let node = response.extensions().get::<ServedBy>().map(|at| at.0);
                    call.log(CallEvent::UpstreamFailed { status, node });
                    call.record_failed();
                }
                response
            }
            Err(error) => {
                call.record_failed();
                self.failure_response(&call.info(), error, tries.tried().len())
            }
        }
    }

    fn failure_response(
        &self,
        call: &CallInfo<'_>,
        error: CallError,
        attempts: usize,
    ) -> Response<CallBody> {
        let counters = &self.state.counters;
        match error.verdict {
            Verdict::NotRun => counters.not_run.increment(),
            Verdict::MayHaveRun => counters.may_have_run.increment(),
            Verdict::Ran => counters.ran_unanswered.increment(),
        }
        let status = error.status();
        let (verdict, reason) = (error.verdict, error.reason);
        self.state.call_log.record(call, CallEvent::Failed { status, verdict, reason, attempts });
        let after = error.retry_after.unwrap_or_else(|| default_retry_after(error.reason));
        let mut response = error.into_response();
        response.headers_mut().remove(headers::RETRY_AFTER_MS);
        if reason == Reason::UnknownKey {
            account::set_challenge(&self.state.conventions, response.headers_mut());
        }
        if status == StatusCode::SERVICE_UNAVAILABLE || reason == Reason::OverLimit {
            let text = self.state.conventions.retry_after(after);
            headers::set(response.headers_mut(), RETRY_AFTER, &text);
        }
        response
    }

    fn record_latency(
        &self,
        call: &Call,
        result: &Result<Response<CallBody>, CallError>,
        latency: Duration,
    ) {
        // A refusal for the account's limit says nothing about the service.
        if result.as_ref().is_err_and(|error| error.reason == Reason::OverLimit) {
            return;
        }
        let answered = result.as_ref().is_ok_and(|r| !r.status().is_server_error());
        let good = answered && latency <= call.route.target;
        self.recorder.record(&call.service.name, &call.rank.name, latency, good);
    }
}

impl Handler for Entry {
    async fn handle(self: Arc<Self>, req: Request<CallBody>) -> Response<CallBody> {
        let state = Arc::clone(&self.state);
        let http1 = req.version() < http::Version::HTTP_2;
        let in_flight = state.begin_call();
        let mut response = self.serve(req).await;
        // A buffered body is sent together with the head, so only a streamed one has to count as in
        // flight until its end.
        if response.body().size_hint().exact().is_none_or(|n| n > MAX_BUFFERED_BODY_BYTES as u64) {
            response = response.map(|body| boxed(BodyWithGuard::new(body, in_flight)));
        }
        // Makes the caller reconnect, so that its next call goes to a node that is not leaving.
        if state.is_leaving() && http1 {
            headers::set(response.headers_mut(), CONNECTION, "close");
        }
        response
    }
}

/// Returns the delay after which a refused call may be retried, randomized so that callers do not
/// all return at once.
fn default_retry_after(reason: Reason) -> Duration {
    let typical_ms = match reason {
        Reason::NotReady | Reason::NoEndpoint => UNAVAILABLE_RETRY_MS,
        _ => OVERLOAD_RETRY_MS,
    };
    Duration::from_millis(typical_ms / 2 + fastrand::u64(0..=typical_ms))
}
