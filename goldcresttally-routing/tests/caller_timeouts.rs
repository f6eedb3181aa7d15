//! Guards the detection of callers that retry: first calls taken for retries, and retries whose
//! earlier waiting time is not seen.

use std::time::Duration;

use goldcresttally_routing::CallerTimeouts;

const ROUTE: u32 = 7;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Returns the timeout of a first call: `longest_ms`, less up to 15%.
fn first_call(rng: &mut fastrand::Rng, longest_ms: u64) -> Duration {
    ms(longest_ms * 85 / 100 + rng.u64(0..=longest_ms * 15 / 100))
}

#[test]
fn first_calls_have_not_waited() {
    let (timeouts, mut rng) = (CallerTimeouts::default(), fastrand::Rng::with_seed(1));
    for _ in 0..2000 {
        assert_eq!(timeouts.time_already_spent(ROUTE, first_call(&mut rng, 1500)), Duration::ZERO);
    }
}

#[test]
fn retries_have_waited() {
    let (timeouts, mut rng) = (CallerTimeouts::default(), fastrand::Rng::with_seed(2));
    for n in 0..2000 {
        let remaining = first_call(&mut rng, 1500);
        timeouts.time_already_spent(ROUTE, remaining);
        if n > 50 && n % 2 == 0 {
            timeouts.on_failure(ROUTE);
            let waited = timeouts.time_already_spent(ROUTE, remaining.saturating_sub(ms(500)));
            assert!(waited > ms(300) && waited < ms(700), "{waited:?}");
        }
    }
}

#[test]
fn mixed_timeouts_are_not_taken_for_retries() {
    let (timeouts, mut rng) = (CallerTimeouts::default(), fastrand::Rng::with_seed(3));
    let mut detected = 0;
    for n in 0..2000 {
        let longest_ms = if n % 5 == 0 { 4000 } else { 1000 };
        timeouts.on_failure(ROUTE);
        detected += u32::from(
            !timeouts.time_already_spent(ROUTE, first_call(&mut rng, longest_ms)).is_zero(),
        );
    }
    // The longest timeout is that of the minority; nearly all other calls would count as retries.
    assert!(detected < 100, "{detected}");
}

#[test]
fn shorter_timeouts_are_learned() {
    let (timeouts, mut rng) = (CallerTimeouts::default(), fastrand::Rng::with_seed(4));
    for _ in 0..100 {
        timeouts.time_already_spent(ROUTE, first_call(&mut rng, 4000));
    }
    let detected = (0..3000)
        .filter(|_| !timeouts.time_already_spent(ROUTE, first_call(&mut rng, 1000)).is_zero());
    assert!(detected.count() < 30);
    // By now the longest timeout has decayed.
    timeouts.on_failure(ROUTE);
    assert!(!timeouts.time_already_spent(ROUTE, ms(300)).is_zero());
}

#[test]
fn no_retry_without_a_failure() {
    let (timeouts, mut rng) = (CallerTimeouts::default(), fastrand::Rng::with_seed(5));
    for _ in 0..100 {
        timeouts.time_already_spent(ROUTE, first_call(&mut rng, 1500));
    }
    // A nested call of an upstream, with the short remaining time of the call that it serves.
    assert_eq!(timeouts.time_already_spent(ROUTE, ms(200)), Duration::ZERO);
    timeouts.on_failure(ROUTE);
    assert!(!timeouts.time_already_spent(ROUTE, ms(200)).is_zero());
    assert_eq!(timeouts.time_already_spent(ROUTE, ms(200)), Duration::ZERO);
}

#[test]
fn routes_are_independent() {
    let timeouts = CallerTimeouts::default();
    timeouts.time_already_spent(ROUTE, ms(4000));
    assert_eq!(timeouts.time_already_spent(ROUTE + 1, ms(1000)), Duration::ZERO);
}
