//! Guards the rules for retries: which failures are retried, when a suspected attempt is repeated
//! in parallel, and which verdict the caller gets.

use std::time::Duration;

use goldcresttally_core::{Deadline, MonoTime, NodeId, Verdict};
use goldcresttally_routing::{
    AttemptFailure, AttemptLimits, BudgetOptions, CallAttempts, RetryBudget,
};

const NOW: MonoTime = MonoTime::from_millis(1000);

fn node(n: u16) -> NodeId {
    NodeId(([10, 0, 0, 1], n).into())
}

fn limits(idempotent: bool) -> AttemptLimits {
    let deadline = Deadline::after(NOW, Duration::from_secs(1));
    AttemptLimits { idempotent, retries: 2, transparent_retries: 0, deadline }
}

fn failure(verdict: Verdict) -> AttemptFailure {
    AttemptFailure {
        verdict,
        reached_upstream: true,
        retry_may_succeed: true,
        can_resend: true,
        redirect: None,
    }
}

#[test]
fn call_that_may_have_run_is_not_repeated() {
    let mut attempts = CallAttempts::default();
    attempts.begin(node(1));
    assert!(!attempts.on_failure(NOW, failure(Verdict::MayHaveRun), limits(false), None));
    assert!(attempts.on_failure(NOW, failure(Verdict::NotRun), limits(false), None));
    assert!(attempts.on_failure(NOW, failure(Verdict::MayHaveRun), limits(true), None));
}

#[test]
fn may_have_run_outlasts_later_refusals() {
    let mut attempts = CallAttempts::default();
    for (n, verdict) in [Verdict::MayHaveRun, Verdict::NotRun].into_iter().enumerate() {
        attempts.begin(node(n as u16));
        attempts.on_failure(NOW, failure(verdict), limits(true), None);
    }
    assert_eq!(attempts.verdict(), Verdict::MayHaveRun);
}

#[test]
fn attempts_are_bounded() {
    let mut attempts = CallAttempts::default();
    let mut made = 0;
    loop {
        attempts.begin(node(made));
        made += 1;
        if !attempts.on_failure(NOW, failure(Verdict::NotRun), limits(true), None) {
            break;
        }
    }
    assert_eq!(made, 3);
}

#[test]
fn no_retry_after_the_deadline() {
    let mut attempts = CallAttempts::default();
    attempts.begin(node(1));
    let later = NOW + Duration::from_secs(2);
    assert!(!attempts.on_failure(later, failure(Verdict::NotRun), limits(true), None));
}

#[test]
fn no_retry_if_body_cannot_be_resent() {
    let mut attempts = CallAttempts::default();
    attempts.begin(node(1));
    let sent = AttemptFailure { can_resend: false, ..failure(Verdict::NotRun) };
    assert!(!attempts.on_failure(NOW, sent, limits(true), None));
}

#[test]
fn no_retry_without_budget() {
    let options = BudgetOptions { share: 0.0, ..BudgetOptions::default() };
    let budget = RetryBudget::default();
    while budget.try_take(NOW, &options) {}
    let mut attempts = CallAttempts::default();
    attempts.begin(node(1));
    let charged = Some((&budget, &options));
    assert!(!attempts.on_failure(NOW, failure(Verdict::NotRun), limits(true), charged));
}

#[test]
fn refusals_before_upstream_use_no_budget() {
    let options = BudgetOptions { share: 0.0, reserve: 0.0, ..BudgetOptions::default() };
    let budget = RetryBudget::default();
    let limits = AttemptLimits { retries: 0, transparent_retries: 2, ..limits(false) };
    let before_upstream = AttemptFailure { reached_upstream: false, ..failure(Verdict::NotRun) };
    let mut attempts = CallAttempts::default();
    let mut made = 0;
    loop {
        attempts.begin(node(made));
        made += 1;
        if !attempts.on_failure(NOW, before_upstream, limits, Some((&budget, &options))) {
            break;
        }
    }
    assert_eq!(made, 3);
    // After an attempt has reached an upstream, every further one is a retry.
    let mut attempts = CallAttempts::default();
    attempts.begin(node(1));
    let more = AttemptLimits { retries: 3, ..limits };
    assert!(!attempts.on_failure(NOW, failure(Verdict::NotRun), more, Some((&budget, &options))));
}

#[test]
fn suspected_calls_are_hedged_once() {
    let mut attempts = CallAttempts::default();
    let limits = AttemptLimits { retries: 1, transparent_retries: 2, ..limits(true) };
    attempts.begin(node(1));
    assert!(attempts.on_suspicion(NOW, true, limits, None));
    attempts.begin(node(2));
    // Both may have reached an upstream, so neither counts as a transparent retry.
    assert!(!attempts.on_suspicion(NOW, true, limits, None));
    // A refusal before the upstream frees its retry again.
    let before_upstream = AttemptFailure { reached_upstream: false, ..failure(Verdict::NotRun) };
    assert!(attempts.on_failure(NOW, before_upstream, limits, None));
    attempts.begin(node(3));
    assert!(!attempts.on_failure(NOW, failure(Verdict::NotRun), limits, None));
}

#[test]
fn suspected_writes_are_not_hedged() {
    let mut attempts = CallAttempts::default();
    attempts.begin(node(1));
    assert!(!attempts.on_suspicion(NOW, true, limits(false), None));
    assert!(attempts.on_failure(NOW, failure(Verdict::NotRun), limits(false), None));
}

#[test]
fn hedges_are_charged_to_the_budget() {
    let options = BudgetOptions { share: 0.0, reserve: 1.0, ..BudgetOptions::default() };
    let budget = RetryBudget::default();
    let charged = Some((&budget, &options));
    let mut attempts = CallAttempts::default();
    attempts.begin(node(1));
    assert!(attempts.on_suspicion(NOW, true, limits(true), charged));
    attempts.begin(node(2));
    assert!(!attempts.on_suspicion(NOW, true, limits(true), charged));
    assert!(
        !attempts.on_suspicion(NOW, false, limits(true), None),
        "the body cannot be sent again"
    );
}

#[test]
fn suspicion_does_not_change_the_verdict() {
    let mut attempts = CallAttempts::default();
    attempts.begin(node(1));
    assert!(attempts.on_suspicion(NOW, true, limits(true), None));
    attempts.begin(node(2));
    let before_upstream = AttemptFailure { reached_upstream: false, ..failure(Verdict::NotRun) };
    attempts.on_end(before_upstream);
    // The suspected attempt turns out not to have run either.
    attempts.on_end(before_upstream);
    assert_eq!(attempts.verdict(), Verdict::NotRun);
}

#[test]
fn redirects_are_bounded() {
    arbtest::arbtest(|u| {
        let mut attempts = CallAttempts::default();
        let mut followed = 0;
        for _ in 0..u.int_in_range(1..=12)? {
            let next = attempts.take_redirect();
            followed += usize::from(next.is_some());
            let at = next.unwrap_or(node(u.int_in_range(0..=3)?));
            // A redirect never leads back to a tried node.
            assert!(next.is_none() || !attempts.tried().contains(&at));
            attempts.begin(at);
            let redirect = Some(node(u.int_in_range(0..=9)?));
            let refused = AttemptFailure { redirect, ..failure(Verdict::NotRun) };
            let limits = AttemptLimits { retries: 200, ..limits(false) };
            attempts.on_failure(NOW, refused, limits, None);
        }
        assert!(followed <= 2);
        Ok(())
    });
}
