//! Where calls enter: routes a call, picks the node that runs it, settles attempts that broke.

mod attempt;
mod call;
mod keyed;
mod observe;
mod settle;

use std::sync::Arc;

use goldcresttally_core::Verdict;
use goldcresttally_report::Recorder;
use goldcresttally_routing::{Ejection, Picker};
use http::{Request, Response};
use tokio_util::task::TaskTracker;

use crate::body::CallBody;
use crate::claims::ClaimStore;
use crate::errors::CallError;
use crate::link::Links;
use crate::peer::Peer;
use crate::service::Handler;
use crate::state::State;
use call::Call;

/// Choices of the entry that an experiment may change.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Refuse early what the upstreams would refuse.
    pub throttle: bool,
    /// Bound retries to a share of the calls.
    pub retry_budget: bool,
    /// Ask for the outcome of an attempt whose connection broke.
    pub settle: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self { throttle: true, retry_budget: true, settle: true }
    }
}

/// The part of a node at which calls enter.
#[derive(Debug)]
pub struct Entry {
    state: Arc<State>,
    peer: Arc<Peer>,
    links: Arc<Links>,
    claims: Arc<dyn ClaimStore>,
    recorder: Arc<Recorder>,
    tasks: TaskTracker,
    picker: Picker,
    ejection: Ejection,
    options: Options,
}

impl Entry {
    /// Returns the entry of a node.
    pub fn new(
        peer: Arc<Peer>,
        links: Arc<Links>,
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
            picker: Picker::default(),
            ejection: Ejection::default(),
            options,
        }
    }

    async fn answer(self: Arc<Self>, req: Request<CallBody>) -> Response<CallBody> {
        self.state.counters.calls.add();
        let started = self.state.clock.now();
        let (call, body) = match Call::route(&self, req, started) {
            Ok(routed) => routed,
            Err(error) => return self.failed(error),
        };
        let result = call.run(body).await;
        let latency = self.state.clock.now().since(started);
        self.record(&call, &result, latency);
        match result {
            Ok(response) => {
                self.state.counters.answered.add();
                response
            }
            Err(error) => self.failed(error),
        }
    }

    fn failed(&self, error: CallError) -> Response<CallBody> {
        let counters = &self.state.counters;
        match error.verdict {
            Verdict::NotRun => counters.not_run.add(),
            Verdict::MayHaveRun => counters.may_have_run.add(),
            Verdict::Ran => counters.ran_unanswered.add(),
        }
        error.into_response()
    }

    fn record(
        &self,
        call: &Call,
        result: &Result<Response<CallBody>, CallError>,
        latency: std::time::Duration,
    ) {
        let answered = result.as_ref().is_ok_and(|r| !r.status().is_server_error());
        let rank = &call.route.rank;
        let good = answered && latency <= rank.target;
        self.recorder.record(&call.route.service.name, &rank.name, latency, good);
    }
}

impl Handler for Entry {
    async fn handle(self: Arc<Self>, req: Request<CallBody>) -> Response<CallBody> {
        self.answer(req).await
    }
}
