//! A fetch from a peer that brings nothing delays no version that another source has.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{complete, difference, manifest, node, peer};
use goldcresttally_core::{MonoTime, NodeId, Version};
use goldcresttally_distribution::{Action, Distribution, Event, Options, Source};

const START: MonoTime = MonoTime::from_millis(1000);

/// Interval of ticks, in milliseconds.
const TICK_MS: u64 = 50;

/// Time within which a version that some source has must be fetched from it, in milliseconds; nodes
/// have 2 s to put it in force.
const FETCH_LIMIT_MS: u64 = 1500;

struct Node {
    machine: Distribution,
    now: MonoTime,
}

impl Node {
    /// Starts a node that has version 1 in force and follows the change feed.
    fn start() -> Self {
        let options = Options { long_poll: true, pollers: 64, ..Options::default() };
        let mut node =
            Self { machine: Distribution::new(options, peer(0, 1), 7, START), now: START };
        node.event(Event::MembersChanged((1..8).map(|n| peer(n, 1)).collect()));
        node.event(Event::FloorLearned(Version(1)));
        node.event(Event::Pushed { from: common::node(1), update: Arc::new(complete(1)) });
        node.event(Event::Installed(Version(1)));
        assert_eq!(node.machine.version(), Version(1));
        node
    }

    fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.machine.on_event(self.now, event, &mut actions);
        actions
    }

    /// Ticks for at most `ms` milliseconds, until a fetch is requested; returns its source.
    fn next_fetch(&mut self, ms: u64) -> Option<Source> {
        for _ in 0..ms / TICK_MS {
            self.now = self.now + Duration::from_millis(TICK_MS);
            if let Some(source) = fetch_source(&self.event(Event::Tick)) {
                return Some(source);
            }
        }
        None
    }

    fn report(&mut self, from: usize, version: u64) -> Vec<Action> {
        self.event(Event::PeerVersion { from: node(from), version: Version(version) })
    }

    fn feed_delivers(&mut self, version: u64) -> Vec<Action> {
        let manifest = Some(manifest(version).digest());
        self.event(Event::TableRead { version: Version(version), manifest, position: None })
    }

    /// Answers a fetch from the peer `from` with the peer's version.
    fn peer_answers(&mut self, from: NodeId, base: u64, version: u64) -> Vec<Action> {
        let update = Arc::new(difference(base, version));
        self.event(Event::Fetched { source: Source::Peer(from), update })
    }
}

fn fetch_source(actions: &[Action]) -> Option<Source> {
    actions.iter().find_map(|action| match action {
        Action::Fetch { source, .. } => Some(*source),
        _ => None,
    })
}

#[test]
fn silent_peer_does_not_delay_version_from_own_feed() {
    let mut node = Node::start();
    node.report(3, 2);
    assert_eq!(node.next_fetch(FETCH_LIMIT_MS), Some(Source::Peer(common::node(3))));
    assert_eq!(fetch_source(&node.feed_delivers(2)), Some(Source::Platform));
}

#[test]
fn pending_repair_does_not_delay_version_from_own_feed() {
    let mut node = Node::start();
    node.report(3, 2);
    assert_eq!(fetch_source(&node.feed_delivers(2)), Some(Source::Platform));
}

#[test]
fn silent_peers_do_not_delay_fetch_from_live_one() {
    let mut node = Node::start();
    // The last one to report is asked first.
    for from in [2, 3, 4] {
        node.report(from, 2);
    }
    assert_eq!(node.next_fetch(FETCH_LIMIT_MS), Some(Source::Peer(common::node(4))));
    let asked_at = node.now;
    while node.next_fetch(TICK_MS) != Some(Source::Peer(common::node(2))) {
        let waited_ms = node.now.since(asked_at).as_millis();
        assert!(waited_ms <= u128::from(FETCH_LIMIT_MS), "the live peer was not asked");
    }
}

#[test]
fn peer_with_older_version_than_reported_is_not_asked_again() {
    let mut node = Node::start();
    node.report(3, 3);
    node.report(4, 3);
    let Some(Source::Peer(first)) = node.next_fetch(FETCH_LIMIT_MS) else {
        panic!("no fetch from a peer")
    };
    // The peer has restarted since its report, and has less than that now.
    let actions = node.peer_answers(first, 0, 1);
    let next = fetch_source(&actions).or_else(|| node.next_fetch(FETCH_LIMIT_MS));
    assert!(next.is_some_and(|source| source != Source::Peer(first)), "{next:?}");
}

#[test]
fn peer_below_floor_does_not_hide_own_feed() {
    let mut node = Node::start();
    node.report(3, 2);
    assert!(node.next_fetch(FETCH_LIMIT_MS).is_some());
    // The feed delivers version 3, so that nothing older may be put in force.
    node.feed_delivers(3);
    let peer = common::node(3);
    let actions = node.peer_answers(peer, 1, 2);
    assert_ne!(fetch_source(&actions), Some(Source::Peer(peer)));
    let update = Arc::new(difference(1, 3));
    let actions = node.event(Event::Fetched { source: Source::Platform, update });
    assert!(actions.iter().any(|a| matches!(a, Action::Install(_))));
}

#[test]
fn version_that_feed_is_delivering_is_not_fetched_from_peers_too() {
    let mut node = Node::start();
    // Without an answer for some time, peers are asked.
    while !node.event(Event::Tick).iter().any(|a| matches!(a, Action::Poll { .. })) {
        node.now = node.now + Duration::from_millis(TICK_MS);
    }
    node.report(3, 2);
    for _ in 0..FETCH_LIMIT_MS / TICK_MS {
        assert!(node.event(Event::PollProgress).is_empty());
        assert_eq!(node.next_fetch(TICK_MS), None);
    }
    assert!(node.next_fetch(FETCH_LIMIT_MS).is_some());
}
