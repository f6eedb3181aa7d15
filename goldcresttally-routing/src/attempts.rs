//! The attempts of one call: decides whether a failed call is retried and whether it may have run.

use goldcresttally_core::{Deadline, MonoTime, NodeId, Verdict};

use crate::budget::{BudgetOptions, RetryBudget};

/// Maximum number of redirects that one call follows, like `MAX_REDIRECTS` in RFC 5685, section 7.
const MAX_REDIRECTS: usize = 2;

/// Limits on the attempts of one call.
#[derive(Debug, Clone, Copy)]
pub struct AttemptLimits {
    /// Whether running the call twice has the same effect as once.
    pub idempotent: bool,
    /// Maximum number of attempts after the first.
    pub retries: u8,
    /// Maximum number of additional attempts after refusals that did not reach an upstream.
    pub transparent_retries: u8,
    /// Time after which an answer is useless.
    pub deadline: Deadline,
}

/// How one attempt failed.
#[derive(Debug, Clone, Copy)]
pub struct AttemptFailure {
    /// Whether the attempt may have run.
    pub verdict: Verdict,
    /// Whether the attempt reached an upstream, whatever the upstream did with it.
    pub reached_upstream: bool,
    /// Whether another attempt could have another outcome.
    pub retry_may_succeed: bool,
    /// Whether the request, including its body, can be sent again from its start.
    pub can_resend: bool,
    /// A less loaded node that the refusal suggested.
    pub redirect: Option<NodeId>,
}

/// The attempts of one call.
#[derive(Debug, Default)]
pub struct CallAttempts {
    tried: Vec<NodeId>,
    /// Attempts that have not ended.
    in_flight: usize,
    /// Attempts that have ended and that reached an upstream.
    ended_at_upstream: usize,
    /// Redirects accepted so far.
    redirects: usize,
    next_redirect: Option<NodeId>,
    verdict: Verdict,
}

impl CallAttempts {
    /// Records the start of an attempt at `node`.
    pub fn begin(&mut self, node: NodeId) {
        self.tried.push(node);
        self.in_flight += 1;
    }

    /// Returns the nodes that were tried.
    pub fn tried(&self) -> &[NodeId] {
        &self.tried
    }

    /// Takes the node that the last refusal suggested, if the redirect may be followed.
    pub fn take_redirect(&mut self) -> Option<NodeId> {
        self.next_redirect.take()
    }

    /// Returns the combined verdict on all attempts that have failed.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// Returns the combined verdict on all attempts, including those in flight, which may have run.
    pub fn verdict_so_far(&self) -> Verdict {
        match self.in_flight {
            0 => self.verdict,
            _ => self.verdict.max(Verdict::MayHaveRun),
        }
    }

    /// Records the failure of an attempt without deciding on a retry, because another attempt is
    /// due or in flight and not suspected.
    pub fn on_end(&mut self, failure: AttemptFailure) {
        self.verdict = self.verdict.max(failure.verdict);
        self.ended_at_upstream += usize::from(failure.reached_upstream);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records the failure of an attempt; returns whether the call is to be retried.
    ///
    /// The budget, if any, is charged only when everything else allows the retry.
    pub fn on_failure(
        &mut self,
        now: MonoTime,
        failure: AttemptFailure,
        limits: AttemptLimits,
        budget: Option<(&RetryBudget, &BudgetOptions)>,
    ) -> bool {
        self.on_end(failure);
        let safe = failure.verdict.may_retry(limits.idempotent) && failure.can_resend;
        if !safe || !failure.retry_may_succeed || !self.allows_another(now, limits, budget) {
            return false;
        }
        self.accept_redirect(failure.redirect);
        true
    }

    /// Returns whether another attempt is to be made in parallel, because all those in flight are
    /// suspected of having gone to an unreachable node. They may still run or be answered.
    pub fn on_suspicion(
        &mut self,
        now: MonoTime,
        can_resend: bool,
        limits: AttemptLimits,
        budget: Option<(&RetryBudget, &BudgetOptions)>,
    ) -> bool {
        let safe = Verdict::MayHaveRun.may_retry(limits.idempotent) && can_resend;
        safe && self.allows_another(now, limits, budget)
    }

    /// Returns whether the limits and the budget allow another attempt, and charges the budget.
    fn allows_another(
        &self,
        now: MonoTime,
        limits: AttemptLimits,
        budget: Option<(&RetryBudget, &BudgetOptions)>,
    ) -> bool {
        let at_upstream = self.ended_at_upstream + self.in_flight;
        let transparent =
            self.tried.len().saturating_sub(at_upstream).min(limits.transparent_retries.into());
        let has_retries_left = self.tried.len() - transparent <= usize::from(limits.retries);
        // The first attempt that reaches an upstream is not a retry for it.
        let is_retry = at_upstream > 0;
        has_retries_left
            && !limits.deadline.is_past(now)
            && !(is_retry && budget.is_some_and(|(b, options)| !b.try_take(now, options)))
    }

    /// Stores a redirect unless its node was tried already or the limit on redirects is exceeded.
    fn accept_redirect(&mut self, redirect: Option<NodeId>) {
        self.next_redirect = redirect.filter(|node| !self.tried.contains(node));
        if self.next_redirect.is_some() {
            self.redirects += 1;
        }
        if self.redirects > MAX_REDIRECTS {
            self.next_redirect = None;
        }
    }
}
