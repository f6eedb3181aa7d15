//! The reads of the table stay under their limit however a partition splits the fleet.

mod common;

use std::time::Duration;

use common::{node, peer};
use goldcresttally_core::MonoTime;
use goldcresttally_distribution::{Action, Distribution, Event, Options, Peer};

/// Number of nodes that the fleet is expected to have in two years.
const FLEET_SIZE: usize = 3700;

/// A tenth of the 2,000 reads per second that the platform supports.
const READS_LIMIT_PER_S: f64 = 200.0;

/// Returns the read rate of a fleet that is split into groups of `group` nodes which see only
/// each other.
fn reads_per_s(group: usize, seconds: u64) -> f64 {
    let options = Options { fleet_size: FLEET_SIZE as u32, ..Options::default() };
    let start = MonoTime::from_millis(1000);
    let mut machines: Vec<_> = (0..FLEET_SIZE)
        .map(|n| {
            let own = Peer::new(node(n), "d".parse().unwrap());
            let mut machine = Distribution::new(options.clone(), own, n as u64, start);
            let first = n / group * group;
            let others = (first..(first + group).min(FLEET_SIZE)).filter(|o| *o != n);
            let others =
                others.map(|o| Peer { domain: "d".parse().unwrap(), ..peer(o, 1) }).collect();
            machine.on_event(start, Event::MembersChanged(others), &mut Vec::new());
            machine
        })
        .collect();
    let mut reads = 0;
    let mut actions = Vec::new();
    for tick in 0..seconds * 5 {
        let now = start + Duration::from_millis(tick * 200);
        for machine in &mut machines {
            machine.on_event(now, Event::Tick, &mut actions);
            let polls = actions.drain(..).filter(|a| matches!(a, Action::Poll { .. })).count();
            reads += polls;
            for _ in 0..polls {
                let event = Event::TableRead {
                    version: goldcresttally_core::Version(0),
                    manifest: None,
                    position: None,
                };
                machine.on_event(now, event, &mut actions);
            }
        }
    }
    reads as f64 / seconds as f64
}

#[test]
fn isolated_nodes_stay_under_read_limit() {
    let rate = reads_per_s(1, 30);
    assert!(rate <= READS_LIMIT_PER_S, "{rate} reads a second");
}

#[test]
fn small_groups_stay_under_read_limit() {
    for group in [3, 20] {
        let rate = reads_per_s(group, 15);
        assert!(rate <= READS_LIMIT_PER_S, "groups of {group}: {rate} reads a second");
    }
}

#[test]
fn whole_domains_read_rarely() {
    let rate = reads_per_s(370, 10);
    assert!(rate <= 25.0, "{rate} reads a second");
}
