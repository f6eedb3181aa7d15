//! Selects endpoints for six calls: the local failure domain first, others once it is full.
//!
//! Run with `cargo run -p goldcresttally-routing --example choose`.

use std::sync::Arc;

use std::time::Duration;

use goldcresttally_core::{BitRate, Deadline, Generation, MonoTime, NodeId};
use goldcresttally_routing::{Endpoint, EndpointStats, Locality, PickRequest, Picker};

fn endpoint(address: &str, locality: Locality) -> Endpoint {
    let peer = address.parse().expect("an address");
    Endpoint {
        trial_milli: 0,
        node: NodeId(peer),
        generation: Generation(1),
        peer,
        locality,
        link: BitRate::default(),
        slots: 2,
        ready: true,
        ready_since: MonoTime(0),
        stats: Arc::new(EndpointStats::default()),
    }
}

fn main() {
    let endpoints = [
        endpoint("10.0.1.1:7401", Locality::Domain),
        endpoint("10.0.2.1:7401", Locality::Region),
        endpoint("10.0.3.1:7401", Locality::Remote),
    ];
    let now = MonoTime::from_millis(60_000);
    let mut seed = 1usize;
    let mut random = |n: usize| {
        seed = seed.wrapping_mul(48_271) % 2_147_483_647;
        seed % n
    };
    // All calls stay in flight, so the endpoints fill up, nearest first.
    for call in 1..=6 {
        let target = Duration::from_millis(250);
        let on_time_by = Deadline::after(now, target);
        let request = PickRequest { now, rank: 0, target, on_time_by, bytes: 2000 };
        let picked = Picker::default().pick(&request, &endpoints, &[], &mut random);
        let picked = picked.expect("an endpoint");
        picked.stats.call_started(0);
        println!("call {call} goes to {}", picked.peer);
    }
}
