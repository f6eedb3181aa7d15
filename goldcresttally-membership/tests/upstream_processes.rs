//! Successive upstream processes at one address: late messages of an earlier process do not
//! affect the running one.

use std::time::Duration;

use goldcresttally_core::{Generation, MonoTime};
use goldcresttally_membership::{
    AnnounceOutcome, Announcement, Registry, UpstreamProcess, UpstreamState,
};

const NOW: MonoTime = MonoTime::from_millis(1000);

fn announcement(
    instance: &str,
    generation: u64,
    sequence: u64,
    state: UpstreamState,
) -> Announcement {
    Announcement {
        service: "booking".parse().unwrap(),
        address: "127.0.0.1:80".parse().unwrap(),
        slots: 4,
        state,
        process: Some(UpstreamProcess {
            instance: instance.parse().unwrap(),
            generation: Generation(generation),
            sequence,
        }),
        release: None,
        cold_left: std::time::Duration::ZERO,
    }
}

fn states(registry: &Registry) -> Vec<UpstreamState> {
    registry.current(NOW).iter().map(|a| a.state).collect()
}

#[test]
fn reordered_announcements_are_stale() {
    let mut registry = Registry::default();
    registry.announce(NOW, announcement("i-1", 5, 2, UpstreamState::Ready));
    assert_eq!(
        registry.announce(NOW, announcement("i-1", 5, 3, UpstreamState::Ready)),
        AnnounceOutcome::Renewed
    );
    assert_eq!(
        registry.announce(NOW, announcement("i-1", 5, 3, UpstreamState::Ready)),
        AnnounceOutcome::Stale
    );
    let drain = announcement("i-1", 5, 7, UpstreamState::Draining);
    assert_eq!(registry.announce(NOW, drain), AnnounceOutcome::Changed);
    assert_eq!(
        registry.announce(NOW, announcement("i-1", 5, 6, UpstreamState::Ready)),
        AnnounceOutcome::Stale
    );
    registry.announce(NOW, announcement("i-1", 5, 8, UpstreamState::Ready));
    assert_eq!(states(&registry), [UpstreamState::Draining]);
}

#[test]
fn end_of_process_is_final_but_spares_its_successor() {
    let mut registry = Registry::default();
    registry.announce(NOW, announcement("i-1", 5, 2, UpstreamState::Ready));
    let id = "i-1".parse().unwrap();
    assert!(registry.withdraw_process(&id, Generation(5)).is_some());
    assert_eq!(
        registry.announce(NOW, announcement("i-1", 5, 9, UpstreamState::Ready)),
        AnnounceOutcome::Stale
    );
    // The same instance name is started again; the end of the earlier process is repeated late.
    assert_eq!(
        registry.announce(NOW, announcement("i-1", 6, 1, UpstreamState::Ready)),
        AnnounceOutcome::Changed
    );
    assert!(registry.withdraw_process(&id, Generation(5)).is_none());
    assert_eq!(states(&registry), [UpstreamState::Ready]);
}

#[test]
fn latest_process_wins_in_any_order() {
    // The latest process wins in whatever order the announcements of three processes arrive.
    arbtest::arbtest(|u| {
        let mut registry = Registry::new(Duration::from_mins(1));
        let mut remaining: Vec<_> =
            (0..3).flat_map(|p| (1..4).map(move |s| (p, s))).collect::<Vec<(u64, u64)>>();
        while !remaining.is_empty() {
            let (process, sequence) = remaining.swap_remove(u.choose_index(remaining.len())?);
            let name = format!("i-{process}");
            registry
                .announce(NOW, announcement(&name, process + 10, sequence, UpstreamState::Ready));
        }
        let registered = registry.current(NOW);
        assert_eq!(registered.len(), 1);
        assert_eq!(registered[0].process.as_ref().unwrap().instance.as_str(), "i-2");
        Ok(())
    });
}

#[test]
fn announcement_after_end_is_stale() {
    // A recently started node receives the end of a process before its last heartbeat.
    let mut registry = Registry::default();
    let id = "i-1".parse().unwrap();
    assert!(registry.withdraw_process(&id, Generation(5)).is_none());
    assert_eq!(
        registry.announce(NOW, announcement("i-1", 5, 9, UpstreamState::Ready)),
        AnnounceOutcome::Stale
    );
    assert_eq!(states(&registry), []);
    // A restart under the same name and another instance are accepted.
    assert_eq!(
        registry.announce(NOW, announcement("i-1", 6, 1, UpstreamState::Ready)),
        AnnounceOutcome::Changed
    );
    assert_eq!(
        registry.announce(NOW, announcement("i-2", 7, 1, UpstreamState::Ready)),
        AnnounceOutcome::Changed
    );
}

/// The start time of the node in the tests of confirmation, by its clock.
const STARTED: u64 = 100_000;

fn recently_started_registry() -> Registry {
    let mut registry = Registry::default();
    registry.require_confirmation_before(Generation(STARTED));
    registry
}

fn process(announcement: &Announcement) -> UpstreamProcess {
    announcement.process.clone().unwrap()
}

/// Confirms an announcement as the driver does once the process has said that it serves.
fn confirm(registry: &mut Registry, announcement: &Announcement) -> bool {
    registry.confirm(NOW, announcement.address, &process(announcement))
}

