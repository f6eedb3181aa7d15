//! Guards against an overload in which callers get late answers and late refusals, and runs are
//! wasted because the calls that they make find no room.

mod overload_fleet;

use overload_fleet::{Fleet, Outcomes, Scenario};

/// Adds up the outcomes of a scenario over some seeds, and prints them.
fn run(scenario: &Scenario, seeds: std::ops::Range<u64>) -> Vec<Outcomes> {
    let mut sums = vec![Outcomes::default(); scenario.classes.len()];
    for seed in seeds {
        for (sum, part) in sums.iter_mut().zip(Fleet::run(scenario.clone(), seed)) {
            sum.add(&part);
        }
    }
    for (class, sum) in scenario.classes.iter().zip(&sums) {
        println!("{:7} {sum}", class.name);
    }
    sums
}

#[test]
fn every_call_ends_and_runs_repeat() {
    let scenario = Scenario { seconds: 1, ..Scenario::heavy_day() };
    let first = run(&scenario, 1..2);
    let second = run(&scenario, 1..2);
    for (a, b) in first.iter().zip(&second) {
        assert_eq!(a.to_string(), b.to_string(), "a run depends only on its seed");
        let ended = a.on_time + a.late + a.refused_at_once + a.refused_late + a.failed + a.held;
        assert_eq!(ended, a.asked);
    }
}

#[test]
fn runs_are_rarely_wasted_for_want_of_room_of_nested_calls() {
    let before = run(&Scenario::heavy_day(), 1..4);
    let scenario = Scenario { overload_control: true, ..Scenario::heavy_day() };
    let after = run(&scenario, 1..4);
    let wasted = |o: &Outcomes| f64::from(o.wasted) / f64::from(o.runs);
    assert!(wasted(&before[0]) > 0.05, "the load does not show the fault");
    assert!(wasted(&after[0]) < 0.02, "{}", after[0]);
    assert!(after[0].on_time > before[0].on_time, "{}", after[0]);
}

#[test]
fn overload_is_answered_on_time_or_refused_at_once() {
    let before = run(&Scenario::heavy_day(), 1..3);
    let scenario = Scenario { overload_control: true, ..Scenario::heavy_day() };
    let after = run(&scenario, 1..3);
    let share = |n: u32, o: &Outcomes| f64::from(n) / f64::from(o.asked);
    let (menu, pay, order) = (&after[0], &after[2], &after[3]);
    // A half more is on time, of those who wait in vain nine in ten are spared it.
    assert!(share(menu.on_time, menu) > 1.5 * share(before[0].on_time, &before[0]), "{menu}");
    assert!(share(menu.late, menu) < 0.5 * share(before[0].late, &before[0]), "{menu}");
    assert!(share(menu.refused_late, menu) < 0.05, "{menu}");
    assert!(share(pay.refused_late, pay) < 0.05, "{pay}");
    // The most urgent calls pay nothing for it.
    assert!(share(order.on_time, order) > 0.93, "{order}");
    let attempts = |o: &Outcomes| f64::from(o.attempts) / f64::from(o.asked);
    assert!(attempts(menu) < attempts(&before[0]), "{menu}");
}

#[test]
fn usual_load_is_served_as_well_as_before() {
    // From three quarters of the heavy day on, a third of the calls to the first service is refused.
    for factor in [0.35, 0.5] {
        let usual = Scenario::heavy_day().scaled(factor);
        let before = run(&usual, 1..3);
        let after = run(&Scenario { overload_control: true, ..usual }, 1..3);
        for (before, after) in before.iter().zip(&after) {
            let share = |o: &Outcomes| f64::from(o.on_time) / f64::from(o.asked);
            assert!(share(after) > share(before) - 0.02, "{after} after {before}");
        }
    }
}

#[test]
fn small_overloaded_service_answers_on_time_or_refuses_at_once() {
    let scenario = Scenario::small_service();
    let before = &run(&scenario, 1..6)[0];
    let after = &run(&Scenario { overload_control: true, ..scenario }, 1..6)[0];
    let share = |n: u32, o: &Outcomes| f64::from(n) / f64::from(o.asked);
    assert!(share(after.on_time, after) > share(before.on_time, before) - 0.03, "{after}");
    assert!(after.late * 2 < before.late, "{after} after {before}");
    assert!(after.refused_late * 20 < after.asked, "{after}");
}
