//! Enforces the limits of accounts: a call of an account with a limit takes a token before its
//! first attempt.

use std::sync::Arc;
use std::time::Duration;

use goldcresttally_core::{AccountName, Deadline, Verdict};
use goldcresttally_quota::{Decision, Quotas};
use tokio::sync::Notify;

use super::call::Call;
use crate::errors::{CallError, Reason};
use crate::state::NodeState;

/// Maximum time that a call waits for a token, in milliseconds.
const MAX_TOKEN_WAIT_MS: u64 = 150;

/// The limits of accounts, shared by the threads that serve calls and the control thread.
#[derive(Debug, Default)]
pub struct AccountLimits {
    /// The tokens held by this node.
    pub quotas: Arc<Quotas>,
    /// Wakes the control thread when a call waits for a token.
    pub wanted: Notify,
    /// Wakes the calls that wait, to be decided again.
    pub granted: Notify,
}

impl AccountLimits {
    /// Returns limits whose tokens are held in `quotas`.
    pub fn new(quotas: Arc<Quotas>) -> Self {
        Self { quotas, ..Self::default() }
    }
}

/// The token of a call.
#[derive(Debug)]
pub(super) struct Token<'a> {
    state: &'a NodeState,
    limits: &'a AccountLimits,
    account: &'a AccountName,
}

impl Token<'_> {
    /// Returns the token of a failed call that reached no upstream.
    pub fn settle(self, verdict: Verdict) {
        if verdict == Verdict::NotRun {
            self.limits.quotas.put_back(self.state.clock.now(), self.account);
        }
    }
}

/// A call that waits for a token; dropping it ends the wait.
struct Wait<'a> {
    state: &'a NodeState,
    limits: &'a AccountLimits,
    account: &'a AccountName,
    is_over: bool,
}

impl Wait<'_> {
    /// Decides again; the wait is over unless the decision is [`Decision::Wait`].
    fn decide(&mut self) -> Decision {
        let now = self.state.clock.now();
        let decision = self.limits.quotas.take_waiting(now, self.account);
        self.is_over = decision != Decision::Wait;
        decision
    }

    /// Ends the wait; returns the time after which to try again.
    fn end(&mut self) -> Duration {
        self.is_over = true;
        self.limits.quotas.end_wait(self.state.clock.now(), self.account)
    }
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        if !self.is_over {
            self.end();
        }
    }
}

impl Call {
    /// Takes a token for this call; `None` if its account has no limit.
    ///
    /// Fails with `OverLimit` if there is no token, and none can be had in a short time.
    pub(super) async fn take_token(&self) -> Result<Option<Token<'_>>, CallError> {
        let state = &*self.entry.state;
        let Some(limits) = state.account_limits() else { return Ok(None) };
        let account = self.account.as_ref().filter(|account| account.rate.is_some());
        let Some(account) = account.map(|account| &account.name) else { return Ok(None) };
        let refused = |after| {
            state.counters.over_limit.increment();
            let error = CallError::not_run(Reason::OverLimit);
            Err(CallError { retry_after: Some(after), ..error })
        };
        let token = Token { state, limits, account };
        match limits.quotas.take(state.clock.now(), account) {
            Decision::Taken => return Ok(Some(token)),
            Decision::Refused(after) => return refused(after),
            Decision::Wait => {}
        }
        let mut wait = Wait { state, limits, account, is_over: false };
        state.counters.token_waits.increment();
        limits.wanted.notify_one();
        let max_wait = Duration::from_millis(MAX_TOKEN_WAIT_MS);
        let until = Deadline::after(state.clock.now(), max_wait).min(self.deadline);
        let timer = tokio::time::sleep_until(state.clock.instant(until));
        let mut timer = std::pin::pin!(timer);
        loop {
            let mut granted = std::pin::pin!(limits.granted.notified());
            // Registered before the decision, so that no grant after it is missed.
            granted.as_mut().enable();
            match wait.decide() {
                Decision::Taken => return Ok(Some(token)),
                Decision::Refused(after) => return refused(after),
                Decision::Wait => {}
            }
            tokio::select! {
                () = granted => {}
                () = &mut timer => return refused(wait.end()),
            }
        }
    }
}
