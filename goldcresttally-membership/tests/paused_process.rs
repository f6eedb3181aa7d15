//! A process that was paused doubts what it knew, and acts on no lease that lapsed meanwhile.

mod common;

use std::time::Duration;

use common::Net;
use goldcresttally_core::MonoTime;
use goldcresttally_membership::registry::LEASE_MS;
use goldcresttally_membership::{
    Action, AnnounceOutcome, Announcement, JoinBackoff, Registry, Status, UpstreamState,
};

fn announcement(state: UpstreamState) -> Announcement {
    Announcement {
        service: "booking".parse().unwrap(),
        address: "127.0.0.1:80".parse().unwrap(),
        slots: 4,
        state,
        process: None,
    }
}

#[test]
fn resumed_node_declares_none_dead() {
    let mut net = Net::start(6, 5);
    net.run(3000);
    net.paused = [2].into();
    net.run(60_000);
    net.paused.clear();
    net.run(3000);
    assert!(net.actions.iter().any(|(n, a)| *n == 2 && matches!(a, Action::Resumed { .. })));
    for n in [0, 1, 3, 4, 5] {
        assert_ne!(
            net.status(2, n),
            Some(Status::Dead),
            "{n} held dead by the node that was paused"
        );
        assert_eq!(net.status(n, 2), Some(Status::Alive), "at {n}");
    }
}

#[test]
fn lapsed_lease_is_not_used() {
    let mut registry = Registry::default();
    let start = MonoTime::from_millis(1000);
    let announced = registry.announce(start, announcement(UpstreamState::Ready));
    assert_eq!(announced, AnnounceOutcome::Changed);
    let later = start + Duration::from_millis(LEASE_MS);
    assert_eq!(registry.current(MonoTime(later.0 - 1)).len(), 1);
    // Nothing has ticked: the clock alone says that the lease has lapsed.
    assert!(registry.current(later).is_empty());
    assert_eq!(registry.expire(later).len(), 1);
}

#[test]
fn drain_is_final() {
    let mut registry = Registry::default();
    let now = MonoTime(0);
    registry.announce(now, announcement(UpstreamState::Draining));
    // An announcement that was delayed on its way.
    let announced = registry.announce(now, announcement(UpstreamState::Ready));
    assert_eq!(announced, AnnounceOutcome::Renewed);
    assert_eq!(registry.current(now)[0].state, UpstreamState::Draining);
}

#[test]
fn joins_are_paced() {
    // A thousand nodes that are turned away: their next attempts spread, and stay capped.
    let now = MonoTime::from_millis(5000);
    let mut in_first_second = 0;
    for seed in 0..1000 {
        let mut pacer = JoinBackoff::new(seed, now);
        for _ in 0..6 {
            pacer.record_failure(now);
        }
        let wait = pacer.due().remaining(now);
        assert!(wait >= Duration::from_millis(500) && wait <= Duration::from_secs(2));
        in_first_second += usize::from(wait < Duration::from_secs(1));
    }
    assert!((200..500).contains(&in_first_second), "{in_first_second}");
}
