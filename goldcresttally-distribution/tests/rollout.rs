//! Despite failures, versions reach every reachable node in time and no node is rolled back.

mod common;

use std::sync::Arc;

use common::{Fleet, complete, difference};
use goldcresttally_core::Version;
use goldcresttally_distribution::{Event, Mode, Options};

fn options(mode: Mode) -> Options {
    Options { mode, ..Options::default() }
}

#[test]
fn every_mode_converges() {
    for mode in [Mode::Tree, Mode::Gossip, Mode::Poll] {
        let mut fleet = Fleet::start(40, 4, options(mode), 1);
        for version in 1..=5 {
            fleet.newest = version;
            fleet.run(4000);
            assert_eq!(fleet.lagging(), [0; 0], "{mode} at version {version}");
        }
    }
}

#[test]
fn accepted_version_spreads_during_table_outage() {
    let mut fleet = Fleet::start(20, 3, options(Mode::Tree), 2);
    fleet.newest = 1;
    fleet.run(4000);
    // The platform fails right after a node has accepted a version.
    fleet.newest = 2;
    fleet.table_up = false;
    fleet.event(7, Event::Accepted(Arc::new(complete(2))));
    fleet.run(4000);
    assert_eq!(fleet.lagging(), [0; 0]);
}

#[test]
fn node_starts_from_peers_during_table_outage() {
    let mut fleet = Fleet::start(12, 3, options(Mode::Tree), 3);
    fleet.newest = 3;
    fleet.run(4000);
    fleet.table_up = false;
    fleet.start_node(5);
    fleet.in_force[5] = 0;
    fleet.update_members(5);
    fleet.event(5, Event::FloorLearned(Version(3)));
    fleet.run(4000);
    assert_eq!(fleet.in_force[5], 3);
}

#[test]
fn node_serves_no_version_below_floor() {
    let mut fleet = Fleet::start(3, 1, options(Mode::Tree), 4);
    fleet.newest = 2;
    fleet.run(4000);
    // The address had version 9 in force, but its peers have an older one.
    fleet.start_node(0);
    fleet.event(0, Event::FloorLearned(Version(9)));
    let machine = fleet.machines[0].as_ref().unwrap();
    assert!(!machine.is_ready());
    fleet.newest = 9;
    fleet.in_force[0] = 0;
    fleet.update_members(0);
    fleet.run(4000);
    assert!(fleet.machines[0].as_ref().unwrap().is_ready());
    assert_eq!(fleet.in_force[0], 9);
}

#[test]
fn node_without_floor_is_not_ready() {
    let mut fleet = Fleet::start(3, 1, options(Mode::Tree), 4);
    fleet.table_up = false;
    fleet.start_node(1);
    fleet.run(10_000);
    assert!(!fleet.machines[1].as_ref().unwrap().is_ready());
}

#[test]
fn partitioned_domain_catches_up() {
    let mut fleet = Fleet::start(24, 4, options(Mode::Tree), 5);
    fleet.newest = 1;
    fleet.run(4000);
    fleet.partitioned = (0..24).filter(|n| n % 4 == 0).collect();
    (0..24).for_each(|n| fleet.update_members(n));
    for version in 2..=4 {
        fleet.newest = version;
        fleet.run(4000);
        assert!(fleet.lagging().iter().all(|n| fleet.partitioned.contains(n)), "version {version}");
    }
    fleet.partitioned.clear();
    (0..24).for_each(|n| fleet.update_members(n));
    fleet.run(4000);
    assert_eq!(fleet.lagging(), [0; 0]);
}

#[test]
fn fleet_converges_with_lost_and_duplicated_pushes() {
    for seed in 0..8 {
        let mut fleet = Fleet::start(30, 3, options(Mode::Tree), seed);
        fleet.loss = 0.3;
        fleet.duplicates = 0.3;
        for version in 1..=4 {
            fleet.newest = version;
            fleet.run(4000);
            assert_eq!(fleet.lagging(), [0; 0], "seed {seed} version {version}");
        }
    }
}

#[test]
fn dead_tree_members_do_not_block_versions() {
    let mut fleet = Fleet::start(40, 2, options(Mode::Tree), 6);
    fleet.newest = 1;
    fleet.run(4000);
    // The members still include the nodes that died.
    for n in (0..40).filter(|n| n % 3 == 0) {
        fleet.machines[n] = None;
    }
    fleet.newest = 2;
    fleet.run(4000);
    assert_eq!(fleet.lagging(), [0; 0]);
}

#[test]
fn invalid_version_is_refused_as_a_whole() {
    let mut fleet = Fleet::start(10, 2, options(Mode::Tree), 7);
    fleet.newest = 1;
    fleet.run(4000);
    fleet.invalid = [2].into();
    fleet.newest = 2;
    fleet.run(4000);
    for (n, machine) in fleet.machines.iter().flatten().enumerate() {
        assert_eq!((machine.version(), machine.refused()), (Version(1), Version(2)), "node {n}");
    }
    fleet.newest = 3;
    fleet.run(4000);
    assert_eq!(fleet.lagging(), [0; 0]);
}

#[test]
fn update_contains_only_changed_sections() {
    let update = difference(5, 6);
    assert!(update.changed.len() < complete(6).changed.len());
    assert_eq!(update.base, Version(5));
}

#[test]
fn stale_read_of_resumed_poller_is_ignored() {
    let mut fleet = Fleet::start(8, 1, options(Mode::Tree), 9);
    fleet.newest = 1;
    fleet.run(4000);
    // After version 5 is in force, a poller that was paused since version 2 reports its old read.
    let stale = Event::TableRead {
        version: Version(2),
        manifest: Some(common::manifest(2).digest()),
        position: None,
    };
    fleet.newest = 5;
    fleet.run(4000);
    for n in 0..8 {
        fleet.event(n, stale.clone());
    }
    fleet.run(2000);
    assert!(fleet.in_force.iter().all(|v| *v == 5), "{:?}", fleet.in_force);
}
