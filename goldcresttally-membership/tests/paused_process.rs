//! A node that was paused does not act on outdated suspicions and expired leases.

mod common;

use std::time::Duration;

use common::Network;
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
        release: None,
        cold_left: std::time::Duration::ZERO,
    }
}

#[test]
fn resumed_node_declares_no_member_dead() {
    let mut network = Network::start(6, 5);
    network.run(3000);
    network.paused = [2].into();
    network.run(60_000);
    network.paused.clear();
    network.run(3000);
    assert!(network.actions.iter().any(|(n, a)| *n == 2 && matches!(a, Action::Resumed { .. })));
    for n in [0, 1, 3, 4, 5] {
        assert_ne!(
            network.status(2, n),
            Some(Status::Dead),
            "the paused node declared node {n} dead"
        );
        assert_eq!(network.status(n, 2), Some(Status::Alive), "at {n}");
    }
}

#[test]
fn expired_lease_is_not_used() {
    let mut registry = Registry::default();
    let start = MonoTime::from_millis(1000);
    let announced = registry.announce(start, announcement(UpstreamState::Ready));
    assert_eq!(announced, AnnounceOutcome::Changed);
    let later = start + Duration::from_millis(LEASE_MS);
    assert_eq!(registry.current(MonoTime(later.0 - 1)).len(), 1);
    // The lease counts as expired even before a tick removes it.
    assert!(registry.current(later).is_empty());
    assert_eq!(registry.expire(later).len(), 1);
}

#[test]
fn late_announcement_does_not_undo_drain() {
    let mut registry = Registry::default();
    let now = MonoTime(0);
    registry.announce(now, announcement(UpstreamState::Draining));
    // An announcement that was sent before the drain arrives late.
    let announced = registry.announce(now, announcement(UpstreamState::Ready));
    assert_eq!(announced, AnnounceOutcome::Renewed);
    assert_eq!(registry.current(now)[0].state, UpstreamState::Draining);
}

#[test]
fn mass_join_failures_spread_retries() {
    // A thousand nodes are rejected repeatedly: their next attempts are spread out, and the wait
    // is capped.
    let now = MonoTime::from_millis(5000);
    let mut in_first_second = 0;
    for seed in 0..1000 {
        let mut join_backoff = JoinBackoff::new(seed, now);
        for _ in 0..6 {
            join_backoff.record_failure(now);
        }
        let wait = join_backoff.due().remaining(now);
        assert!(wait >= Duration::from_millis(500) && wait <= Duration::from_secs(2));
        in_first_second += usize::from(wait < Duration::from_secs(1));
    }
    assert!((200..500).contains(&in_first_second), "{in_first_second}");
}
