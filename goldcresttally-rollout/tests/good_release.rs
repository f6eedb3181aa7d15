//! A good release must be completed within its time, with no call in flight at the old upstreams
//! and none sent to them later. Failures: a false alarm, a completion that is too early or late.

mod common;

use std::time::Duration;

use common::{GOOD, World};
use goldcresttally_rollout::{Phase, Status};

#[test]
fn good_release_is_completed_in_time_with_nothing_in_flight_at_the_old_one() {
    for seed in 0..12 {
        for (count, rate) in [(2, 20.0), (4, 60.0), (16, 300.0)] {
            let mut world = World::start(count, seed, GOOD);
            world.rate = rate;
            assert_eq!(world.run_until_ended(), Status::Completed, "{:#?}", world.decisions);
            let ended = world.store.statuses.last().unwrap().0.since(world.ordered_at);
            assert!(ended < Duration::from_secs(30), "seed {seed}: {ended:?}");
            world.check_completed();
            world.check_statuses();
            assert!(world.refused * 100 < world.calls, "{} refused", world.refused);
        }
    }
}

#[test]
fn a_small_share_of_the_calls_reaches_the_release_before_it_is_opened() {
    let mut world = World::start(16, 1, GOOD);
    world.rate = 300.0;
    world.run_until_phase(Phase::Open);
    // The share, and 20 of the 50 calls besides.
    let most = 0.07 * world.calls as f64 + 20.0;
    assert!(world.new_calls as f64 <= most, "{} of {most}", world.new_calls);
    assert!(world.new_calls as f64 >= 0.04 * world.calls as f64, "{}", world.new_calls);
}

#[test]
fn no_call_reaches_a_release_before_an_order_names_it() {
    let mut world = World::start(4, 1, GOOD);
    world.store.order = None;
    for node in &mut world.nodes {
        node.decider = None;
    }
    world.run(10_000);
    assert_eq!(world.new_calls, 0);
    world.order("v2", 30);
    assert_eq!(world.run_until_ended(), Status::Completed);
    world.check_completed();
}

#[test]
fn an_idle_service_is_completed_in_time() {
    let mut world = World::start(4, 1, GOOD);
    world.rate = 0.2;
    assert_eq!(world.run_until_ended(), Status::Completed);
    assert!(world.store.statuses.last().unwrap().0.since(world.ordered_at).as_secs() < 30);
    world.check_completed();
}

#[test]
fn the_store_is_used_sparingly() {
    let mut world = World::start(16, 1, GOOD);
    world.run_until_ended();
    let seconds = world.elapsed().as_secs();
    assert!(world.store.writes < seconds, "{} writes", world.store.writes);
    let before = (world.store.reads, world.store.writes);
    world.run(20_000);
    let after = (world.store.reads, world.store.writes);
    assert!(after.1 == before.1 && after.0 - before.0 <= 6, "{before:?} {after:?}");
    world.run(20_000);
    assert_eq!((world.store.reads, world.store.writes), after, "requests after the end");
}

#[test]
fn a_newer_order_starts_a_new_rollout_and_a_repeated_one_does_not() {
    let mut world = World::start(4, 1, GOOD);
    world.run_until_ended();
    let order = world.store.order.clone().unwrap();
    world.store.revision += 1;
    let repeated = goldcresttally_rollout::Order { revision: world.store.revision, ..order };
    world.store.order = Some(repeated.clone());
    for n in 0..3 {
        world.see_order(n, repeated.clone());
    }
    world.run(20_000);
    assert_eq!(world.store.statuses.len(), 2);
    world.order("v3", 30);
    for _ in 0..4 {
        world.add_node("v3");
    }
    world.run(5000);
    assert_eq!(world.status(), Some(Status::Running));
    world.run_until_ended();
    assert_eq!(world.store.statuses.len(), 4);
}
