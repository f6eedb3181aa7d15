//! Pushes a version to a node, then an older one that arrives late and is dropped.
//!
//! Run with `cargo run -p goldcresttally-distribution --example rollout`.

use std::sync::Arc;

use goldcresttally_config::{Manifest, SectionEntry};
use goldcresttally_core::{MonoTime, NodeId, Version};
use goldcresttally_distribution::{
    Action, ChangedSection, Distribution, Event, Options, Peer, VersionUpdate,
};

fn update(version: u64) -> Arc<VersionUpdate> {
    let body = Arc::from(format!("# version {version}"));
    let changed = vec![ChangedSection { name: "booking".parse().expect("a name"), body }];
    let entries: Vec<SectionEntry> = changed.iter().map(ChangedSection::entry).collect();
    let manifest = Manifest::new(Version(version), entries).digest();
    let (version, base) = (Version(version), Version(0));
    Arc::new(VersionUpdate { version, base, manifest, changed, removed: Vec::new() })
}

fn main() {
    let now = MonoTime::from_millis(0);
    let address = |n: u8| NodeId(std::net::SocketAddr::from(([10, 0, 0, n], 7400)));
    let peer = |n| Peer::new(address(n), "zone-a".parse().expect("a name"));
    let mut machine = Distribution::new(Options::default(), peer(1), 7, now);
    let mut events = vec![
        Event::MembersChanged((2..=4).map(peer).collect()),
        Event::FloorLearned(Version(0)),
        Event::Pushed { from: address(2), update: update(2) },
        Event::Pushed { from: address(3), update: update(1) },
    ];
    events.reverse();
    while let Some(event) = events.pop() {
        let mut actions = Vec::new();
        machine.on_event(now, event, &mut actions);
        for action in actions {
            match action {
                // A real driver builds the snapshot here and swaps it in, or refuses it.
                Action::Install(bundle) => {
                    println!("install version {}", bundle.version());
                    events.push(Event::Installed(bundle.version()));
                }
                Action::Push { to, update } => println!("push version {} to {to}", update.version),
                other => println!("{other:?}"),
            }
        }
    }
    println!("version {} is in force", machine.version());
}
