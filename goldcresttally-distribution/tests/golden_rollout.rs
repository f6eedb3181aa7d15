//! Compares a simulated rollout with a partition, a restart and a table outage with a golden file.
//!
//! `UPDATE_GOLDEN=1` rewrites the file; review the resulting difference.

mod common;

use common::Fleet;
use goldcresttally_core::Version;
use goldcresttally_distribution::{Event, Options};

const GOLDEN: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/rollout.txt");

fn run() -> String {
    let mut fleet = Fleet::start(6, 2, Options::default(), 42);
    fleet.newest = 1;
    fleet.run(3000);
    fleet.partitioned = [0, 2].into();
    (0..6).for_each(|n| fleet.update_members(n));
    fleet.newest = 2;
    fleet.run(3000);
    fleet.table_up = false;
    fleet.partitioned.clear();
    (0..6).for_each(|n| fleet.update_members(n));
    fleet.start_node(3);
    fleet.in_force[3] = 0;
    fleet.update_members(3);
    fleet.event(3, Event::FloorLearned(Version(2)));
    fleet.run(3000);
    fleet.log.push(format!("reads {} pushes {}", fleet.reads, fleet.pushes));
    fleet.log.join("\n") + "\n"
}

#[test]
fn rollout_matches_golden_file() {
    let log = run();
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        std::fs::write(GOLDEN, &log).unwrap();
    }
    let golden = std::fs::read_to_string(GOLDEN).unwrap();
    assert_eq!(log, golden);
}
