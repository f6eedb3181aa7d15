//! One call: its route and deadline, and the attempts to run it.

use std::sync::Arc;
use std::time::Duration;

use goldcresttally_config::{KeyPolicy, Route, Service};
use goldcresttally_core::{AttemptId, Deadline, MonoTime, NodeId};
use goldcresttally_routing::{
    AttemptFailure, AttemptLimits, BudgetOptions, CallAttempts, Endpoint, RetryBudget, Throttle,
    class_key, late_key,
};
use http::header::EXPECT;
use http::request::Parts;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{LengthLimitError, Limited};
use hyper::body::Body;

use super::Entry;
use super::race::Doubt;
use crate::body::{CallBody, ReplayableBody, boxed};
use crate::call_log::{CallEvent, CallInfo};
use crate::errors::{CallError, Reason};
use crate::headers;
use crate::state::{ActiveConfig, ServiceLimits};

/// Time after the deadline for which another node's verdict is waited for, in milliseconds.
const VERDICT_GRACE_MS: u64 = 200;

/// Longest random wait before another attempt, in milliseconds.
const RETRY_JITTER_MS: u64 = 10;

/// Time that a node takes to start again after a planned stop.
const RESTART_TIME: Duration = Duration::from_millis(500);

/// Further attempts after refusals which no upstream has seen; each costs a round trip between
/// nodes.
const UNSEEN_TRIES: u8 = 2;

/// A call that has a route.
pub(super) struct Call {
    pub entry: Arc<Entry>,
    pub route: Arc<Route>,
    /// The service that runs the call, one of the route's.
    pub service: Arc<Service>,
    /// The configuration that the call began with and keeps.
    serving: Arc<ActiveConfig>,
    pub parts: Parts,
    pub host: String,
    pub key: Option<HeaderValue>,
    pub started: MonoTime,
    pub deadline: Deadline,
    /// Until when the answer is on time, by what the caller seems to have waited before.
    pub on_time_by: Deadline,
}

/// One attempt to run a call.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub id: AttemptId,
    pub endpoint: Endpoint,
}