#[test]
fn announcement_of_older_process_needs_confirmation() {
    let mut registry = recently_started_registry();
    let ready = |sequence| announcement("i-1", 5, sequence, UpstreamState::Ready);
    assert_eq!(registry.announce(NOW, ready(31)), AnnounceOutcome::Unconfirmed);
    assert_eq!(states(&registry), []);
    assert!(confirm(&mut registry, &ready(31)));
    assert_eq!(states(&registry), [UpstreamState::Ready]);
    assert_eq!(registry.announce(NOW, ready(32)), AnnounceOutcome::Renewed);
}

#[test]
fn delayed_announcements_do_not_confirm_each_other() {
    // The process said to the previous node that it had left; any number of its earlier
    // announcements may have been delayed until after that.
    let mut registry = recently_started_registry();
    for sequence in [31, 30, 32, 33, 34, 60] {
        let ready = announcement("i-1", 5, sequence, UpstreamState::Ready);
        assert_eq!(registry.announce(NOW, ready), AnnounceOutcome::Unconfirmed);
    }
    assert_eq!(states(&registry), []);
}

#[test]
fn upstream_is_asked_once_at_a_time() {
    let mut registry = recently_started_registry();
    let first = announcement("i-1", 5, 31, UpstreamState::Ready);
    let begin =
        |registry: &mut Registry| registry.begin_confirmation(first.address, &process(&first));
    registry.announce(NOW, first.clone());
    assert!(begin(&mut registry));
    registry.announce(NOW, announcement("i-1", 5, 32, UpstreamState::Ready));
    assert!(!begin(&mut registry));
    registry.abandon_confirmation(first.address, &process(&first));
    assert!(!registry.awaits_confirmation(first.address, &process(&first)));
    registry.announce(NOW, announcement("i-1", 5, 33, UpstreamState::Ready));
    assert!(begin(&mut registry));
}

#[test]
fn stepped_clock_does_not_replace_confirmation() {
    // The node started while its clock was behind, so the process that left before that seems to
    // have started later.
    let mut registry = recently_started_registry();
    for (instance, generation) in [("i-1", STARTED + 2000), ("i-2", 0)] {
        let ready = announcement(instance, generation, 4, UpstreamState::Ready);
        assert_eq!(registry.announce(NOW, ready), AnnounceOutcome::Unconfirmed);
    }
    // This one certainly started later.
    let later = announcement("i-3", STARTED + 60_000, 1, UpstreamState::Ready);
    assert_eq!(registry.announce(NOW, later), AnnounceOutcome::Changed);
}

#[test]
fn later_process_of_an_ended_name_needs_confirmation() {
    // A malformed announcement may name an instance that has left, with any start time.
    let mut registry = recently_started_registry();
    let first = announcement("i-1", STARTED + 60_000, 1, UpstreamState::Ready);
    assert_eq!(registry.announce(NOW, first.clone()), AnnounceOutcome::Changed);
    registry.withdraw_process(&process(&first).instance, process(&first).generation);
    let later = announcement("i-1", STARTED + 90_000, 1, UpstreamState::Ready);
    assert_eq!(registry.announce(NOW, later.clone()), AnnounceOutcome::Unconfirmed);
    assert_eq!(states(&registry), []);
    assert!(confirm(&mut registry, &later));
    assert_eq!(states(&registry), [UpstreamState::Ready]);
}

#[test]
fn confirmed_process_replaces_an_earlier_one() {
    let mut registry = recently_started_registry();
    let earlier = announcement("i-1", 5, 1, UpstreamState::Ready);
    registry.announce(NOW, earlier.clone());
    confirm(&mut registry, &earlier);
    let later = announcement("i-2", 6, 1, UpstreamState::Ready);
    registry.announce(NOW, later.clone());
    confirm(&mut registry, &later);
    let current = registry.current(NOW);
    assert_eq!(current, [later]);
}

#[test]
fn ended_process_cannot_be_confirmed() {
    let mut registry = recently_started_registry();
    let id = "i-1".parse().unwrap();
    let ready = announcement("i-1", 5, 31, UpstreamState::Ready);
    registry.announce(NOW, ready.clone());
    assert_eq!(registry.generation_of(&id), Generation(5));
    registry.withdraw_process(&id, Generation(9));
    assert!(!confirm(&mut registry, &ready));
    assert_eq!(states(&registry), []);
    // A draining process needs no confirmation.
    let drains = announcement("i-2", 6, 7, UpstreamState::Draining);
    assert_eq!(registry.announce(NOW, drains), AnnounceOutcome::Changed);
}

#[test]
fn draining_process_does_not_become_ready_after_its_lease() {
    let mut registry = Registry::default();
    let ready = |sequence| announcement("i-1", 5, sequence, UpstreamState::Ready);
    registry.announce(NOW, ready(1));
    registry.drain(&ready(1).service, ready(1).address);
    let later = MonoTime::from_millis(60_000);
    assert_eq!(registry.expire(later).len(), 1);
    registry.announce(later, ready(2));
    let current: Vec<_> = registry.current(later).iter().map(|a| a.state).collect();
    assert_eq!(current, [UpstreamState::Draining]);
}
