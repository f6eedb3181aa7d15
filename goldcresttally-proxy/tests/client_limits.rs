//! Guards against limits on clients that leak what they count, close connections that make progress, or
//! refuse ordinary traffic by default.

use std::sync::Arc;
use std::time::Duration;

use goldcresttally_proxy::clients::{
    ByteBudget, Cause, ClientOptions, TimeLimits, Use, View, Watch, connections_to_evict,
};
use tokio::time::Instant;

const LIMITS: TimeLimits = TimeLimits {
    head: Duration::from_secs(3),
    idle: Duration::from_secs(15),
    stall: Duration::from_secs(15),
};

/// Returns after how many half seconds a connection that looks like `view` is closed, and why.
fn closed_after(view: impl Fn(u64) -> View, tight: bool) -> Option<(u64, Cause)> {
    let start = Instant::now();
    let mut watch = Watch::default();
    (0..200).find_map(|n| {
        let now = start + Duration::from_millis(500 * n);
        watch.judge(now, &view(n), &LIMITS, tight).map(|cause| (n, cause))
    })
}

#[test]
fn budget_returns_what_is_dropped_and_keeps_room_for_heads() {
    let budget = Arc::new(ByteBudget::new(1000));
    let mut share = budget.try_take(100, Use::Head).unwrap();
    assert!(share.try_grow(600, Use::Body));
    assert!(!share.try_grow(100, Use::Body), "bodies get three quarters");
    assert!(budget.is_tight());
    let head = budget.try_take(300, Use::Head).unwrap();
    assert!(budget.try_take(1, Use::Head).is_none());
    // A response that is ready is delivered also beyond the limit.
    let response = budget.take(500);
    assert_eq!(budget.used(), 1500);
    assert!(budget.try_take(usize::MAX, Use::Head).is_none());
    drop((share, head, response));
    assert_eq!(budget.used(), 0);
}

#[test]
fn connections_without_progress_are_closed() {
    let head = |_| View { received: 20, ..View::default() };
    assert_eq!(closed_after(head, false), Some((7, Cause::SlowHead)));
    // A byte now and then does not prolong the time for a head.
    let dripping = |n| View { received: 20 + n, ..View::default() };
    assert_eq!(closed_after(dripping, false), Some((7, Cause::SlowHead)));
    let body = |n| View { received: n, in_flight: 1, waits_for_body: true, ..View::default() };
    assert_eq!(closed_after(body, false), Some((31, Cause::SlowBody)));
    assert_eq!(closed_after(body, true), Some((3, Cause::SlowBody)));
    let reader = |n| View { written: n, in_flight: 1, has_unread: true, ..View::default() };
    assert_eq!(closed_after(reader, false), Some((31, Cause::SlowReader)));
    let idle = |n| View { idle: Duration::from_millis(500 * n), ..View::default() };
    assert_eq!(closed_after(idle, false), Some((33, Cause::Idle)));
}

#[test]
fn connections_with_progress_stay_open() {
    let rate = 4096;
    let body = |n| View { received: n * rate, waits_for_body: true, ..View::default() };
    assert_eq!(closed_after(|n| View { in_flight: 1, ..body(n) }, false), None);
    let reader = |n| View { written: n * rate, in_flight: 1, has_unread: true, ..View::default() };
    assert_eq!(closed_after(reader, false), None);
    // A request that is served for long, and one head after another.
    let served = |_| View { in_flight: 1, idle: Duration::from_mins(1), ..View::default() };
    assert_eq!(closed_after(served, true), None);
    let heads = |n| View { requests: n, received: 20, ..View::default() };
    assert_eq!(closed_after(heads, true), None);
    // Pings of an idle HTTP/2 connection.
    let pings = |n| View { http2: true, requests: 1, received: n, ..View::default() };
    assert_eq!(closed_after(pings, false), None);
}

#[test]
fn oldest_idle_connections_close_first_and_busy_ones_never() {
    let view = |requests, in_flight, idle_s| View {
        requests,
        in_flight,
        idle: Duration::from_secs(idle_s),
        ..View::default()
    };
    let connections = [
        (1, view(5, 1, 90), false),
        (2, view(5, 0, 3), false),
        (3, view(5, 0, 9), false),
        (4, view(0, 0, 1), false),
        (5, view(0, 0, 2), false),
        (6, view(1, 1, 50), true),
    ];
    let evicted = |count: usize| connections_to_evict(connections.into_iter(), 64 * count);
    assert_eq!(evicted(1), [5]);
    assert_eq!(evicted(3), [5, 4, 6]);
    assert_eq!(evicted(9), [5, 4, 6, 3, 2]);
    let busy = connections_to_evict([(1, view(5, 1, 90), false)].into_iter(), 64);
    assert!(busy.is_empty());
}

#[test]
fn defaults_of_the_smallest_vm_admit_ordinary_traffic() {
    let options = ClientOptions::derive(Some(160 << 20), Some(4100));
    assert!(options.call_connections >= 1500 && options.call_connections <= 4100 / 2);
    assert!(options.tool_connections >= 64);
    assert!(options.max_header_fields >= 100);
    // 1,000 requests at once with heads of 1 KiB in 20 fields.
    assert!(options.budget_bytes / 1000 > 4096 + 32 * 112 + 1024);
}
