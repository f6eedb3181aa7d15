//! Versions reach every reachable node in time, whatever fails, and never go back.

mod common;

use std::sync::Arc;

use common::{Fleet, complete, difference};
use goldcresttally_core::Version;
use goldcresttally_distribution::{Event, Mode, Options};

fn options(mode: Mode) -> Options {
    Options { mode, ..Options::default() }
}

#[test]
fn all_modes_converge() {
    for mode in [Mode::Tree, Mode::Gossip, Mode::Poll] {
        let mut fleet = Fleet::start(40, 4, options(mode), 1);
        for version in 1..=5 {
            fleet.head = version;
            fleet.run(4000);
            assert_eq!(fleet.lagging(), [0; 0], "{mode} at version {version}");
        }
    }
}

#[test]
fn store_outage_after_accept() {
    let mut fleet = Fleet::start(20, 3, options(Mode::Tree), 2);
    fleet.head = 1;
    fleet.run(4000);
    // The accepting node has what it validated; the platform fails right after.
    fleet.head = 2;
    fleet.table_up = false;
    fleet.event(7, Event::Accepted(Arc::new(complete(2))));
    fleet.run(4000);
    assert_eq!(fleet.lagging(), [0; 0]);
}

#[test]
fn boot_from_peers_alone() {
    let mut fleet = Fleet::start(12, 3, options(Mode::Tree), 3);
    fleet.head = 3;
    fleet.run(4000);
    fleet.table_up = false;
    fleet.boot(5);
    fleet.in_force[5] = 0;
    fleet.see_all(5);
    fleet.event(5, Event::FloorLearned(Version(3)));
    fleet.run(4000);
    assert_eq!(fleet.in_force[5], 3);
}

#[test]
fn nothing_below_floor() {
    let mut fleet = Fleet::start(3, 1, options(Mode::Tree), 4);
    fleet.head = 2;
    fleet.run(4000);
    // The address had version 9 in force; what its peers have is older.
    fleet.boot(0);
    fleet.event(0, Event::FloorLearned(Version(9)));
    let machine = fleet.machines[0].as_ref().unwrap();
    assert!(!machine.is_ready());
    fleet.head = 9;
    fleet.in_force[0] = 0;
    fleet.see_all(0);
    fleet.run(4000);
    assert!(fleet.machines[0].as_ref().unwrap().is_ready());
    assert_eq!(fleet.in_force[0], 9);
}

#[test]
fn unknown_floor_serves_nothing() {
    let mut fleet = Fleet::start(3, 1, options(Mode::Tree), 4);
    fleet.table_up = false;
    fleet.boot(1);
    fleet.run(10_000);
    assert!(!fleet.machines[1].as_ref().unwrap().is_ready());
}

#[test]
fn cut_domain_catches_up() {
    let mut fleet = Fleet::start(24, 4, options(Mode::Tree), 5);
    fleet.head = 1;
    fleet.run(4000);
    fleet.cut = (0..24).filter(|n| n % 4 == 0).collect();
    (0..24).for_each(|n| fleet.see_all(n));
    for version in 2..=4 {
        fleet.head = version;
        fleet.run(4000);
        assert!(fleet.lagging().iter().all(|n| fleet.cut.contains(n)), "version {version}");
    }
    fleet.cut.clear();
    (0..24).for_each(|n| fleet.see_all(n));
    fleet.run(4000);
    assert_eq!(fleet.lagging(), [0; 0]);
}

#[test]
fn lost_and_doubled_pushes() {
    for seed in 0..8 {
        let mut fleet = Fleet::start(30, 3, options(Mode::Tree), seed);
        fleet.loss = 0.3;
        fleet.duplicates = 0.3;
        for version in 1..=4 {
            fleet.head = version;
            fleet.run(4000);
            assert_eq!(fleet.lagging(), [0; 0], "seed {seed} version {version}");
        }
    }
}

#[test]
fn dead_members_in_the_tree() {
    let mut fleet = Fleet::start(40, 2, options(Mode::Tree), 6);
    fleet.head = 1;
    fleet.run(4000);
    // The others still see those that died.
    for n in (0..40).filter(|n| n % 3 == 0) {
        fleet.machines[n] = None;
    }
    fleet.head = 2;
    fleet.run(4000);
    assert_eq!(fleet.lagging(), [0; 0]);
}

#[test]
fn bad_version_is_refused_whole() {
    let mut fleet = Fleet::start(10, 2, options(Mode::Tree), 7);
    fleet.head = 1;
    fleet.run(4000);
    fleet.bad = [2].into();
    fleet.head = 2;
    fleet.run(4000);
    for (n, machine) in fleet.machines.iter().flatten().enumerate() {
        assert_eq!((machine.version(), machine.refused()), (Version(1), Version(2)), "node {n}");
    }
    fleet.head = 3;
    fleet.run(4000);
    assert_eq!(fleet.lagging(), [0; 0]);
}

#[test]
fn only_changed_sections_travel() {
    let update = difference(5, 6);
    assert!(update.changed.len() < complete(6).changed.len());
    assert_eq!(update.base, Version(5));
}

#[test]
fn paused_poller_resumes() {
    let mut fleet = Fleet::start(8, 1, options(Mode::Tree), 9);
    fleet.head = 1;
    fleet.run(4000);
    // A poller that was paused during versions 2 to 5 acts on what it read before.
    let stale =
        Event::TableRead { version: Version(2), manifest: Some(common::manifest(2).digest()) };
    fleet.head = 5;
    fleet.run(4000);
    for n in 0..8 {
        fleet.event(n, stale.clone());
    }
    fleet.run(2000);
    assert!(fleet.in_force.iter().all(|v| *v == 5), "{:?}", fleet.in_force);
}
