//! The state of one call: its route, deadline, retry decisions and log events.

use std::sync::Arc;
use std::time::Duration;

use goldcresttally_admission::CallUrgency;
use goldcresttally_config::{Account, KeyPolicy, Rank, Route, Service};
use goldcresttally_core::{AttemptId, Deadline, MonoTime, NodeId};
use goldcresttally_routing::{
    AttemptFailure, AttemptLimits, BudgetOptions, CallAttempts, Endpoint, RetryBudget, Room,
    Throttle, class_key, late_key,
};
use http::header::EXPECT;
use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{LengthLimitError, Limited};
use hyper::body::Body;

use super::Entry;
use super::account;
use super::feedback::is_overload;
use super::hedging::Suspicion;
use crate::body::{CallBody, ReplayableBody, boxed, is_over_budget};
use crate::call_log::{CallEvent, CallInfo};
use crate::errors::{CallError, Reason};
use crate::headers;
use crate::state::{ActiveConfig, ServiceLimits};

/// Time past the call's deadline to wait for another node to report its verdict, in milliseconds.
const VERDICT_GRACE_MS: u64 = 200;

/// Maximum random delay before a further attempt, in milliseconds.
const MAX_RETRY_JITTER_MS: u64 = 10;

/// Typical time that a node takes to restart after a planned stop.
const RESTART_TIME: Duration = Duration::from_millis(500);

/// Maximum further attempts after refusals that came before the call reached an upstream. Each one
/// costs a round trip between nodes.
const MAX_TRANSPARENT_RETRIES: u8 = 2;

/// A call that was matched to a route.
pub(super) struct Call {
    pub entry: Arc<Entry>,
    pub route: Arc<Route>,
    /// The service that runs the call, chosen from the route's traffic split.
    pub service: Arc<Service>,
    /// The account of the call; `None` if the document has none, or the route is public.
    pub account: Option<Arc<Account>>,
    /// The rank of the call: that of its account, or else that of its route.
    pub rank: Arc<Rank>,
    /// The configuration in force when the call began, used until it ends.
    config: Arc<ActiveConfig>,
    pub parts: Parts,
    pub host: String,
    pub key: Option<HeaderValue>,
    pub started: MonoTime,
    pub deadline: Deadline,
    /// Time until which a response is on time: the route's target, less the time that the caller is
    /// estimated to have spent on earlier tries.
    pub on_time_by: Deadline,
}

/// One attempt to run a call at an endpoint.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub id: AttemptId,
    pub endpoint: Endpoint,
}

impl Call {
    /// Matches a request to its route and validates all but its body.
    ///
    /// Fails with the verdict `NotRun` if the request is malformed, has no route, lacks the key of
    /// an account or a required idempotency key, or cannot be completed before this node stops.
    pub fn resolve(
        entry: &Arc<Entry>,
        req: Request<CallBody>,
        started: MonoTime,
    ) -> Result<(Self, CallBody), CallError> {
        if !entry.state.is_ready() {
            return Err(CallError::not_run(Reason::NotReady));
        }
        let (mut parts, body) = req.into_parts();
        if parts.headers.get_all(http::header::HOST).iter().count() > 1 {
            return Err(CallError::not_run(Reason::BadRequest));
        }
        let config = entry.state.active_config();
        let host = host_of(&parts);
        let name = host.rsplit_once(':').map_or(host.as_str(), |(name, _)| name);
        let path = parts.uri.path();
        let Some(route) = config.snapshot.route(name, parts.method.as_str(), path) else {
            // A later configuration that has not arrived may have the route.
            let reason = if entry.state.is_fresh() { Reason::NoRoute } else { Reason::NotReady };
            return Err(CallError::not_run(reason));
        };
        let route = Arc::clone(route);
        let account = account::identify(&entry.state, &config, &route, &parts.headers)?;
        let rank = account.as_ref().and_then(|account| account.rank.as_ref());
        let rank = Arc::clone(rank.unwrap_or(&route.rank));
        let conventions = &entry.state.conventions;
        let requested = headers::time_left(&parts.headers, &conventions.deadline_ms);
        let service = Arc::clone(route.split.next(entry.split_offset));
        let spent = requested.and_then(|left| {
            let limits = config.limits.get(&service.name)?;
            Some(limits.caller_timeouts.time_already_spent(route.caller_stats_key(), left))
        });
        let on_time = route.target.saturating_sub(spent.unwrap_or_default());
        let on_time_by = Deadline::after(started, on_time);
        let requested = requested.unwrap_or(route.timeout);
        let deadline = Deadline::after(started, requested.min(route.timeout));
        if !entry.state.can_complete_by(deadline) {
            let retry_after = Some(entry.state.time_until_exit() + RESTART_TIME);
            return Err(CallError { retry_after, ..CallError::not_run(Reason::Draining) });
        }
        let key = parts.headers.get(headers::IDEMPOTENCY_KEY).cloned();
        headers::strip_internal(&mut parts.headers);
        headers::strip_hop_by_hop(&mut parts.headers);
        parts.headers.remove(EXPECT);
        conventions.set_on_entry(&mut parts.headers);
        account::replace_headers(conventions, &config, account.as_deref(), &mut parts.headers);
        let key = match (route.key, key) {
            (KeyPolicy::None, _) | (KeyPolicy::Optional, None) => None,
            (KeyPolicy::Required, None) => return Err(CallError::not_run(Reason::KeyMissing)),
            (KeyPolicy::Optional | KeyPolicy::Required, key) => key,
        };
        let entry = Arc::clone(entry);
        let call = Self {
            entry,
            route,
            service,
            account,
            rank,
            config,
            parts,
            host,
            key,
            started,
            deadline,
            on_time_by,
        };
        Ok((call, body))
    }

