//! Retries stay a share of the calls, and the entry refuses what the upstreams refuse.

use std::time::Duration;

use goldcresttally_core::MonoTime;
use goldcresttally_routing::{BudgetOptions, RetryBudget, Throttle};

#[test]
fn retries_are_a_share() {
    let budget = RetryBudget::default();
    let options = BudgetOptions::default();
    let mut retries = 0;
    for n in 0..100_000 {
        let now = MonoTime::from_millis(n);
        budget.on_call(now, &options);
        while budget.try_take(now, &options) {
            retries += 1;
        }
    }
    assert!((17_000..=20_020).contains(&retries), "{retries} retries");
}

#[test]
fn no_window_has_more() {
    arbtest::arbtest(|u| {
        let options = BudgetOptions {
            share: 0.2,
            reserve: f64::from(u.int_in_range(0..=30)?),
            window: Duration::from_secs(10),
        };
        let budget = RetryBudget::default();
        let (mut calls, mut retries) = (Vec::new(), Vec::new());
        let mut at_ms = 0;
        for _ in 0..u.int_in_range(1..=400)? {
            at_ms += u.int_in_range(0..=400)?;
            let now = MonoTime::from_millis(at_ms);
            if u.arbitrary()? {
                budget.on_call(now, &options);
                calls.push(at_ms);
            } else if budget.try_take(now, &options) {
                retries.push(at_ms);
                let in_window = |list: &[u64]| {
                    list.iter().filter(|t| at_ms.saturating_sub(**t) < 10_000).count() as f64
                };
                let allowed = options.share * in_window(&calls) + options.reserve;
                assert!(in_window(&retries) <= allowed, "at {at_ms} ms");
            }
        }
        Ok(())
    });
}

#[test]
fn throttle_follows_refusals() {
    let throttle = Throttle::default();
    let mut sent = 0;
    for n in 0..20_000u64 {
        let now = MonoTime::from_millis(n / 10);
        let random = (n * 7919 % 1000) as f64 / 1000.0;
        if throttle.admit(now, random) {
            sent += 1;
            // One call in ten is accepted.
            if n % 10 == 0 { throttle.accepted() } else { throttle.refused() }
        }
    }
    assert!(sent < 6000, "{sent} of 20000 calls went out");
}

#[test]
fn throttle_lets_good_calls_pass() {
    let throttle = Throttle::default();
    for n in 0..5000u64 {
        let now = MonoTime::from_millis(n);
        assert!(throttle.admit(now, 0.0));
        throttle.accepted();
    }
}

#[test]
fn burst_is_no_overload() {
    let throttle = Throttle::default();
    for _ in 0..1000 {
        assert!(throttle.admit(MonoTime::from_millis(1000), 0.0));
    }
}

#[test]
fn throttle_forgets() {
    let throttle = Throttle::default();
    for _ in 0..1000 {
        throttle.admit(MonoTime::from_millis(1000), 1.0);
        throttle.refused();
    }
    assert!(!throttle.admit(MonoTime::from_millis(1000), 0.1));
    for s in 2..10 {
        throttle.admit(MonoTime::from_millis(s * 1000), 1.0);
    }
    assert!(throttle.admit(MonoTime::from_millis(10_000), 0.1));
}
