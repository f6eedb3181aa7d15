//! Guards the order in which endpoints are selected: most likely on time first, with a preference
//! for the own failure domain; tried, ejected and starting endpoints last.

use std::sync::Arc;
use std::time::Duration;

use goldcresttally_core::{BitRate, Deadline, Generation, MonoTime, NodeId};
use goldcresttally_routing::{
    Ejection, Endpoint, EndpointStats, LoadReport, Locality, PickRequest, Picker,
};

const NOW: MonoTime = MonoTime::from_millis(60_000);

fn endpoint(n: u16, locality: Locality) -> Endpoint {
    let address = format!("127.0.0.1:{n}").parse().unwrap();
    Endpoint {
        trial_milli: 0,
        node: NodeId(address),
        generation: Generation(1),
        peer: address,
        locality,
        link: BitRate::default(),
        slots: 2,
        ready: true,
        ready_since: MonoTime(0),
        stats: Arc::new(EndpointStats::default()),
    }
}

const TARGET: Duration = Duration::from_millis(250);

fn request_at(now: MonoTime) -> PickRequest {
    let on_time_by = Deadline::after(now, TARGET);
    PickRequest { now, rank: 0, target: TARGET, on_time_by, bytes: 500 }
}

fn pick(endpoints: &[Endpoint], tried: &[NodeId]) -> Option<u16> {
    pick_for(&request_at(NOW), endpoints, tried)
}

fn pick_for(request: &PickRequest, endpoints: &[Endpoint], tried: &[NodeId]) -> Option<u16> {
    let rng = lcg(7);
    let picked = Picker::default().pick(request, endpoints, tried, rng);
    picked.map(|e| e.peer.port())
}

/// Returns the load of an endpoint without free slots, with `waiting` calls in its queue.
fn full(waiting: i32) -> LoadReport {
    LoadReport { free: -waiting, limit: 2, turn_ms: 100, work_ms: 100, link_ms: 0, nested: false }
}

/// Returns a linear congruential generator of numbers below a bound.
fn lcg(mut seed: usize) -> impl FnMut(usize) -> usize {
    move |n| {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (seed >> 33) % n
    }
}

#[test]
fn own_failure_domain_first() {
    let list = [
        endpoint(1, Locality::Remote),
        endpoint(2, Locality::Domain),
        endpoint(3, Locality::Region),
    ];
    assert_eq!(pick(&list, &[]), Some(2));
    list[1].stats.call_started(0);
    list[1].stats.call_started(0);
    assert_eq!(pick(&list, &[]), Some(3));
}

#[test]
fn less_urgent_load_is_ignored() {
    let list = [endpoint(1, Locality::Domain), endpoint(2, Locality::Region)];
    for _ in 0..10 {
        list[0].stats.call_started(2);
    }
    assert_eq!(pick(&list, &[]), Some(1));
}

#[test]
fn reported_load_expires() {
    let list = [endpoint(1, Locality::Domain), endpoint(2, Locality::Region)];
    list[0].stats.record_load(NOW, 0, TARGET, full(8));
    assert_eq!(pick(&list, &[]), Some(2));
    let later = NOW + Duration::from_secs(2);
    assert_eq!(pick_for(&request_at(later), &list, &[]), Some(1));
}

#[test]
fn own_calls_since_report_count() {
    let list = [endpoint(1, Locality::Domain), endpoint(2, Locality::Domain)];
    let load = LoadReport { free: 2, ..full(0) };
    list[0].stats.record_load(NOW, 0, TARGET, load);
    list[1].stats.record_load(NOW, 0, TARGET, LoadReport { free: 1, ..full(0) });
    assert_eq!(pick(&list, &[]), Some(1));
    for _ in 0..4 {
        list[0].stats.call_started(0);
    }
    assert_eq!(pick(&list, &[]), Some(2));
}

#[test]
fn slow_upstream_is_avoided() {
    let list = [endpoint(1, Locality::Domain), endpoint(2, Locality::Domain)];
    list[0].stats.record_load(NOW, 0, TARGET, LoadReport { free: 2, work_ms: 300, ..full(0) });
    list[1].stats.record_load(NOW, 0, TARGET, LoadReport { free: 1, work_ms: 60, ..full(0) });
    assert_eq!(pick(&list, &[]), Some(2));
}

#[test]
fn large_calls_stay_in_failure_domain() {
    let list = [endpoint(1, Locality::Domain), endpoint(2, Locality::Region)];
    list[0].stats.record_load(NOW, 0, TARGET, full(1));
    list[1].stats.record_load(NOW, 0, TARGET, LoadReport { free: 2, ..full(0) });
    let large = PickRequest { bytes: 9000, ..request_at(NOW) };
    assert_eq!(pick_for(&large, &list, &[]), Some(1));
    let small = PickRequest { bytes: 400, ..request_at(NOW) };
    assert_eq!(pick_for(&small, &list, &[]), Some(2));
}

#[test]
fn failing_upstream_is_avoided() {
    let list = [endpoint(1, Locality::Domain), endpoint(2, Locality::Region)];
    for _ in 0..20 {
        list[0].stats.record_outcome(true);
    }
    assert_eq!(pick(&list, &[]), Some(2));
}

