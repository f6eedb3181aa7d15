//! A decider that is killed, paused or cut off in any phase must be replaced, and a decider that
//! comes back must not act on what it knew. Failures: two deciders at once, a rollout that stops, a
//! bad release that stays open, a completion that is undone.

mod common;

use std::time::Duration;

use common::{Behaviour, GOOD, World, node};
use goldcresttally_rollout::{Event, Phase, Status};

const PHASES: [Phase; 3] = [Phase::Canary, Phase::Open, Phase::Shift];
const BAD: Behaviour = Behaviour { failures: [0.4, 0.4], ..GOOD };

/// Disturbs the leader in each phase of a good rollout, and at the beginning of a bad one.
fn disturb(disturbance: impl Fn(&mut World, usize), end: impl Fn(&mut World, usize)) {
    for seed in 0..6 {
        for phase in PHASES {
            for delay in [0, 150, 400] {
                let mut world = World::start(6, seed, GOOD);
                world.run_until_phase(phase);
                world.run(delay);
                let Some(leader) = world.leader() else { continue };
                disturbance(&mut world, leader);
                world.run(6000);
                end(&mut world, leader);
                let status = world.run_until_ended();
                assert_eq!(status, Status::Completed, "{phase} {delay}: {:#?}", world.decisions);
                world.check_completed();
                world.check_statuses();
                let ended = world.store.statuses.last().unwrap().0.since(world.ordered_at);
                assert!(ended < Duration::from_secs(30), "{phase} {delay} seed {seed}: {ended:?}");
            }
        }
        for delay in [300, 1500, 2500, 3500] {
            let mut world = World::start(6, seed, BAD);
            world.run(delay);
            let Some(leader) = world.leader() else { continue };
            disturbance(&mut world, leader);
            world.run(6000);
            end(&mut world, leader);
            world.run_until_ended();
            world.check_bad();
        }
    }
}

#[test]
fn killed_decider_is_replaced_in_each_phase() {
    disturb(World::kill, |_, _| ());
}

#[test]
fn killed_decider_that_starts_again_is_no_second_decider() {
    disturb(World::kill, World::restart);
}

#[test]
fn paused_decider_is_replaced_in_each_phase_and_does_not_act_when_it_goes_on() {
    disturb(World::pause, World::resume);
}

#[test]
fn decider_without_other_nodes_is_replaced_in_each_phase() {
    disturb(|w, n| w.cut_off(n, true), |w, n| w.cut_off(n, false));
}

#[test]
fn decider_without_the_store_is_replaced_in_each_phase() {
    disturb(|w, n| w.nodes[n].without_store = true, |w, n| w.nodes[n].without_store = false);
}

#[test]
fn doors_of_the_new_release_close_without_a_decider() {
    let mut world = World::start(6, 1, GOOD);
    world.run_until_phase(Phase::Open);
    for n in 0..6 {
        world.nodes[n].without_store = true;
    }
    world.store.down = true;
    world.run(5000 + 1500 + 500);
    let calls = world.new_calls;
    world.run(2000);
    assert_eq!(world.new_calls, calls);
}

#[test]
fn of_two_nodes_that_take_the_lead_at_once_one_decides() {
    for seed in 0..20 {
        let mut world = World::start(6, seed, GOOD);
        // Both see themselves as the first candidate.
        world.store.slow_ms = 50;
        for n in 0..3 {
            let mut candidates =
                goldcresttally_rollout::Candidates { ranking: vec![node(n)], ..Default::default() };
            candidates.present.extend((0..12).map(node));
            world.event(n, Event::Members(candidates));
            world.event(n, Event::Tick);
        }
        assert_eq!(world.run_until_ended(), Status::Completed);
        world.check_completed();
        world.check_statuses();
    }
}
