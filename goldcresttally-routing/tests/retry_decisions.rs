//! Which failures are tried again, and what the caller is told when none is.

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
fn doubt_is_not_repeated() {
    let mut tries = CallAttempts::default();
    tries.begin(node(1));
    assert!(!tries.on_failure(NOW, failure(Verdict::MayHaveRun), limits(false), None));
    assert!(tries.on_failure(NOW, failure(Verdict::NotRun), limits(false), None));
    assert!(tries.on_failure(NOW, failure(Verdict::MayHaveRun), limits(true), None));
}

#[test]
fn doubt_outlasts_later_refusals() {
    let mut tries = CallAttempts::default();
    for (n, verdict) in [Verdict::MayHaveRun, Verdict::NotRun].into_iter().enumerate() {
        tries.begin(node(n as u16));
        tries.on_failure(NOW, failure(verdict), limits(true), None);
    }
    assert_eq!(tries.verdict(), Verdict::MayHaveRun);
}

#[test]
fn attempts_are_bounded() {
    let mut tries = CallAttempts::default();
    let mut made = 0;
    loop {
        tries.begin(node(made));
        made += 1;
        if !tries.on_failure(NOW, failure(Verdict::NotRun), limits(true), None) {
            break;
        }
    }
    assert_eq!(made, 3);
}

#[test]
fn nothing_after_the_deadline() {
    let mut tries = CallAttempts::default();
    tries.begin(node(1));
    let later = NOW + Duration::from_secs(2);
    assert!(!tries.on_failure(later, failure(Verdict::NotRun), limits(true), None));
}

#[test]
fn sent_body_cannot_be_resent() {
    let mut tries = CallAttempts::default();
    tries.begin(node(1));
    let sent = AttemptFailure { can_resend: false, ..failure(Verdict::NotRun) };
    assert!(!tries.on_failure(NOW, sent, limits(true), None));
}

#[test]
fn budget_is_charged_last() {
    let options = BudgetOptions { share: 0.0, ..BudgetOptions::default() };
    let budget = RetryBudget::default();
    while budget.try_take(NOW, &options) {}
    let mut tries = CallAttempts::default();
    tries.begin(node(1));
    let charged = Some((&budget, &options));
    assert!(!tries.on_failure(NOW, failure(Verdict::NotRun), limits(true), charged));
}

#[test]
fn unseen_refusals_are_no_retries() {
    let options = BudgetOptions { share: 0.0, reserve: 0.0, ..BudgetOptions::default() };
    let budget = RetryBudget::default();
    let limits = AttemptLimits { retries: 0, transparent_retries: 2, ..limits(false) };
    let unseen = AttemptFailure { reached_upstream: false, ..failure(Verdict::NotRun) };
    let mut tries = CallAttempts::default();
    let mut made = 0;
    loop {
        tries.begin(node(made));
        made += 1;
        if !tries.on_failure(NOW, unseen, limits, Some((&budget, &options))) {
            break;
        }
    }
    assert_eq!(made, 3);
    // Once an upstream has seen an attempt, any other one is a retry.
    let mut tries = CallAttempts::default();
    tries.begin(node(1));
    let more = AttemptLimits { retries: 3, ..limits };
    assert!(!tries.on_failure(NOW, failure(Verdict::NotRun), more, Some((&budget, &options))));
}

#[test]
fn doubted_calls_are_hedged_once() {
    let mut tries = CallAttempts::default();
    let limits = AttemptLimits { retries: 1, transparent_retries: 2, ..limits(true) };
    tries.begin(node(1));
    assert!(tries.on_suspicion(NOW, true, limits, None));
    tries.begin(node(2));
    // Both may be at an upstream: neither counts as unseen.
    assert!(!tries.on_suspicion(NOW, true, limits, None));
    // A refusal that no upstream has seen gives its place back.
    let unseen = AttemptFailure { reached_upstream: false, ..failure(Verdict::NotRun) };
    assert!(tries.on_failure(NOW, unseen, limits, None));
    tries.begin(node(3));
    assert!(!tries.on_failure(NOW, failure(Verdict::NotRun), limits, None));
}

#[test]
fn doubted_writes_are_not_hedged() {
    let mut tries = CallAttempts::default();
    tries.begin(node(1));
    assert!(!tries.on_suspicion(NOW, true, limits(false), None));
    assert!(tries.on_failure(NOW, failure(Verdict::NotRun), limits(false), None));
}

#[test]
fn hedges_are_charged() {
    let options = BudgetOptions { share: 0.0, reserve: 1.0, ..BudgetOptions::default() };
    let budget = RetryBudget::default();
    let charged = Some((&budget, &options));
    let mut tries = CallAttempts::default();
    tries.begin(node(1));
    assert!(tries.on_suspicion(NOW, true, limits(true), charged));
    tries.begin(node(2));
    assert!(!tries.on_suspicion(NOW, true, limits(true), charged));
    assert!(!tries.on_suspicion(NOW, false, limits(true), None), "the body cannot be sent again");
}

#[test]
fn doubt_is_no_verdict() {
    let mut tries = CallAttempts::default();
    tries.begin(node(1));
    assert!(tries.on_suspicion(NOW, true, limits(true), None));
    tries.begin(node(2));
    let unseen = AttemptFailure { reached_upstream: false, ..failure(Verdict::NotRun) };
    tries.on_end(unseen);
    // The attempt that was in doubt turns out not to have run either.
    tries.on_end(unseen);
    assert_eq!(tries.verdict(), Verdict::NotRun);
}

#[test]
fn redirects_end() {
    arbtest::arbtest(|u| {
        let mut tries = CallAttempts::default();
        let mut followed = 0;
        for _ in 0..u.int_in_range(1..=12)? {
            let next = tries.take_redirect();
            followed += usize::from(next.is_some());
            let at = next.unwrap_or(node(u.int_in_range(0..=3)?));
            // A hint never leads back to a node that was tried.
            assert!(next.is_none() || !tries.tried().contains(&at));
            tries.begin(at);
            let redirect = Some(node(u.int_in_range(0..=9)?));
            let refused = AttemptFailure { redirect, ..failure(Verdict::NotRun) };
            let limits = AttemptLimits { retries: 200, ..limits(false) };
            tries.on_failure(NOW, refused, limits, None);
        }
        assert!(followed <= 2);
        Ok(())
    });
}
