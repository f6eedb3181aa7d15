//! Dead members are found, live ones are not held dead, and a partition heals.

mod common;

use common::{Net, node};
use goldcresttally_membership::{Action, Event, Status, UpstreamState};

#[test]
fn dead_member_is_found() {
    let mut net = Net::start(10, 1);
    net.run(2000);
    net.kill(3);
    net.run(25_000);
    for n in (0..10).filter(|n| *n != 3) {
        assert_eq!(net.status(n, 3), Some(Status::Dead), "at {n}");
    }
}

#[test]
fn one_of_three_dies() {
    // One of two others is no mass loss.
    let mut net = Net::start(3, 1);
    net.run(2000);
    net.kill(2);
    net.run(20_000);
    assert_eq!(net.status(0, 2), Some(Status::Dead));
    assert!(!net.machines[0].as_ref().unwrap().is_isolated());
}

#[test]
fn loss_kills_nobody() {
    for seed in 0..5 {
        let mut net = Net::start(12, seed);
        net.loss = 0.15;
        net.duplicates = 0.1;
        net.run(30_000);
        for (at, of) in (0..12).flat_map(|a| (0..12).map(move |b| (a, b))).filter(|(a, b)| a != b) {
            assert_ne!(net.status(at, of), Some(Status::Dead), "seed {seed}: {of} at {at}");
        }
    }
}

#[test]
fn partition_heals() {
    let mut net = Net::start(9, 3);
    net.run(2000);
    net.cut = [0, 1, 2].into();
    net.run(40_000);
    assert_eq!(net.status(5, 1), Some(Status::Dead));
    net.cut.clear();
    net.run(15_000);
    for (at, of) in (0..9).flat_map(|a| (0..9).map(move |b| (a, b))).filter(|(a, b)| a != b) {
        assert_eq!(net.status(at, of), Some(Status::Alive), "{of} at {at}");
    }
}

#[test]
fn mass_loss_keeps_members() {
    let mut net = Net::start(9, 4);
    net.run(2000);
    net.cut = [0, 1].into();
    net.run(60_000);
    // The side that lost most members keeps those that it knows.
    let machine = net.machines[0].as_ref().unwrap();
    assert!(machine.is_isolated());
    assert!(machine.members().count() >= 4, "{} members", machine.members().count());
}

#[test]
fn drain_is_known_within_two_seconds() {
    for seed in 0..5 {
        let mut net = Net::start(60, seed);
        net.event(7, Event::UpstreamsChanged(common::upstream(UpstreamState::Ready)));
        net.run(6000);
        net.event(7, Event::UpstreamsChanged(common::upstream(UpstreamState::Draining)));
        net.run(2000);
        for n in (0..60).filter(|n| *n != 7) {
            assert_eq!(
                net.upstream_state(n, 7),
                Some(UpstreamState::Draining),
                "seed {seed}: at {n}"
            );
        }
    }
}

#[test]
fn planned_stop_is_told() {
    let mut net = Net::start(6, 2);
    net.run(2000);
    net.event(2, Event::Stopped);
    net.kill(2);
    net.run(3000);
    for n in [0, 1, 3, 4, 5] {
        assert_eq!(net.status(n, 2), Some(Status::Left));
    }
}

#[test]
fn restart_supersedes() {
    let mut net = Net::start(5, 2);
    net.run(2000);
    net.kill(1);
    net.run(30_000);
    net.boot(1, 2);
    net.run(5000);
    for n in [0, 2, 3, 4] {
        assert_eq!(net.status(n, 1), Some(Status::Alive));
    }
}

#[test]
fn older_generation_learns_of_later() {
    let mut net = Net::start(3, 2);
    net.boot(1, 5);
    // The old process at the address resumes beside the new one's record.
    net.boot(1, 4);
    net.run(3000);
    let superseded =
        net.actions.iter().any(|(n, a)| *n == 1 && matches!(a, Action::Superseded { .. }));
    assert!(superseded);
}

#[test]
fn version_floor_outlives_process() {
    let mut net = Net::start(4, 8);
    net.run(2000);
    net.tell_version(2, 17);
    net.run(5000);
    net.kill(2);
    net.run(30_000);
    let floors: Vec<_> = [0, 1, 3]
        .iter()
        .map(|n| net.machines[*n].as_ref().unwrap().version_floor(node(2)).0)
        .collect();
    assert!(floors.contains(&17), "{floors:?}");
}