impl Call {
    /// Finds the route of a request and checks what can be checked without its body.
    pub fn route(
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
        let serving = entry.state.active_config();
        let host = host_of(&parts);
        let name = host.rsplit_once(':').map_or(host.as_str(), |(name, _)| name);
        let path = parts.uri.path();
        let Some(route) = serving.snapshot.route(name, parts.method.as_str(), path) else {
            return Err(CallError::not_run(Reason::NoRoute));
        };
        let route = Arc::clone(route);
        let conventions = &entry.state.conventions;
        let asked = headers::time_left(&parts.headers, &conventions.deadline_ms);
        let service = Arc::clone(route.split.next(entry.split_offset));
        let spent = asked.and_then(|left| {
            let limits = serving.limits.get(&service.name)?;
            Some(limits.patience.time_already_spent(route.caller_stats_key(), left))
        });
        let on_time = route.target.saturating_sub(spent.unwrap_or_default());
        let on_time_by = Deadline::after(started, on_time);
        let asked = asked.unwrap_or(route.timeout);
        let deadline = Deadline::after(started, asked.min(route.timeout));
        if !entry.state.can_complete_by(deadline) {
            let retry_after = Some(entry.state.time_until_exit() + RESTART_TIME);
            return Err(CallError { retry_after, ..CallError::not_run(Reason::Draining) });
        }
        let key = parts.headers.get(headers::IDEMPOTENCY_KEY).cloned();
        headers::strip_internal(&mut parts.headers);
        headers::strip_hop_by_hop(&mut parts.headers);
        parts.headers.remove(EXPECT);
        conventions.set_on_entry(&mut parts.headers);
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
            serving,
            parts,
            host,
            key,
            started,
            deadline,
            on_time_by,
        };
        Ok((call, body))
    }

    /// Runs the call to its end; `tries` tells what was tried.
    pub async fn run(
        &self,
        body: CallBody,
        tries: &mut CallAttempts,
    ) -> Result<Response<CallBody>, CallError> {
        self.check_limits()?;
        let limit = self.serving.snapshot.limits().max_body_bytes;
        let announced = body.size_hint().lower();
        if announced > limit {
            return Err(CallError::not_run(Reason::TooLarge));
        }
        let body = boxed(Limited::new(body, limit as usize));
        let read = tokio::time::timeout_at(self.timer(), ReplayableBody::read(body)).await;
        let body = match read {
            Ok(Ok(body)) => body,
            Ok(Err(e)) if e.is::<LengthLimitError>() => {
                return Err(CallError::not_run(Reason::TooLarge));
            }
            Ok(Err(_)) => return Err(CallError::not_run(Reason::BadRequest)),
            Err(_) => return Err(CallError::not_run(Reason::RequestTimeout)),
        };
        match &self.key {
            Some(key) => self.run_keyed(key, &body, tries).await,
            None => self.run_unkeyed(&body, tries).await,
        }
    }

    /// Says what is known of the call.
    pub fn info(&self) -> CallInfo<'_> {
        let now = self.entry.state.clock.now();
        CallInfo {
            id: self.entry.state.conventions.id_of(&self.parts.headers),
            service: Some(&self.service.name),
            version: self.serving.snapshot.version(),
            class: Some((self.route.rank.index, self.route.target)),
            age: now.since(self.started),
            remaining: self.deadline.remaining(now),
        }
    }

    /// Notes that the caller is told of a failure, and may come back.
    pub fn note_failed(&self) {
        if let Some(limits) = self.limits() {
            limits.patience.on_failure(self.route.caller_stats_key());
        }
    }

    /// Notes a decision about the call.
    pub fn note(&self, event: CallEvent) {
        self.entry.state.call_log.record(&self.info(), event);
    }

    async fn run_unkeyed(
        &self,
        body: &ReplayableBody<CallBody>,
        tries: &mut CallAttempts,
    ) -> Result<Response<CallBody>, CallError> {
        let result = self.try_until_answered(tries, body).await;
        // A later attempt that did not run says nothing about an earlier one.
        result.map_err(|e| CallError { verdict: e.verdict.max(tries.verdict()), ..e })
    }

    /// Tells whether another upstream may do better: this one failed with time left.
    pub fn has_failed(&self, response: &Response<CallBody>) -> bool {
        let status = response.status();
        self.route.idempotent && status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT
    }

    /// Picks the endpoint of the next attempt, none of those `in_flight`.
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
        let asked = self.asked(now);
        let hinted = tries.take_redirect().and_then(|hint| all.iter().find(|e| e.node == hint));
        if hinted.is_some() {
            self.entry.state.counters.redirects.increment();
        }
        let picked = hinted
            .or_else(|| self.entry.picker.pick(&asked, all, tries.tried(), random))
            // All were tried: a refusal by one of them may be over by now.
            .or_else(|| self.entry.picker.pick(&asked, all, in_flight, random));
        let endpoint = picked.ok_or_else(|| CallError::not_run(Reason::NoEndpoint))?.clone();
        tries.begin(endpoint.node);
        Ok(Attempt { id: self.entry.state.next_attempt_id(), endpoint })
    }

    /// Returns the error for the caller unless another attempt may be made, and waits for it.
    pub async fn check_retry(
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

    /// Notes that the attempt at `node` failed; returns whether another one may be made.
    pub fn may_retry(
        &self,
        tries: &mut CallAttempts,
        node: NodeId,
        error: &CallError,
        body: &ReplayableBody<CallBody>,
    ) -> bool {
        let now = self.entry.state.clock.now();
        let failure = failure_of(error, body);
        let options = self.entry.state.retry_options();
        let again = tries.on_failure(now, failure, self.try_limits(), self.retry_budget(&options));
        if again {
            self.note_retry(node, error);
        }
        again
    }

    /// Returns whether another attempt may be made beside those `in_flight`, all of which are in
    /// doubt.
    pub fn may_hedge(
        &self,
        tries: &mut CallAttempts,
        doubt: Doubt,
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
        let again = tries.on_suspicion(now, body.is_whole(), self.try_limits(), budget);
        if again {
            self.note_retry(doubt.node, &CallError::may_have_run(doubt.reason));
        }
        again
    }

    fn note_retry(&self, node: NodeId, error: &CallError) {
        self.entry.state.counters.retries.increment();
        let CallError { verdict, reason, .. } = *error;
        self.note(CallEvent::Retried { node, verdict, reason });
    }

    fn try_limits(&self) -> AttemptLimits {
        AttemptLimits {
            idempotent: self.route.idempotent,
            retries: self.route.retries,
            transparent_retries: UNSEEN_TRIES,
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
        self.entry.state.counters.throttled.increment();
        Err(CallError::not_run(Reason::Overloaded))
    }

    /// Returns the limits of this call's service.
    pub fn limits(&self) -> Option<&ServiceLimits> {
        self.serving.limits.get(&self.service.name)
    }

    /// Returns the throttle of this call's service and class.
    pub fn throttle(&self) -> Option<&Throttle> {
        Some(self.limits()?.throttles.for_class(self.throttle_key()))
    }

    /// Returns the key of this call's class.
    pub fn class_key(&self) -> u32 {
        key_of(&self.route)
    }

    /// Calls that came late have a throttle of their own: they are refused more often.
    fn throttle_key(&self) -> u32 {
        match self.on_time_by <= Deadline(self.started) {
            true => late_key(self.class_key()),
            false => self.class_key(),
        }
    }

    /// Returns until when the verdict of another node is waited for.
    pub fn verdict_by(&self) -> Deadline {
        Deadline::after(self.deadline.0, Duration::from_millis(VERDICT_GRACE_MS))
    }

    /// Returns the instant of the call's deadline.
    pub fn timer(&self) -> tokio::time::Instant {
        self.entry.state.clock.instant(self.deadline)
    }
}

/// Says what an attempt's failure means for further ones.
pub(super) fn failure_of(error: &CallError, body: &ReplayableBody<CallBody>) -> AttemptFailure {
    AttemptFailure {
        verdict: error.verdict,
        reached_upstream: error.reached_upstream(),
        retry_may_succeed: !matches!(error.reason, Reason::BadRequest | Reason::NoEndpoint),
        can_resend: body.can_send(),
        redirect: error.redirect,
    }
}

/// Returns the wait before another attempt.
pub(super) fn retry_jitter() -> Duration {
    Duration::from_millis(fastrand::u64(0..=RETRY_JITTER_MS))
}

fn key_of(route: &Route) -> u32 {
    class_key(route.rank.index, route.target.as_millis() as u64)
}

fn host_of(parts: &Parts) -> String {
    let header = parts.headers.get(http::header::HOST).and_then(|v| v.to_str().ok());
    let authority = parts.uri.authority().map(http::uri::Authority::as_str);
    authority.or(header).unwrap_or("upstream").to_owned()
}
