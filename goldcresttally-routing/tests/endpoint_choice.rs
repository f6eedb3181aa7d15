//! The own failure domain first, with spill; tried, ejected and starting endpoints last.

use std::sync::Arc;
use std::time::Duration;

use goldcresttally_core::{Generation, MonoTime, NodeId};
use goldcresttally_routing::{Ejection, Endpoint, Locality, Observed, Picker};

const NOW: MonoTime = MonoTime::from_millis(60_000);

fn endpoint(n: u16, locality: Locality) -> Endpoint {
    let address = format!("127.0.0.1:{n}").parse().unwrap();
    Endpoint {
        node: NodeId(address),
        generation: Generation(1),
        peer: address,
        locality,
        slots: 2,
        ready: true,
        since: MonoTime(0),
        observed: Arc::new(Observed::default()),
    }
}

fn pick(endpoints: &[Endpoint], tried: &[NodeId]) -> Option<u16> {
    let rng = fastrand_like(7);
    let picked = Picker::default().pick(NOW, 0, endpoints, tried, rng);
    picked.map(|e| e.peer.port())
}

/// Returns a small generator of numbers below a bound.
fn fastrand_like(mut seed: usize) -> impl FnMut(usize) -> usize {
    move |n| {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (seed >> 33) % n
    }
}

#[test]
fn own_domain_first() {
    let list = [
        endpoint(1, Locality::Remote),
        endpoint(2, Locality::Domain),
        endpoint(3, Locality::Region),
    ];
    assert_eq!(pick(&list, &[]), Some(2));
    list[1].observed.start(0);
    list[1].observed.start(0);
    assert_eq!(pick(&list, &[]), Some(3));
}

#[test]
fn lesser_load_is_not_in_the_way() {
    let list = [endpoint(1, Locality::Domain), endpoint(2, Locality::Region)];
    for _ in 0..10 {
        list[0].observed.start(2);
    }
    assert_eq!(pick(&list, &[]), Some(1));
}

#[test]
fn reported_load_is_believed_briefly() {
    let list = [endpoint(1, Locality::Domain), endpoint(2, Locality::Region)];
    list[0].observed.report(NOW, 0, 5000);
    assert_eq!(pick(&list, &[]), Some(2));
    let later = NOW + Duration::from_secs(2);
    let rng = fastrand_like(1);
    let picked = Picker::default().pick(later, 0, &list, &[], rng);
    assert_eq!(picked.map(|e| e.peer.port()), Some(1));
}

#[test]
fn tried_and_ejected_are_left_out() {
    let list = [endpoint(1, Locality::Domain), endpoint(2, Locality::Domain)];
    assert_eq!(pick(&list, &[list[0].node]), Some(2));
    list[0].observed.eject(NOW + Duration::from_secs(1));
    assert_eq!(pick(&list, &[]), Some(2));
    // Better an ejected endpoint than none.
    assert_eq!(pick(&list, &[list[1].node]), Some(1));
    assert_eq!(pick(&list, &[list[0].node, list[1].node]), None);
}

#[test]
fn starting_only_without_ready() {
    let mut list = [endpoint(1, Locality::Domain), endpoint(2, Locality::Remote)];
    list[0].ready = false;
    assert_eq!(pick(&list, &[]), Some(2));
    list[1].ready = false;
    assert!(pick(&list, &[]).is_some());
}

#[test]
fn ejection_is_capped() {
    let list: Vec<_> = (1..=4).map(|n| endpoint(n, Locality::Domain)).collect();
    let ejection = Ejection::default();
    for endpoint in &list {
        for _ in 0..10 {
            ejection.on_failure(NOW, endpoint, &list);
        }
    }
    let ejected = list.iter().filter(|e| e.observed.is_ejected(NOW)).count();
    assert_eq!(ejected, 2);
    let later = NOW + Duration::from_mins(1);
    assert!(list.iter().all(|e| !e.observed.is_ejected(later)));
}

#[test]
fn less_loaded_of_two() {
    let list: Vec<_> = (1..=2).map(|n| endpoint(n, Locality::Domain)).collect();
    list[0].observed.start(0);
    for _ in 0..20 {
        assert_eq!(pick(&list, &[]), Some(2));
    }
}
