//! Nodes join, leave, start again or stop reporting during a rollout. Failures: a completion while
//! an upstream of the old release may have calls in flight, a rollout that waits for a node that is
//! gone, a door that opens without being told to.

mod common;

use common::{GOOD, World, release};
use goldcresttally_core::{MonoTime, Rate};
use goldcresttally_rollout::{Door, Gate, Order, Phase, Resolved, Stage, Status};
use std::time::Duration;

#[test]
fn door_that_does_not_report_prevents_completion_until_it_is_no_member() {
    let mut world = World::start(6, 1, GOOD);
    world.run_until_phase(Phase::Open);
    world.nodes[5].mute = true;
    world.run(15_000);
    assert_eq!(world.status(), Some(Status::Running));
    world.kill(5);
    assert_eq!(world.run_until_ended(), Status::Completed);
    world.check_completed();
}

#[test]
fn dead_doors_do_not_prevent_completion() {
    for seed in 0..10 {
        let mut world = World::start(6, seed, GOOD);
        world.run(3000);
        world.kill(4);
        world.kill(9);
        world.run(2000);
        assert_eq!(world.run_until_ended(), Status::Completed);
        world.check_completed();
    }
}

#[test]
fn doors_that_join_during_a_rollout_take_part_in_it() {
    let mut world = World::start(6, 1, GOOD);
    world.run(6000);
    let old = world.add_node("v1");
    let new = world.add_node("v2");
    assert_eq!(world.run_until_ended(), Status::Completed);
    world.check_completed();
    let now = world.now;
    assert_eq!(world.nodes[old].door.gate(now), Gate::Closed);
    assert_eq!(world.nodes[new].door.gate(now), Gate::Open);
}

#[test]
fn node_that_starts_after_the_end_reads_it_from_the_store() {
    let mut world = World::start(6, 1, GOOD);
    world.run_until_ended();
    for n in 0..12 {
        world.restart(n);
    }
    world.run(1000);
    for n in 0..12 {
        let expected = if n < 6 { Gate::Closed } else { Gate::Open };
        assert_eq!(world.nodes[n].door.gate(world.now), expected);
    }
    world.check_completed();
}

#[test]
fn nodes_that_start_again_during_a_rollout_do_not_end_it_early() {
    for seed in 0..10 {
        let mut world = World::start(6, seed, GOOD);
        for n in [3, 8, 4, 10] {
            world.run(2500);
            world.kill(n);
            world.run(1000);
            world.restart(n);
        }
        assert_eq!(world.run_until_ended(), Status::Completed, "{:#?}", world.decisions);
        world.check_completed();
    }
}

#[test]
fn all_nodes_started_again_at_once_finish_the_rollout() {
    let mut world = World::start(6, 1, GOOD);
    world.run(5000);
    for n in 0..12 {
        world.restart(n);
    }
    assert_eq!(world.run_until_ended(), Status::Completed, "{:#?}", world.decisions);
    world.check_completed();
}

fn stage(epoch: u64, phase: Phase, rate: Option<f64>, valid_ms: Option<u64>) -> Stage {
    Stage {
        release: release("v2"),
        order: 7,
        epoch,
        phase,
        rate: rate.map(Rate),
        share_milli: 0,
        valid: valid_ms.map(Duration::from_millis),
    }
}

fn door(name: &str) -> Door {
    let mut door = Door::default();
    door.set_release(Some(release(name)));
    door
}

#[test]
fn lease_ends_at_its_time_also_if_the_process_was_paused() {
    let now = MonoTime::from_millis(1000);
    let mut new = door("v2");
    assert!(new.on_stage(now, stage(1, Phase::Open, None, Some(1500))));
    assert!(new.gate(now).admits(now));
    let gate = new.gate(now);
    let later = MonoTime::from_millis(2500);
    assert!(!gate.admits(later) && !new.gate(later).admits(later));
}

#[test]
fn stages_of_a_superseded_decider_are_ignored() {
    let now = MonoTime::from_millis(1000);
    let mut new = door("v2");
    new.on_stage(now, stage(3, Phase::Canary, Some(0.0), Some(1500)));
    assert!(!new.on_stage(now, stage(2, Phase::Open, None, Some(1500))));
    assert_eq!(new.gate(now), Gate::Closed);
}

#[test]
fn old_door_opens_again_after_a_lapsed_shift_but_not_once_completion_was_prepared() {
    let now = MonoTime::from_millis(1000);
    let later = MonoTime::from_millis(9000);
    let mut old = door("v1");
    old.on_stage(now, stage(1, Phase::Shift, None, Some(1500)));
    assert_eq!((old.gate(now), old.gate(later)), (Gate::Closed, Gate::Open));
    old.on_stage(now, stage(1, Phase::Completed, None, Some(1500)));
    assert_eq!(old.gate(later), Gate::Closed);
    assert!(old.needs_resolution(later));
    old.on_stage(later, stage(2, Phase::Canary, Some(0.0), Some(1500)));
    assert_eq!(old.gate(later), Gate::Open);
}

#[test]
fn starting_node_admits_no_calls_before_it_knows_the_order() {
    let now = MonoTime::from_millis(1000);
    let order = Order { revision: 7, release: release("v2"), duration: Duration::from_secs(30) };
    for name in ["v1", "v2"] {
        let mut door = door(name);
        assert_eq!(door.gate(now), Gate::Closed);
        door.on_resolved(now, Resolved::Running(order.clone()));
        assert_eq!(door.gate(now), Gate::Closed);
    }
    let mut unnamed = door("v1");
    unnamed.on_resolved(now, Resolved::NoOrder);
    assert_eq!(unnamed.gate(now), Gate::Closed, "before the other members are known");
    unnamed.set_foreign(false);
    assert_eq!(unnamed.gate(now), Gate::Open);
}
