//! A source with a feed: one poll at a time waits for news, is made again at once, and nobody
//! pushes to those who wait themselves.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{complete, manifest, peer};
use goldcresttally_core::{MonoTime, Version};
use goldcresttally_distribution::{Action, Distribution, Event, Options, Source};

const START: MonoTime = MonoTime::from_millis(1000);

fn machine(own: usize, pollers: usize) -> Distribution {
    let options = Options { long_poll: true, pollers, ..Options::default() };
    Distribution::new(options, peer(own, 1), 7, START)
}

fn step(machine: &mut Distribution, now: MonoTime, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    machine.on_event(now, event, &mut actions);
    actions
}

fn polls(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Poll)).count()
}

/// Ticks for `ms`; returns the polls that are asked for.
fn run(machine: &mut Distribution, now: &mut MonoTime, ms: u64) -> usize {
    let mut count = 0;
    for _ in 0..ms / 50 {
        *now = *now + Duration::from_millis(50);
        count += polls(&step(machine, *now, Event::Tick));
    }
    count
}

#[test]
fn one_watch_at_a_time() {
    let mut machine = machine(0, 2);
    let mut now = START;
    assert_eq!(run(&mut machine, &mut now, 30_000), 1);
    let head = Event::TableRead { version: Version(0), manifest: None };
    assert_eq!(polls(&step(&mut machine, now, head)), 1);
    assert_eq!(run(&mut machine, &mut now, 30_000), 0);
}

#[test]
fn a_broken_feed_is_tried_again() {
    let mut machine = machine(0, 2);
    let mut now = START;
    run(&mut machine, &mut now, 2000);
    for _ in 0..5 {
        assert_eq!(polls(&step(&mut machine, now, Event::PollFailed)), 0);
        assert_eq!(run(&mut machine, &mut now, 1500), 1);
    }
}

#[test]
fn watchers_get_no_pushes() {
    for (pollers, expected) in [(64, 0), (1, 2)] {
        // The first of a domain, whichever it is, passes a version on to those that do not watch.
        let pushed: usize = (0..3).map(|own| pushes_of(own, pollers)).sum();
        assert_eq!(pushed, expected, "{pollers} watchers");
    }
}

/// Returns the pushes of one of three members that gets a version from the feed.
fn pushes_of(own: usize, pollers: usize) -> usize {
    let mut machine = machine(own, pollers);
    let others = (0..3).filter(|n| *n != own).map(|n| peer(n, 1)).collect();
    step(&mut machine, START, Event::MembersChanged(others));
    let head = Event::TableRead { version: Version(1), manifest: Some(manifest(1).digest()) };
    step(&mut machine, START, head);
    let fetched = Event::Fetched { source: Source::Platform, update: Arc::new(complete(1)) };
    step(&mut machine, START, fetched);
    let actions = step(&mut machine, START, Event::Installed(Version(1)));
    actions.iter().filter(|a| matches!(a, Action::Push { .. })).count()
}
