//! An upstream that names a rate limit gets no more calls than that, and as many as it takes.

mod common;

use common::Bench;
use goldcresttally_admission::{Event, NamedLimit, Options};
use goldcresttally_core::{MonoTime, Rate};

/// Slots of the simulated upstream.
const SLOTS: u32 = 12;

/// Length of the periods in which calls are counted, in milliseconds.
const PERIOD_MS: u64 = 4000;

fn flooded_bench() -> Bench {
    let mut bench = Bench::new(SLOTS, 256, &[0.0, 0.1]);
    let options = Options {
        max_concurrency: SLOTS,
        queue_capacity: 256,
        adaptive: false,
        floor_shares: vec![0.0, 0.1],
        ..Options::default()
    };
    bench.step(Event::Configure(options));
    bench
}

/// Floods the upstream with `per_s` calls per second of 200 ms each from `from_ms` to `to_ms`;
/// returns the times at which calls were dispatched.
fn flood(
    bench: &mut Bench,
    rng: &mut fastrand::Rng,
    (from_ms, to_ms): (u64, u64),
    per_s: f64,
) -> Vec<u64> {
    let mut times = Vec::new();
    for now in from_ms..to_ms {
        if now % 10 == 0 {
            bench.advance_to(now);
        }
        bench.now = MonoTime::from_millis(now);
        bench.finish_older_than(200);
        if rng.f64() < per_s / 1000.0 {
            let rank = rng.usize(0..2);
            bench.offer_within(rank, 2000, 1000);
        }
        times.extend(bench.dispatched().iter().map(|_| now));
    }
    times
}

/// Returns the most calls in any period.
fn most_in_period(times: &[u64]) -> usize {
    let in_period = |(i, from): (usize, &u64)| {
        times[i..].iter().take_while(|at| **at < from + PERIOD_MS).count()
    };
    times.iter().enumerate().map(in_period).max().unwrap_or(0)
}

#[test]
fn flood_does_not_exceed_named_limit_in_any_period() {
    for seed in 0..20 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let rate = 0.3 + 40.0 * rng.f64();
        let mut bench = flooded_bench();
        flood(&mut bench, &mut rng, (0, 3000), 150.0);
        bench.step(Event::LimitRate(Some(Rate(rate))));
        let times = flood(&mut bench, &mut rng, (3000, 23_000), 150.0);
        let allowed = 1.5 * rate * 4.0 + 5.0;
        let most = most_in_period(&times);
        assert!(most as f64 <= allowed, "seed {seed}: {most} calls at {rate}/s");
        let taken = 20.0 * rate.min(f64::from(SLOTS) * 5.0);
        assert!(times.len() as f64 >= 0.9 * taken - 1.0, "seed {seed}: {} calls", times.len());
    }
}

#[test]
fn changed_limit_is_kept_and_ended_one_is_lifted() {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut bench = flooded_bench();
    bench.step(Event::LimitRate(Some(Rate(20.0))));
    flood(&mut bench, &mut rng, (0, 5000), 150.0);
    bench.step(Event::LimitRate(Some(Rate(4.0))));
    let limited = flood(&mut bench, &mut rng, (5000, 13_000), 150.0);
    assert!(most_in_period(&limited) <= 29, "{} calls", most_in_period(&limited));
    bench.step(Event::LimitRate(None));
    let unlimited = flood(&mut bench, &mut rng, (13_000, 17_000), 150.0);
    assert!(unlimited.len() > 150, "{} calls", unlimited.len());
}

#[test]
fn call_that_limit_makes_late_is_refused_on_arrival() {
    let mut bench = flooded_bench();
    bench.step(Event::LimitRate(Some(Rate(5.0))));
    // The first one goes at once, and a second later five more are due.
    let mut refused = 0;
    for _ in 0..20 {
        bench.offer_within(0, 2000, 1000);
        refused += bench.refused().len();
    }
    assert!((10..=15).contains(&refused), "{refused} of 20 refused on arrival");
}

#[test]
fn answer_to_call_from_before_limit_does_not_end_it() {
    let mut limit = NamedLimit::default();
    let at = MonoTime::from_millis;
    assert!(limit.on_answer(at(1000), at(900), Some(Rate(5.0))));
    assert!(!limit.on_answer(at(1100), at(950), None));
    assert_eq!(limit.rate(), Some(Rate(5.0)));
    assert!(limit.on_answer(at(1300), at(1200), Some(Rate(6.0))));
    assert!(limit.on_answer(at(1600), at(1500), None));
    assert_eq!(limit.rate(), None);
}

#[test]
fn restarted_node_holds_to_limit_that_others_know_until_it_sees_an_answer() {
    let mut limit = NamedLimit::default();
    let at = MonoTime::from_millis;
    assert!(limit.on_report(at(1000), Rate(5.0)));
    assert!(!limit.on_report(at(1001), Rate(9.0)));
    assert!(limit.on_answer(at(1200), at(1100), None));
    assert!(!limit.on_report(at(1300), Rate(5.0)));
    assert_eq!(limit.rate(), None);
}
