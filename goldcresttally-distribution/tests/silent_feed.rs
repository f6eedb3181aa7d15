//! A change feed whose answer is lost does not keep a node from later versions.

mod common;

use std::time::Duration;

use common::{manifest, peer};
use goldcresttally_core::{MonoTime, Version};
use goldcresttally_distribution::{Action, Distribution, Event, Options};

const START: MonoTime = MonoTime::from_millis(1000);

/// Interval of ticks, in milliseconds.
const TICK_MS: u64 = 50;

/// Time after a disturbance within which a node must follow the feed again, in milliseconds:
/// from 3 s after it, versions have to be in force in time.
const RECOVERY_LIMIT_MS: u64 = 2800;

struct Node {
    machine: Distribution,
    now: MonoTime,
    polls: usize,
}

impl Node {
    fn start() -> Self {
        let options = Options { long_poll: true, pollers: 64, ..Options::default() };
        let machine = Distribution::new(options, peer(0, 1), 7, START);
        let mut node = Self { machine, now: START, polls: 0 };
        node.run_until_poll(3000);
        node.feed_answers(0);
        node
    }

    fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.machine.on_event(self.now, event, &mut actions);
        self.polls += actions.iter().filter(|a| matches!(a, Action::Poll { .. })).count();
    }

    fn tick(&mut self) {
        self.now = self.now + Duration::from_millis(TICK_MS);
        self.event(Event::Tick);
    }

    /// Answers the poll in progress; the machine polls again at once.
    fn feed_answers(&mut self, version: u64) {
        let manifest = (version > 0).then(|| manifest(version).digest());
        let polls = self.polls;
        self.event(Event::TableRead { version: Version(version), manifest, position: None });
        assert_eq!(self.polls, polls + 1);
    }

    /// Ticks until the machine polls; returns the time that it took, or `None` after `limit_ms`.
    fn run_until_poll(&mut self, limit_ms: u64) -> Option<Duration> {
        let (polls, from) = (self.polls, self.now);
        while self.now.since(from) < Duration::from_millis(limit_ms) {
            self.tick();
            if self.polls > polls {
                return Some(self.now.since(from));
            }
        }
        None
    }
}

#[test]
fn lost_feed_answer_is_noticed_before_next_version_is_due() {
    let mut node = Node::start();
    assert!(node.run_until_poll(RECOVERY_LIMIT_MS).is_some(), "the node waits for a lost answer");
}

#[test]
fn broken_feed_is_followed_again_at_once() {
    let mut node = Node::start();
    node.event(Event::PollFailed);
    let retried_after = node.run_until_poll(RECOVERY_LIMIT_MS).unwrap();
    assert!(retried_after <= Duration::from_millis(TICK_MS), "{retried_after:?}");
}

#[test]
fn repeatedly_failing_feed_is_not_polled_continuously() {
    let mut node = Node::start();
    let before = node.polls;
    let end = node.now + Duration::from_secs(10);
    while node.now < end {
        node.event(Event::PollFailed);
        node.run_until_poll(RECOVERY_LIMIT_MS);
    }
    let per_second = (node.polls - before) / 10;
    assert!((1..=4).contains(&per_second), "{per_second} polls per second");
}

#[test]
fn node_recovers_in_time_from_every_outage_length() {
    for outage_ms in (100..12_000).step_by(150) {
        let mut node = Node::start();
        let end = node.now + Duration::from_millis(outage_ms);
        // Polls that are made during the outage are never answered.
        while node.now < end {
            node.tick();
        }
        let recovered = node.run_until_poll(RECOVERY_LIMIT_MS);
        assert!(recovered.is_some(), "no poll after an outage of {outage_ms} ms");
    }
}
