//! Reordered, duplicated, delayed and corrupted updates never roll a node back or mix versions.

mod common;

use std::sync::Arc;

use common::{difference, node, peer, sections};
use goldcresttally_core::{MonoTime, Version};
use goldcresttally_distribution::{Action, Distribution, Event, Options, Source, VersionUpdate};

#[test]
fn version_in_force_only_increases() {
    arbtest::arbtest(|u| {
        let now = MonoTime::from_millis(1000);
        let mut machine = Distribution::new(Options::default(), peer(0, 1), 1, now);
        let mut in_force = 0;
        for _ in 0..u.int_in_range(0..=30)? {
            let version = u.int_in_range(1..=9)?;
            let base = u.int_in_range(0..=version - 1)?;
            let mut update = difference(base, version);
            corrupt(u, &mut update)?;
            let (update, from) = (Arc::new(update), node(u.int_in_range(1..=3)?));
            let event = match u.int_in_range(0..=4)? {
                0 => Event::Fetched { source: Source::Peer(from), update },
                1 => Event::PeerVersion { from, version: Version(version) },
                2 => Event::FloorLearned(Version(version)),
                3 => Event::Tick,
                _ => Event::Pushed { from, update },
            };
            let mut actions = Vec::new();
            machine.on_event(now, event, &mut actions);
            while let Some(action) = actions.pop() {
                let Action::Install(bundle) = action else { continue };
                let version = bundle.version();
                assert!(version.0 > in_force, "{version} after {in_force}");
                let expected: Vec<_> =
                    sections(version.0).into_iter().map(|s| (s.name, s.body)).collect();
                assert_eq!(bundle.sections(), expected);
                let refuse = u.ratio(1, 5)?;
                let event =
                    if refuse { Event::Refused(version) } else { Event::Installed(version) };
                in_force = if refuse { in_force } else { version.0 };
                machine.on_event(now, event, &mut actions);
                assert_eq!(machine.version().0, in_force);
            }
        }
        Ok(())
    });
}

/// Corrupts some of the updates, as a faulty peer would.
fn corrupt(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
    update: &mut VersionUpdate,
) -> arbtest::arbitrary::Result<()> {
    match u.int_in_range(0..=7)? {
        0 => drop(update.changed.pop()),
        1 => update.version = update.version.next(),
        2 => update.base = Version(u.int_in_range(0..=9)?),
        3 => update.changed.iter_mut().take(1).for_each(|s| s.body = Arc::from("other")),
        4 => update.removed.push("s0".parse().unwrap()),
        _ => {}
    }
    Ok(())
}