    /// Runs the call until it is answered or has failed, and records its attempts in `tries`.
    pub async fn run(
        &self,
        body: CallBody,
        tries: &mut CallAttempts,
    ) -> Result<Response<CallBody>, CallError> {
        self.check_processor()?;
        self.check_limits()?;
        self.check_room()?;
        let limit = self.config.snapshot.limits().max_body_bytes;
        let declared_bytes = body.size_hint().lower();
        if declared_bytes > limit {
            return Err(CallError::not_run(Reason::TooLarge));
        }
        let body = boxed(Limited::new(body, limit as usize));
        let read =
            tokio::time::timeout_at(self.deadline_instant(), ReplayableBody::read(body)).await;
        let body = match read {
            Ok(Ok(body)) => body,
            Ok(Err(e)) if e.is::<LengthLimitError>() => {
                return Err(CallError::not_run(Reason::TooLarge));
            }
            Ok(Err(e)) if is_over_budget(&*e) => {
                return Err(CallError::not_run(Reason::MemoryFull));
            }
            Ok(Err(_)) => return Err(CallError::not_run(Reason::BadRequest)),
            Err(_) => return Err(CallError::not_run(Reason::RequestTimeout)),
        };
        let token = self.take_token().await?;
        let result = match &self.key {
            Some(key) => self.run_keyed(key, &body, tries).await,
            None => self.run_unkeyed(&body, tries).await,
        };
        if let (Some(token), Err(error)) = (token, &result) {
            token.settle(error.verdict);
        }
        result.map_err(|error| self.with_retry_after(error, tries.tried().len()))
    }

