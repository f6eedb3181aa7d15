//! Decides whether a call that failed is tried again, and what its caller is told at last.

use goldcresttally_core::{Deadline, MonoTime, NodeId, Verdict};

use crate::budget::{BudgetOptions, RetryBudget};

/// Most redirect hints that one call follows (RFC 5685, section 7: `MAX_REDIRECTS`).
const REDIRECT_LIMIT: usize = 2;

/// What bounds the attempts of one call.
#[derive(Debug, Clone, Copy)]
pub struct AttemptLimits {
    /// Whether running the call twice has the same effect as once.
    pub idempotent: bool,
    /// Most attempts after the first.
    pub retries: u8,
    /// Further attempts that may follow refusals which no upstream has seen.
    pub transparent_retries: u8,
    /// When an answer is of no use any more.
    pub deadline: Deadline,
}

/// How one attempt failed.
#[derive(Debug, Clone, Copy)]
pub struct AttemptFailure {
    /// Whether the attempt may have run.
    pub verdict: Verdict,
    /// Whether an upstream has seen the attempt, whatever it made of it.
    pub reached_upstream: bool,
    /// Whether another attempt could end otherwise.
    pub retry_may_succeed: bool,
    /// Whether the request can be sent from its start once more.
    pub can_resend: bool,
    /// A less loaded node that the refusal named.
    pub redirect: Option<NodeId>,
}

/// The attempts of one call.
#[derive(Debug, Default)]
pub struct CallAttempts {
    tried: Vec<NodeId>,
    /// Attempts that have not ended.
    in_flight: usize,
    /// Attempts that have ended and that an upstream has seen.
    seen: usize,
    redirects: usize,
    hint: Option<NodeId>,
    verdict: Verdict,
}

impl CallAttempts {
    /// Notes that an attempt is made at `node`.
    pub fn begin(&mut self, node: NodeId) {
        self.tried.push(node);
        self.in_flight += 1;
    }

    /// Returns the nodes that were tried.
    pub fn tried(&self) -> &[NodeId] {
        &self.tried
    }

    /// Takes the node that the last refusal named, if it may be followed.
    pub fn take_redirect(&mut self) -> Option<NodeId> {
        self.hint.take()
    }

    /// Returns the verdict on all attempts that have failed.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// Returns the verdict on all attempts, as one in flight may have run.
    pub fn verdict_so_far(&self) -> Verdict {
        match self.in_flight {
            0 => self.verdict,
            _ => self.verdict.max(Verdict::MayHaveRun),
        }
    }

    /// Notes the failure of an attempt while another one is due or in flight without a doubt.
    pub fn on_end(&mut self, failure: AttemptFailure) {
        self.verdict = self.verdict.max(failure.verdict);
        self.seen += usize::from(failure.reached_upstream);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Notes a failure; returns whether another attempt is to be made.
    ///
    /// The budget, where there is one, is only charged when everything else allows the attempt.
    pub fn on_failure(
        &mut self,
        now: MonoTime,
        failure: AttemptFailure,
        limits: AttemptLimits,
        budget: Option<(&RetryBudget, &BudgetOptions)>,
    ) -> bool {
        self.on_end(failure);
        let safe = failure.verdict.may_retry(limits.idempotent) && failure.can_resend;
        if !safe || !failure.retry_may_succeed || !self.takes_another(now, limits, budget) {
            return false;
        }
        self.note_hint(failure.redirect);
        true
    }

    /// Decides whether another attempt is made beside those in flight, all of which are in doubt;
    /// they may still run or be answered.
    pub fn on_suspicion(
        &mut self,
        now: MonoTime,
        can_resend: bool,
        limits: AttemptLimits,
        budget: Option<(&RetryBudget, &BudgetOptions)>,
    ) -> bool {
        let safe = Verdict::MayHaveRun.may_retry(limits.idempotent) && can_resend;
        safe && self.takes_another(now, limits, budget)
    }

    /// Tells whether the limits allow another attempt, and charges it.
    fn takes_another(
        &self,
        now: MonoTime,
        limits: AttemptLimits,
        budget: Option<(&RetryBudget, &BudgetOptions)>,
    ) -> bool {
        let may_be_seen = self.seen + self.in_flight;
        let unseen =
            self.tried.len().saturating_sub(may_be_seen).min(limits.transparent_retries.into());
        let left = self.tried.len() - unseen <= usize::from(limits.retries);
        // The first attempt that an upstream sees is no retry to it.
        let repeats = may_be_seen > 0;
        left && !limits.deadline.is_past(now)
            && !(repeats && budget.is_some_and(|(b, options)| !b.try_take(now, options)))
    }

    /// Keeps a hint unless it leads back or one too many was followed.
    fn note_hint(&mut self, hint: Option<NodeId>) {
        self.hint = hint.filter(|node| !self.tried.contains(node));
        if self.hint.is_some() {
            self.redirects += 1;
        }
        if self.redirects > REDIRECT_LIMIT {
            self.hint = None;
        }
    }
}
