//! A whole run, with a cut, a restart and an outage, compared with its golden file.
//!
//! With `UPDATE_GOLDEN=1` the file is written anew; the difference then belongs in the review.

mod common;

use common::Fleet;
use goldcresttally_core::Version;
use goldcresttally_distribution::{Event, Options};

const GOLDEN: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/rollout.txt");

fn run() -> String {
    let mut fleet = Fleet::start(6, 2, Options::default(), 42);
    fleet.head = 1;
    fleet.run(3000);
    fleet.cut = [0, 2].into();
    (0..6).for_each(|n| fleet.see_all(n));
    fleet.head = 2;
    fleet.run(3000);
    fleet.table_up = false;
    fleet.cut.clear();
    (0..6).for_each(|n| fleet.see_all(n));
    fleet.boot(3);
    fleet.in_force[3] = 0;
    fleet.see_all(3);
    fleet.event(3, Event::FloorLearned(Version(2)));
    fleet.run(3000);
    fleet.log.push(format!("reads {} pushes {}", fleet.reads, fleet.pushes));
    fleet.log.join("\n") + "\n"
}

#[test]
fn rollout_is_as_recorded() {
    let log = run();
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        std::fs::write(GOLDEN, &log).unwrap();
    }
    let golden = std::fs::read_to_string(GOLDEN).unwrap();
    assert_eq!(log, golden);
}