    /// Returns the fields of the call for the call log.
    pub fn info(&self) -> CallInfo<'_> {
        let now = self.entry.state.clock.now();
        CallInfo {
            id: self.entry.state.conventions.id_of(&self.parts.headers),
            service: Some(&self.service.name),
            account: self.account.as_ref().map(|account| &account.name),
            version: self.config.snapshot.version(),
            class: Some((self.rank.index, self.route.target)),
            age: now.since(self.started),
            remaining: self.deadline.remaining(now),
        }
    }

    /// Records that the caller received a failure and may retry.
    pub fn record_failed(&self) {
        if let Some(limits) = self.limits() {
            limits.caller_timeouts.on_failure(self.route.caller_stats_key());
        }
    }

    /// Records an event of this call in the call log.
    pub fn log(&self, event: CallEvent) {
        self.entry.state.call_log.record(&self.info(), event);
    }

    async fn run_unkeyed(
        &self,
        body: &ReplayableBody<CallBody>,
        tries: &mut CallAttempts,
    ) -> Result<Response<CallBody>, CallError> {
        let result = self.try_until_answered(tries, body).await;
        // An earlier attempt may have run even if the last one did not: keep the worst verdict.
        result.map_err(|e| CallError { verdict: e.verdict.max(tries.verdict()), ..e })
    }

    /// Returns whether a response is a server error that another upstream may not return: the call
    /// is idempotent and the upstream did not time out.
    pub fn may_retry_response(&self, response: &Response<CallBody>) -> bool {
        let status = response.status();
        self.route.idempotent && status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT
    }

    /// Picks the endpoint for the next attempt; it is none of the nodes `in_flight`.
    ///
    /// Fails with `NoEndpoint` if there is no such endpoint.
    pub fn next_attempt(
        &self,
        tries: &mut CallAttempts,
        in_flight: &[NodeId],
    ) -> Result<Attempt, CallError> {
        let endpoints = self.entry.state.endpoints();
        let all = endpoints.get(&self.service.name);
        let all = all.ok_or_else(|| CallError::not_run(Reason::NoEndpoint))?;
        let now = self.entry.state.clock.now();
        let random = |n| fastrand::usize(..n);
        let request = self.pick_request(now);
        let hinted = tries.take_redirect().and_then(|hint| all.iter().find(|e| e.node == hint));
        if hinted.is_some() && !self.overload_control() {
            self.entry.state.counters.redirects.increment();
        }
        let picked = hinted
            .or_else(|| self.entry.picker.pick(&request, all, tries.tried(), random))
            // Every endpoint was tried. One that refused the call may accept it by now.
            .or_else(|| self.entry.picker.pick(&request, all, in_flight, random));
        let endpoint = picked.ok_or_else(|| CallError::not_run(Reason::NoEndpoint))?.clone();
        tries.begin(endpoint.node);
        Ok(Attempt { id: self.entry.state.next_attempt_id(), endpoint })
    }

    /// Waits for a short random delay if another attempt is allowed; returns `error` otherwise.
    pub async fn wait_for_retry(
        &self,
        tries: &mut CallAttempts,
        node: NodeId,
        error: CallError,
        body: &ReplayableBody<CallBody>,
    ) -> Result<(), CallError> {
        if !self.may_retry(tries, node, &error, body) {
            return Err(error);
        }
        tokio::time::sleep(retry_jitter()).await;
        Ok(())
    }

    /// Records that the attempt at `node` failed; returns whether another one may be made.
    pub fn may_retry(
        &self,
        tries: &mut CallAttempts,
        node: NodeId,
        error: &CallError,
        body: &ReplayableBody<CallBody>,
    ) -> bool {
        let now = self.entry.state.clock.now();
        let mut failure = classify_failure(error, body);
        if self.overload_control() && is_overload(error) {
            let counters = &self.entry.state.counters;
            let Some(node) = self.node_with_room(tries) else {
                counters.not_attempted_again.increment();
                tries.on_end(failure);
                return false;
            };
            counters.attempted_again.increment();
            failure.redirect = Some(node);
        }
        let options = self.entry.state.retry_options();
        let retry =
            tries.on_failure(now, failure, self.attempt_limits(), self.retry_budget(&options));
        if retry {
            self.record_retry(node, error);
        }
        retry
    }

    /// Returns whether a hedged attempt may be made in addition to those `in_flight`, all of which
    /// are suspected.
    pub fn may_hedge(
        &self,
        tries: &mut CallAttempts,
        suspicion: Suspicion,
        in_flight: &[NodeId],
        body: &ReplayableBody<CallBody>,
    ) -> bool {
        let endpoints = self.entry.state.endpoints();
        let all = endpoints.get(&self.service.name).map_or(&[][..], |all| all);
        if all.iter().all(|endpoint| in_flight.contains(&endpoint.node)) {
            return false;
        }
        let now = self.entry.state.clock.now();
        let options = self.entry.state.retry_options();
        let budget = self.retry_budget(&options);
        let retry = tries.on_suspicion(now, body.is_whole(), self.attempt_limits(), budget);
        if retry {
            self.record_retry(suspicion.node, &CallError::may_have_run(suspicion.reason));
        }
        retry
    }

    fn record_retry(&self, node: NodeId, error: &CallError) {
        self.entry.state.counters.retries.increment();
        let CallError { verdict, reason, .. } = *error;
        self.log(CallEvent::Retried { node, verdict, reason });
    }

    fn attempt_limits(&self) -> AttemptLimits {
        AttemptLimits {
            idempotent: self.route.idempotent,
            retries: self.route.retries,
            transparent_retries: MAX_TRANSPARENT_RETRIES,
            deadline: self.deadline,
        }
    }

    fn retry_budget<'a>(
        &'a self,
        options: &'a BudgetOptions,
    ) -> Option<(&'a RetryBudget, &'a BudgetOptions)> {
        let limits = self.limits().filter(|_| self.entry.options.retry_budget);
        limits.map(|limits| (&*limits.retries, options))
    }

    fn check_limits(&self) -> Result<(), CallError> {
        let Some(limits) = self.limits() else { return Ok(()) };
        let now = self.entry.state.clock.now();
        limits.retries.on_call(now, &self.entry.state.retry_options());
        let throttle = limits.throttles.for_class(self.throttle_key());
        let admits = throttle.admit(now, fastrand::f64());
        if admits || !self.entry.options.throttle {
            return Ok(());
        }
        if self.overload_control() && self.with_room(|room| room.has_free_slot()) {
            return Ok(());
        }
        self.entry.state.counters.throttled.increment();
        Err(self.with_retry_after(CallError::not_run(Reason::Overloaded), 0))
    }

    /// Returns whether calls are refused early under an overload.
    fn overload_control(&self) -> bool {
        self.entry.peer.overload_control()
    }

    /// Calls `decide` with what is known of the room for this call.
    fn with_room<T>(&self, decide: impl FnOnce(Room<'_>) -> T) -> T {
        let endpoints = self.entry.state.endpoints();
        let all = endpoints.get(&self.service.name).map_or(&[][..], |all| all);
        let request = self.pick_request(self.entry.state.clock.now());
        decide(Room::new(&self.entry.picker, request, all))
    }

    /// Returns where to attempt the call once more after it was refused for lack of room.
    fn node_with_room(&self, tries: &CallAttempts) -> Option<NodeId> {
        self.with_room(|room| room.another_attempt(tries).map(|endpoint| endpoint.node))
    }

    /// Refuses the call before any work is done for it if this node is short of processor time.
    fn check_processor(&self) -> Result<(), CallError> {
        if !self.overload_control() {
            return Ok(());
        }
        let state = &self.entry.state;
        let now = state.clock.now();
        let nested = self.with_room(|room| room.is_nested());
        let late = self.on_time_by.is_past(now);
        let useful_until = if nested || late { self.deadline } else { self.on_time_by };
        let urgency = CallUrgency {
            rank: self.rank.index,
            nested,
            late,
            time_left: useful_until.remaining(now),
        };
        state.processor.admit(now, &urgency).map_err(|retry_after| {
            state.counters.processor_refused.increment();
            self.log(CallEvent::NoProcessorTime { nested, retry_after });
            let retry_after = Some(retry_after);
            CallError { retry_after, ..CallError::not_run(Reason::Overloaded) }
        })
    }

    /// Refuses the call before anything else is done for it if no endpoint can start it in time.
    fn check_room(&self) -> Result<(), CallError> {
        if !self.overload_control() || self.with_room(|room| room.is_reachable()) {
            return Ok(());
        }
        self.entry.state.counters.refused_at_once.increment();
        Err(self.with_retry_after(CallError::not_run(Reason::Overloaded), 0))
    }

    /// Adds to a refusal for lack of room when the caller may come back, and logs it.
    fn with_retry_after(&self, error: CallError, attempts: usize) -> CallError {
        if !self.overload_control() || !is_overload(&error) || error.retry_after.is_some() {
            return error;
        }
        let retry_after = self.with_room(|room| room.retry_after(fastrand::f64()));
        self.log(CallEvent::NoRoom { attempts, retry_after });
        CallError { retry_after: Some(retry_after), ..error }
    }

    /// Returns the entry limits of this call's service.
    pub fn limits(&self) -> Option<&ServiceLimits> {
        self.config.limits.get(&self.service.name)
    }

    /// Returns the throttle of this call's service and class.
    pub fn throttle(&self) -> Option<&Throttle> {
        Some(self.limits()?.throttles.for_class(self.throttle_key()))
    }

    /// Returns the key of this call's class, made of its rank and target.
    pub fn class_key(&self) -> u32 {
        class_key(self.rank.index, self.route.target.as_millis() as u64)
    }

    /// Returns the key of this call's throttle. Calls that are already late on arrival have a
    /// throttle of their own, because upstreams refuse them more often.
    fn throttle_key(&self) -> u32 {
        match self.on_time_by <= Deadline(self.started) {
            true => late_key(self.class_key()),
            false => self.class_key(),
        }
    }

    /// Returns the time until which this node waits for another node's verdict.
    pub fn verdict_deadline(&self) -> Deadline {
        Deadline::after(self.deadline.0, Duration::from_millis(VERDICT_GRACE_MS))
    }

    /// Returns the call's deadline as an instant, for timers.
    pub fn deadline_instant(&self) -> tokio::time::Instant {
        self.entry.state.clock.instant(self.deadline)
    }
}

/// Classifies the failure of an attempt for the retry policy.
pub(super) fn classify_failure(
    error: &CallError,
    body: &ReplayableBody<CallBody>,
) -> AttemptFailure {
    AttemptFailure {
        verdict: error.verdict,
        reached_upstream: error.reached_upstream(),
        retry_may_succeed: !matches!(error.reason, Reason::BadRequest | Reason::NoEndpoint),
        can_resend: body.can_send(),
        redirect: error.redirect,
    }
}

/// Returns a random delay before the next attempt, so that retries do not arrive together.
pub(super) fn retry_jitter() -> Duration {
    Duration::from_millis(fastrand::u64(0..=MAX_RETRY_JITTER_MS))
}

fn host_of(parts: &Parts) -> String {
    let header = parts.headers.get(http::header::HOST).and_then(|v| v.to_str().ok());
    let authority = parts.uri.authority().map(http::uri::Authority::as_str);
    authority.or(header).unwrap_or("upstream").to_owned()
}
