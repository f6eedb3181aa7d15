//! Long polling: a node has at most one poll in progress and repeats it immediately, and no
//! versions are pushed to the nodes that poll.

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
    actions.iter().filter(|a| matches!(a, Action::Poll { .. })).count()
}

/// Ticks for `ms` milliseconds; returns the number of requested polls.
fn run(machine: &mut Distribution, now: &mut MonoTime, ms: u64) -> usize {
    let mut count = 0;
    for _ in 0..ms / 50 {
        *now = *now + Duration::from_millis(50);
        count += polls(&step(machine, *now, Event::Tick));
    }
    count
}

#[test]
fn at_most_one_long_poll_in_progress() {
    let mut machine = machine(0, 2);
    let mut now = START;
    let mut in_progress = 0_usize;
    for n in 0..1200 {
        now = now + Duration::from_millis(50);
        let answered = n % 100 == 99 && in_progress == 1;
        let table_read = Event::TableRead { version: Version(0), manifest: None, position: None };
        let actions = step(&mut machine, now, if answered { table_read } else { Event::Tick });
        in_progress -= usize::from(answered);
        for action in actions {
            match action {
                Action::Poll { hold_until, .. } => {
                    assert!(!hold_until.is_past(now), "the table may not hold the poll");
                    in_progress += 1;
                }
                Action::AbandonPoll => in_progress -= 1,
                _ => {}
            }
            assert!(in_progress <= 1, "{in_progress} polls in progress");
        }
    }
    assert_eq!(in_progress, 1);
}

#[test]
fn answer_that_keeps_arriving_is_not_abandoned() {
    let mut machine = machine(0, 2);
    let mut now = START;
    run(&mut machine, &mut now, 2000);
    for _ in 0..200 {
        now = now + Duration::from_millis(50);
        let mut actions = step(&mut machine, now, Event::PollProgress);
        actions.extend(step(&mut machine, now, Event::Tick));
        assert!(actions.is_empty(), "{actions:?}");
    }
}

#[test]
fn failed_long_poll_is_retried() {
    let mut machine = machine(0, 2);
    let mut now = START;
    run(&mut machine, &mut now, 2000);
    for _ in 0..5 {
        assert_eq!(polls(&step(&mut machine, now, Event::PollFailed)), 0);
        assert_eq!(run(&mut machine, &mut now, 1500), 1);
    }
}

#[test]
fn pollers_receive_no_pushes() {
    for (pollers, expected) in [(64, 0), (1, 2)] {
        // Only the root of the domain pushes, and only to the members that do not poll.
        let pushed: usize = (0..3).map(|own| pushes_of(own, pollers)).sum();
        assert_eq!(pushed, expected, "{pollers} pollers");
    }
}

/// Returns the number of pushes by member `own` of three when it gets a version by long poll.
fn pushes_of(own: usize, pollers: usize) -> usize {
    let mut machine = machine(own, pollers);
    let others = (0..3).filter(|n| *n != own).map(|n| peer(n, 1)).collect();
    step(&mut machine, START, Event::MembersChanged(others));
    let table_read = Event::TableRead {
        version: Version(1),
        manifest: Some(manifest(1).digest()),
        position: None,
    };
    step(&mut machine, START, table_read);
    let fetched = Event::Fetched { source: Source::Platform, update: Arc::new(complete(1)) };
    step(&mut machine, START, fetched);
    let actions = step(&mut machine, START, Event::Installed(Version(1)));
    actions.iter().filter(|a| matches!(a, Action::Push { .. })).count()
}