#[test]
fn unreachable_endpoints_are_ejected_beyond_the_share() {
    let list: Vec<_> = (1..=4).map(|n| endpoint(n, Locality::Region)).collect();
    let ejection = Ejection::default();
    for endpoint in &list[..3] {
        ejection.on_unreachable(NOW, endpoint);
    }
    assert_eq!(pick(&list, &[]), Some(4));
}

#[test]
fn silent_endpoint_is_ejected_until_it_answers() {
    let ejection = Ejection::default();
    let endpoints = [endpoint(1, Locality::Domain), endpoint(2, Locality::Region)];
    ejection.on_silent(NOW, &endpoints[0]);
    assert_eq!(pick(&endpoints, &[]), Some(2));
    // The suspected attempt is answered after all.
    endpoints[0].stats.on_answer();
    assert_eq!(pick(&endpoints, &[]), Some(1));
}

#[test]
fn tried_and_ejected_are_avoided() {
    let list = [endpoint(1, Locality::Domain), endpoint(2, Locality::Domain)];
    assert_eq!(pick(&list, &[list[0].node]), Some(2));
    list[0].stats.eject(NOW + Duration::from_secs(1));
    assert_eq!(pick(&list, &[]), Some(2));
    // An ejected endpoint is better than none.
    assert_eq!(pick(&list, &[list[1].node]), Some(1));
    assert_eq!(pick(&list, &[list[0].node, list[1].node]), None);
}

#[test]
fn starting_endpoint_only_if_none_is_ready() {
    let mut list = [endpoint(1, Locality::Domain), endpoint(2, Locality::Remote)];
    list[0].ready = false;
    assert_eq!(pick(&list, &[]), Some(2));
    list[1].ready = false;
    assert!(pick(&list, &[]).is_some());
}

#[test]
fn failures_eject_at_most_the_share() {
    let list: Vec<_> = (1..=4).map(|n| endpoint(n, Locality::Domain)).collect();
    let ejection = Ejection::default();
    for endpoint in &list {
        for _ in 0..10 {
            ejection.on_failure(NOW, endpoint, &list);
        }
    }
    let ejected = list.iter().filter(|e| e.stats.is_ejected(NOW)).count();
    assert_eq!(ejected, 2);
    let later = NOW + Duration::from_mins(1);
    assert!(list.iter().all(|e| !e.stats.is_ejected(later)));
}

#[test]
fn less_loaded_endpoint_is_picked() {
    let list: Vec<_> = (1..=2).map(|n| endpoint(n, Locality::Domain)).collect();
    list[0].stats.call_started(0);
    for _ in 0..20 {
        assert_eq!(pick(&list, &[]), Some(2));
    }
}

/// Returns a request with a body of 60 KB and a target of 1 s.
fn upload() -> PickRequest {
    let target = Duration::from_secs(1);
    let on_time_by = Deadline::after(NOW, target);
    PickRequest { target, on_time_by, bytes: 60_000, ..request_at(NOW) }
}

#[test]
fn large_body_leaves_domain_whose_links_are_full() {
    let link = BitRate(11_000_000);
    let mut list = [endpoint(1, Locality::Domain), endpoint(2, Locality::Region)];
    for endpoint in &mut list {
        endpoint.link = link;
    }
    let request = upload();
    let report = |link_ms| LoadReport { free: 2, link_ms, ..full(0) };
    list[0].stats.record_load(NOW, 0, request.target, report(200));
    assert_eq!(pick_for(&request, &list, &[]), Some(1));
    list[0].stats.record_load(NOW, 0, request.target, report(950));
    assert_eq!(pick_for(&request, &list, &[]), Some(2));
    // Short calls do not wait for room.
    let short = PickRequest { bytes: 500, ..request };
    assert_eq!(pick_for(&short, &list, &[]), Some(1));
}

#[test]
fn large_body_prefers_faster_link() {
    let mut list = [endpoint(1, Locality::Domain), endpoint(2, Locality::Domain)];
    list[0].link = BitRate(1_000_000);
    list[1].link = BitRate(200_000_000);
    assert_eq!(pick_for(&upload(), &list, &[]), Some(2));
}

#[test]
fn release_under_test_gets_its_share_of_the_calls_whatever_its_cost() {
    let mut list = [endpoint(1, Locality::Vm), endpoint(2, Locality::Region)];
    let mut random = lcg(3);
    let mut calls_to_second = |list: &[Endpoint], tried: &[NodeId]| {
        let picker = Picker::default();
        let picks = (0..10_000).map(|_| picker.pick(&request_at(NOW), list, tried, &mut random));
        picks.filter(|picked| picked.is_some_and(|e| e.peer.port() == 2)).count()
    };
    assert_eq!(calls_to_second(&list, &[]), 0);
    list[1].trial_milli = 60;
    let calls = calls_to_second(&list, &[]);
    assert!((500..=700).contains(&calls), "{calls} of 10,000");
    // Also if it is the cheaper one.
    list[0].stats.record_load(NOW, 0, TARGET, full(6));
    let calls = calls_to_second(&list, &[]);
    assert!((500..=700).contains(&calls), "{calls} of 10,000");
    let first = [list[0].node];
    assert_eq!(calls_to_second(&list, &first), 10_000);
}
