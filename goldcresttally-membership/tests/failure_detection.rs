//! Failure detection finds dead members, spares live ones and recovers from a partition.

mod common;

use common::{Network, node};
use goldcresttally_membership::{Action, Event, Status, UpstreamState};

#[test]
fn dead_member_is_detected() {
    let mut network = Network::start(10, 1);
    network.run(2000);
    network.kill_node(3);
    network.run(25_000);
    for n in (0..10).filter(|n| *n != 3) {
        assert_eq!(network.status(n, 3), Some(Status::Dead), "at {n}");
    }
}

#[test]
fn loss_of_one_of_three_is_not_isolation() {
    // The loss of one of two other members does not count as isolation.
    let mut network = Network::start(3, 1);
    network.run(2000);
    network.kill_node(2);
    network.run(20_000);
    assert_eq!(network.status(0, 2), Some(Status::Dead));
    assert!(!network.machines[0].as_ref().unwrap().is_isolated());
}

#[test]
fn datagram_loss_declares_no_member_dead() {
    for seed in 0..5 {
        let mut network = Network::start(12, seed);
        network.loss = 0.15;
        network.duplicates = 0.1;
        network.run(30_000);
        for (at, of) in (0..12).flat_map(|a| (0..12).map(move |b| (a, b))).filter(|(a, b)| a != b) {
            assert_ne!(network.status(at, of), Some(Status::Dead), "seed {seed}: {of} at {at}");
        }
    }
}

#[test]
fn members_recover_after_partition() {
    let mut network = Network::start(9, 3);
    network.run(2000);
    network.partitioned = [0, 1, 2].into();
    network.run(40_000);
    assert_eq!(network.status(5, 1), Some(Status::Dead));
    network.partitioned.clear();
    network.run(15_000);
    for (at, of) in (0..9).flat_map(|a| (0..9).map(move |b| (a, b))).filter(|(a, b)| a != b) {
        assert_eq!(network.status(at, of), Some(Status::Alive), "{of} at {at}");
    }
}

#[test]
fn isolated_node_keeps_known_members() {
    let mut network = Network::start(9, 4);
    network.run(2000);
    network.partitioned = [0, 1].into();
    network.run(60_000);
    // The minority side keeps the members that it knows.
    let machine = network.machines[0].as_ref().unwrap();
    assert!(machine.is_isolated());
    assert!(machine.members().count() >= 4, "{} members", machine.members().count());
}

#[test]
fn drain_reaches_all_members_within_two_seconds() {
    for seed in 0..5 {
        let mut network = Network::start(60, seed);
        network.event(7, Event::UpstreamsChanged(common::upstream(UpstreamState::Ready)));
        network.run(6000);
        network.event(7, Event::UpstreamsChanged(common::upstream(UpstreamState::Draining)));
        network.run(2000);
        for n in (0..60).filter(|n| *n != 7) {
            assert_eq!(
                network.upstream_state(n, 7),
                Some(UpstreamState::Draining),
                "seed {seed}: at {n}"
            );
        }
    }
}

#[test]
fn planned_stop_is_reported_as_left() {
    let mut network = Network::start(6, 2);
    network.run(2000);
    network.event(2, Event::Stopped);
    network.kill_node(2);
    network.run(3000);
    for n in [0, 1, 3, 4, 5] {
        assert_eq!(network.status(n, 2), Some(Status::Left));
    }
}

#[test]
fn restarted_node_supersedes_dead_record() {
    let mut network = Network::start(5, 2);
    network.run(2000);
    network.kill_node(1);
    network.run(30_000);
    network.start_node(1, 2);
    network.run(5000);
    for n in [0, 2, 3, 4] {
        assert_eq!(network.status(n, 1), Some(Status::Alive));
    }
}

#[test]
fn older_process_detects_later_generation() {
    let mut network = Network::start(3, 2);
    network.start_node(1, 5);
    // The old process at the address resumes after the new one has joined.
    network.start_node(1, 4);
    network.run(3000);
    let superseded =
        network.actions.iter().any(|(n, a)| *n == 1 && matches!(a, Action::Superseded { .. }));
    assert!(superseded);
}

#[test]
fn version_floor_survives_process_death() {
    let mut network = Network::start(4, 8);
    network.run(2000);
    network.report_version(2, 17);
    network.run(5000);
    network.kill_node(2);
    network.run(30_000);
    let floors: Vec<_> = [0, 1, 3]
        .iter()
        .map(|n| network.machines[*n].as_ref().unwrap().version_floor(node(2)).0)
        .collect();
    assert!(floors.contains(&17), "{floors:?}");
}
