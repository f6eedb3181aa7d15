//! The store is away, slow, loses answers or comes back from an older copy. Failures: a rollout that
//! stops, a state that is written twice or untruthfully, a state that stays lost.

mod common;

use common::{Behaviour, GOOD, World};
use goldcresttally_rollout::{Phase, Status};

const BAD: Behaviour = Behaviour { failures: [0.4, 0.4], ..GOOD };

#[test]
fn outage_extends_a_rollout_by_little() {
    for seed in 0..6 {
        for phase in [Phase::Canary, Phase::Open, Phase::Shift] {
            for outage_ms in [2000, 4000, 8000] {
                let mut world = World::start(6, seed, GOOD);
                world.run_until_phase(phase);
                world.store.down = true;
                world.run(outage_ms);
                world.store.down = false;
                assert_eq!(world.run_until_ended(), Status::Completed);
                world.check_completed();
                let ended = world.store.statuses.last().unwrap().0.since(world.ordered_at);
                assert!(ended.as_secs() < 30, "{phase} {outage_ms}: {ended:?}");
            }
        }
    }
}

#[test]
fn bad_release_is_closed_while_the_store_is_away() {
    for seed in 0..6 {
        let mut world = World::start(6, seed, BAD);
        world.run_until_phase(Phase::Canary);
        world.run(500);
        world.store.down = true;
        world.run(10_000);
        world.store.down = false;
        world.run_until_ended();
        world.check_bad();
    }
}

#[test]
fn slow_store_delays_but_does_not_stop_a_rollout() {
    for (bad, expected) in [(GOOD, Status::Completed), (BAD, Status::RolledBack)] {
        let mut world = World::start(6, 1, bad);
        world.store.slow_ms = 600;
        assert_eq!(world.run_until_ended(), expected);
        world.check_statuses();
        if expected == Status::Completed {
            world.check_completed();
        } else {
            world.check_bad();
        }
    }
}

#[test]
fn lost_answers_of_writes_lead_to_no_second_write_and_no_false_state() {
    for seed in 0..20 {
        for (bad, expected) in [(GOOD, Status::Completed), (BAD, Status::RolledBack)] {
            let mut world = World::start(6, seed, bad);
            world.store.lose_answers = 0.5;
            assert_eq!(world.run_until_ended(), expected, "{:#?}", world.decisions);
            world.check_statuses();
            if expected == Status::Completed {
                world.check_completed();
            } else {
                world.check_bad();
            }
        }
    }
}

#[test]
fn rollout_goes_on_when_the_store_comes_back_from_an_older_copy() {
    for seed in 0..10 {
        for phase in [Phase::Canary, Phase::Open, Phase::Shift] {
            let mut world = World::start(6, seed, GOOD);
            let empty = world.copy();
            world.run_until_phase(Phase::Canary);
            world.run(1000);
            let copies = [empty, world.copy()];
            let copy = copies[seed as usize % 2].clone();
            world.run_until_phase(phase);
            world.restore(copy);
            assert_eq!(world.run_until_ended(), Status::Completed, "{:#?}", world.decisions);
            world.check_completed();
        }
    }
}

#[test]
fn state_that_a_restored_store_has_lost_is_written_again() {
    for (bad, expected) in [(GOOD, Status::Completed), (BAD, Status::RolledBack)] {
        let mut world = World::start(6, 1, bad);
        world.run(2000);
        let copy = world.copy();
        assert_eq!(world.run_until_ended(), expected);
        // The other candidates have seen the end too.
        world.run(20_000);
        world.restore(copy);
        assert_eq!(world.status(), Some(Status::Running));
        let calls = world.new_calls;
        world.run(5000);
        assert_eq!(world.status(), Some(expected));
        if expected == Status::RolledBack {
            assert_eq!(world.new_calls, calls);
        }
    }
}

#[test]
fn completion_that_the_store_loses_at_once_is_not_undone() {
    for seed in 0..6 {
        for delay in [0, 50, 200, 1000] {
            let mut world = World::start(6, seed, GOOD);
            world.run_until_phase(Phase::Shift);
            let copy = world.copy();
            world.run_until(10, "end", |world| world.status() == Some(Status::Completed));
            world.run(delay);
            world.restore(copy);
            assert_eq!(world.run_until_ended(), Status::Completed, "{:#?}", world.decisions);
            world.check_completed();
        }
    }
}
