//! A bad release must be rolled back with few calls sent to it, and none later than 5 s after its
//! 50th bad answer. Failures: a fault that is not noticed, or too late.

mod common;

use common::{Behaviour, GOOD, World};
use goldcresttally_rollout::Status;

fn check(name: &str, bad: Behaviour) {
    for seed in 0..12 {
        for (count, rate) in [(4, 100.0), (16, 300.0)] {
            let mut world = World::start(count, seed, bad);
            world.rate = rate;
            world.run_until_ended();
            println!("{name} seed {seed}: {} of {} calls", world.new_calls, world.calls);
            world.check_bad();
            world.check_statuses();
            assert!(world.elapsed() < world.duration + std::time::Duration::from_secs(4));
        }
    }
}

#[test]
fn release_that_fails_at_once_is_rolled_back() {
    check("at once", Behaviour { failures: [0.3, 0.3], ..GOOD });
}

#[test]
fn release_that_fails_later_is_rolled_back() {
    check("later", Behaviour { failures: [0.3, 0.3], after_ms: 8000, ..GOOD });
}

#[test]
fn release_that_fails_once_all_its_upstreams_are_open_is_rolled_back() {
    check("open", Behaviour { failures: [0.3, 0.3], after_ms: 12_500, ..GOOD });
}

#[test]
fn slow_release_is_rolled_back() {
    check("slow", Behaviour { slowdown: 4.0, ..GOOD });
}

#[test]
fn release_that_becomes_slow_later_is_rolled_back() {
    check("slow later", Behaviour { slowdown: 4.0, after_ms: 8000, ..GOOD });
}

#[test]
fn release_that_fails_under_load_only_is_rolled_back() {
    check("load", Behaviour { failures: [0.6, 0.6], from_load: 1, ..GOOD });
}

#[test]
fn release_that_fails_one_class_of_calls_is_rolled_back() {
    check("class", Behaviour { failures: [0.0, 0.3], ..GOOD });
}

#[test]
fn rolled_back_release_gets_no_calls_again() {
    let mut world = World::start(4, 3, Behaviour { failures: [0.5, 0.5], ..GOOD });
    world.run_until_ended();
    let calls = world.new_calls;
    for n in 0..8 {
        world.kill(n);
        world.run(1000);
        world.restart(n);
    }
    world.run(20_000);
    assert_eq!(world.new_calls, calls);
    assert_eq!(world.status(), Some(Status::RolledBack));
    assert_eq!(world.store.statuses.len(), 2);
}

#[test]
fn short_time_limit_leaves_the_exposure_within_the_rule() {
    let behaviours = [
        Behaviour { failures: [0.3, 0.3], ..GOOD },
        Behaviour { failures: [0.3, 0.3], after_ms: 4000, ..GOOD },
        Behaviour { slowdown: 4.0, ..GOOD },
    ];
    for bad in behaviours {
        for seed in 0..6 {
            let mut world = World::start(8, seed, bad);
            world.rate = 150.0;
            world.order("v2", 15);
            world.run_until_ended();
            world.check_bad();
        }
    }
}

#[test]
fn bad_release_of_a_service_with_few_calls_is_rolled_back() {
    for seed in 0..12 {
        let bad = Behaviour { failures: [0.5, 0.5], ..GOOD };
        let mut world = World::start(2, seed, bad);
        world.rate = 10.0;
        world.run_until_ended();
        world.check_bad();
    }
}
