//! Processes that run in turn at one address: what is late says nothing of the one that runs.

use std::time::Duration;

use goldcresttally_core::{Generation, MonoTime};
use goldcresttally_membership::{
    AnnounceOutcome, Announcement, Registry, UpstreamProcess, UpstreamState,
};

const NOW: MonoTime = MonoTime::from_millis(1000);

fn says(instance: &str, generation: u64, sequence: u64, state: UpstreamState) -> Announcement {
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
fn overtaken_announcements() {
    let mut registry = Registry::default();
    registry.announce(NOW, says("i-1", 5, 2, UpstreamState::Ready));
    assert_eq!(
        registry.announce(NOW, says("i-1", 5, 3, UpstreamState::Ready)),
        AnnounceOutcome::Renewed
    );
    assert_eq!(
        registry.announce(NOW, says("i-1", 5, 3, UpstreamState::Ready)),
        AnnounceOutcome::Stale
    );
    let drain = says("i-1", 5, 7, UpstreamState::Draining);
    assert_eq!(registry.announce(NOW, drain), AnnounceOutcome::Changed);
    assert_eq!(
        registry.announce(NOW, says("i-1", 5, 6, UpstreamState::Ready)),
        AnnounceOutcome::Stale
    );
    registry.announce(NOW, says("i-1", 5, 8, UpstreamState::Ready));
    assert_eq!(states(&registry), [UpstreamState::Draining]);
}

#[test]
fn the_end_is_final_for_one_process() {
    let mut registry = Registry::default();
    registry.announce(NOW, says("i-1", 5, 2, UpstreamState::Ready));
    let id = "i-1".parse().unwrap();
    assert!(registry.withdraw_process(&id, Some(Generation(5))).is_some());
    assert_eq!(
        registry.announce(NOW, says("i-1", 5, 9, UpstreamState::Ready)),
        AnnounceOutcome::Stale
    );
    // The same name, started again; the end of its forerunner comes late, twice.
    assert_eq!(
        registry.announce(NOW, says("i-1", 6, 1, UpstreamState::Ready)),
        AnnounceOutcome::Changed
    );
    assert!(registry.withdraw_process(&id, Some(Generation(5))).is_none());
    assert_eq!(states(&registry), [UpstreamState::Ready]);
}

#[test]
fn any_order_ends_with_the_latest_process() {
    // Whatever the order in which announcements of three processes arrive, the latest one holds.
    arbtest::arbtest(|u| {
        let mut registry = Registry::new(Duration::from_mins(1));
        let mut left: Vec<_> =
            (0..3).flat_map(|p| (1..4).map(move |s| (p, s))).collect::<Vec<(u64, u64)>>();
        while !left.is_empty() {
            let (process, sequence) = left.swap_remove(u.choose_index(left.len())?);
            let name = format!("i-{process}");
            registry.announce(NOW, says(&name, process + 10, sequence, UpstreamState::Ready));
        }
        let held = registry.current(NOW);
        assert_eq!(held.len(), 1);
        assert_eq!(held[0].process.as_ref().unwrap().instance.as_str(), "i-2");
        Ok(())
    });
}

#[test]
fn an_end_is_heard_first() {
    // The node has just started: the process's last heartbeat comes after its end.
    let mut registry = Registry::default();
    let id = "i-1".parse().unwrap();
    assert!(registry.withdraw_process(&id, Some(Generation(5))).is_none());
    assert_eq!(
        registry.announce(NOW, says("i-1", 5, 9, UpstreamState::Ready)),
        AnnounceOutcome::Stale
    );
    assert_eq!(states(&registry), []);
    // The same name, started again, and another name.
    assert_eq!(
        registry.announce(NOW, says("i-1", 6, 1, UpstreamState::Ready)),
        AnnounceOutcome::Changed
    );
    assert_eq!(
        registry.announce(NOW, says("i-2", 7, 1, UpstreamState::Ready)),
        AnnounceOutcome::Changed
    );
}

#[test]
fn a_first_announcement_may_be_late() {
    // This node has started after the process, which may have left meanwhile.
    let mut registry = Registry::default();
    registry.require_confirmation_before(Generation(10));
    let ready = |sequence| says("i-1", 5, sequence, UpstreamState::Ready);
    assert_eq!(registry.announce(NOW, ready(31)), AnnounceOutcome::Unconfirmed);
    assert_eq!(registry.announce(NOW, ready(30)), AnnounceOutcome::Unconfirmed);
    assert_eq!(states(&registry), []);
    // A later one, or its own word, tells that it still runs.
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
fn what_has_left_is_not_confirmed() {
    let mut registry = Registry::default();
    registry.require_confirmation_before(Generation(10));
    let (address, id) = ("127.0.0.1:80".parse().unwrap(), "i-1".parse().unwrap());
    registry.announce(NOW, says("i-1", 5, 31, UpstreamState::Ready));
    registry.withdraw_process(&id, Some(Generation(9)));
    assert!(!registry.confirm(NOW, address, &id));
    assert_eq!(states(&registry), []);
    // A draining one needs no proof, and one that has started since is no old news.
    let drains = says("i-2", 6, 7, UpstreamState::Draining);
    assert_eq!(registry.announce(NOW, drains), AnnounceOutcome::Changed);
    assert_eq!(
        registry.announce(NOW, says("i-3", 11, 1, UpstreamState::Ready)),
        AnnounceOutcome::Changed
    );
}
