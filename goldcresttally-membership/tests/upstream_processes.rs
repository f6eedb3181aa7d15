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
    assert!(registry.withdraw_process(&id, Some(Generation(5))).is_some());
    assert_eq!(
        registry.announce(NOW, announcement("i-1", 5, 9, UpstreamState::Ready)),
        AnnounceOutcome::Stale
    );
    // The same instance name is started again; the end of the earlier process is repeated late.
    assert_eq!(
        registry.announce(NOW, announcement("i-1", 6, 1, UpstreamState::Ready)),
        AnnounceOutcome::Changed
    );
    assert!(registry.withdraw_process(&id, Some(Generation(5))).is_none());
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
    assert!(registry.withdraw_process(&id, Some(Generation(5))).is_none());
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

#[test]
fn first_announcement_of_older_process_needs_confirmation() {
    // The node started after the process, which may have ended meanwhile.
    let mut registry = Registry::default();
    registry.require_confirmation_before(Generation(10));
    let ready = |sequence| announcement("i-1", 5, sequence, UpstreamState::Ready);
    assert_eq!(registry.announce(NOW, ready(31)), AnnounceOutcome::Unconfirmed);
    assert_eq!(registry.announce(NOW, ready(30)), AnnounceOutcome::Unconfirmed);
    assert_eq!(states(&registry), []);
    // A later announcement or a confirmation shows that it still runs.
    assert_eq!(registry.announce(NOW, ready(32)), AnnounceOutcome::Changed);
    assert_eq!(states(&registry), [UpstreamState::Ready]);
    let mut registry = Registry::default();
    registry.require_confirmation_before(Generation(10));
    let (address, id) = ("127.0.0.1:80".parse().unwrap(), "i-1".parse().unwrap());
    registry.announce(NOW, ready(31));
    assert!(registry.confirm(NOW, address, &id));
    assert_eq!(states(&registry), [UpstreamState::Ready]);
    assert_eq!(registry.announce(NOW, ready(32)), AnnounceOutcome::Renewed);
}

#[test]
fn ended_process_cannot_be_confirmed() {
    let mut registry = Registry::default();
    registry.require_confirmation_before(Generation(10));
    let (address, id) = ("127.0.0.1:80".parse().unwrap(), "i-1".parse().unwrap());
    registry.announce(NOW, announcement("i-1", 5, 31, UpstreamState::Ready));
    registry.withdraw_process(&id, Some(Generation(9)));
    assert!(!registry.confirm(NOW, address, &id));
    assert_eq!(states(&registry), []);
    // A draining process and one that started after the node need no confirmation.
    let drains = announcement("i-2", 6, 7, UpstreamState::Draining);
    assert_eq!(registry.announce(NOW, drains), AnnounceOutcome::Changed);
    assert_eq!(
        registry.announce(NOW, announcement("i-3", 11, 1, UpstreamState::Ready)),
        AnnounceOutcome::Changed
    );
}
