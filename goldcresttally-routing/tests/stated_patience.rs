//! Callers that come back after a refusal are told from fresh ones by the time that they state.

use std::time::Duration;

use goldcresttally_routing::CallerTimeouts;

const ROUTE: u32 = 7;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Fresh callers that would wait for `longest` ms, less up to 15%.
fn fresh(rng: &mut fastrand::Rng, longest: u64) -> Duration {
    ms(longest * 85 / 100 + rng.u64(0..=longest * 15 / 100))
}

#[test]
fn fresh_callers_have_spent_nothing() {
    let (patience, mut rng) = (CallerTimeouts::default(), fastrand::Rng::with_seed(1));
    for _ in 0..2000 {
        assert_eq!(patience.time_already_spent(ROUTE, fresh(&mut rng, 1500)), Duration::ZERO);
    }
}

#[test]
fn repeated_callers_have_spent_some() {
    let (patience, mut rng) = (CallerTimeouts::default(), fastrand::Rng::with_seed(2));
    for n in 0..2000 {
        let left = fresh(&mut rng, 1500);
        patience.time_already_spent(ROUTE, left);
        if n > 50 && n % 2 == 0 {
            patience.on_failure(ROUTE);
            let spent = patience.time_already_spent(ROUTE, left.saturating_sub(ms(500)));
            assert!(spent > ms(300) && spent < ms(700), "{spent:?}");
        }
    }
}

#[test]
fn callers_of_two_kinds_are_not_judged() {
    let (patience, mut rng) = (CallerTimeouts::default(), fastrand::Rng::with_seed(3));
    let mut judged = 0;
    for n in 0..2000 {
        let longest = if n % 5 == 0 { 4000 } else { 1000 };
        patience.on_failure(ROUTE);
        judged +=
            u32::from(!patience.time_already_spent(ROUTE, fresh(&mut rng, longest)).is_zero());
    }
    // The longest time is that of the fewer; nearly all others would count as late.
    assert!(judged < 100, "{judged}");
}

#[test]
fn callers_become_less_patient() {
    let (patience, mut rng) = (CallerTimeouts::default(), fastrand::Rng::with_seed(4));
    for _ in 0..100 {
        patience.time_already_spent(ROUTE, fresh(&mut rng, 4000));
    }
    let judged =
        (0..3000).filter(|_| !patience.time_already_spent(ROUTE, fresh(&mut rng, 1000)).is_zero());
    assert!(judged.count() < 30);
    // By now the longest time has been forgotten.
    patience.on_failure(ROUTE);
    assert!(!patience.time_already_spent(ROUTE, ms(300)).is_zero());
}

#[test]
fn none_comes_back_unless_one_failed() {
    let (patience, mut rng) = (CallerTimeouts::default(), fastrand::Rng::with_seed(5));
    for _ in 0..100 {
        patience.time_already_spent(ROUTE, fresh(&mut rng, 1500));
    }
    // An upstream's call, cut short by the deadline of the call that it serves.
    assert_eq!(patience.time_already_spent(ROUTE, ms(200)), Duration::ZERO);
    patience.on_failure(ROUTE);
    assert!(!patience.time_already_spent(ROUTE, ms(200)).is_zero());
    assert_eq!(patience.time_already_spent(ROUTE, ms(200)), Duration::ZERO);
}

#[test]
fn routes_are_apart() {
    let patience = CallerTimeouts::default();
    patience.time_already_spent(ROUTE, ms(4000));
    assert_eq!(patience.time_already_spent(ROUTE + 1, ms(1000)), Duration::ZERO);
}
