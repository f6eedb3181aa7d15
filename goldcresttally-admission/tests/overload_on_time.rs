//! Guards against an overload in which most answers are late, slots are left idle, or one class of
//! calls is starved by others.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::Bench;
use goldcresttally_admission::{CallId, Event, Options};

/// One kind of call in a simulated load.
struct Kind {
    rank: usize,
    per_s: f64,
    work_ms: f64,
    target_ms: u64,
    deadline_ms: u64,
}

/// Outcomes of the calls of one kind.
#[derive(Debug, Default)]
struct Outcomes {
    offered: u32,
    on_time: u32,
    late: u32,
}

/// Simulates `seconds` of a load at an upstream with 12 slots and log-normal service times.
fn simulate(kinds: &[Kind], seconds: u64, seed: u64) -> Vec<Outcomes> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let floor_shares = vec![0.0, 0.12, 0.08];
    let mut bench = Bench::new(12, 256, &floor_shares);
    let fixed = Options {
        max_concurrency: 12,
        queue_capacity: 256,
        floor_shares,
        adaptive: false,
        ..Options::default()
    };
    bench.step(Event::Configure(fixed));
    let mut served: Vec<Outcomes> = kinds.iter().map(|_| Outcomes::default()).collect();
    let mut calls: BTreeMap<CallId, (usize, u64, u64)> = BTreeMap::new();
    let mut ends: BTreeSet<(u64, CallId)> = BTreeSet::new();
    for now in 0..seconds * 1000 {
        bench.advance_to(now);
        while let Some((at, call)) = ends.pop_first() {
            if at > now {
                ends.insert((at, call));
                break;
            }
            bench.finish(call);
            let (kind, arrived, _) = calls[&call];
            match now - arrived <= kinds[kind].target_ms {
                true => served[kind].on_time += 1,
                false => served[kind].late += 1,
            }
        }
        for (i, kind) in kinds.iter().enumerate() {
            if rng.f64() < kind.per_s / 1000.0 {
                served[i].offered += 1;
                let normal: f64 = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
                let work = kind.work_ms * (0.8 * normal - 0.32).exp();
                let call = bench.offer_within(kind.rank, kind.deadline_ms, kind.target_ms);
                calls.insert(call, (i, now, work as u64));
            }
        }
        for call in bench.dispatched() {
            ends.insert((now + calls[&call].2, call));
        }
    }
    served
}

#[test]
fn overload_is_answered_on_time() {
    // 12 slots and 220 ms give a capacity of 55 calls per second; twice as many arrive.
    let lookup = Kind { rank: 0, per_s: 110.0, work_ms: 220.0, target_ms: 500, deadline_ms: 1500 };
    for seed in 1..=3 {
        let served = &simulate(&[Kind { ..lookup }], 30, seed)[0];
        // The spread of service times alone makes 9 in 100 late.
        assert!(served.late * 4 < served.on_time, "{served:?}");
        // At least 0.75 × 0.8 of the capacity is answered on time, so slots are not left idle.
        assert!(f64::from(served.on_time) > 0.75 * 30.0 * 55.0 * 0.8, "{served:?}");
    }
}

#[test]
fn slow_class_is_not_starved() {
    let fast = Kind { rank: 0, per_s: 90.0, work_ms: 220.0, target_ms: 500, deadline_ms: 1500 };
    let slow = Kind { rank: 0, per_s: 5.0, work_ms: 380.0, target_ms: 1000, deadline_ms: 1000 };
    for seed in 1..=3 {
        let served = simulate(&[Kind { ..fast }, Kind { ..slow }], 30, seed);
        let share = |s: &Outcomes| f64::from(s.on_time + s.late) / f64::from(s.offered);
        assert!(share(&served[1]) > 0.5 * share(&served[0]), "{served:?}");
    }
}

#[test]
fn short_calls_are_rarely_refused() {
    let long = Kind { rank: 1, per_s: 120.0, work_ms: 150.0, target_ms: 400, deadline_ms: 1000 };
    let short = Kind { rank: 1, per_s: 60.0, work_ms: 15.0, target_ms: 60, deadline_ms: 200 };
    for seed in 1..=3 {
        let served = simulate(&[Kind { ..long }, Kind { ..short }], 30, seed);
        let short = &served[1];
        let answered = f64::from(short.on_time + short.late);
        assert!(answered > 0.97 * f64::from(short.offered), "{served:?}");
    }
}

#[test]
fn rank_just_above_its_floor_keeps_it() {
    // Floor shares of 0.12 and 0.08 are 6.5 and 4.4 of 55 calls per second; a few more arrive.
    let flood = Kind { rank: 0, per_s: 250.0, work_ms: 220.0, target_ms: 500, deadline_ms: 5000 };
    let normal = Kind { rank: 1, per_s: 8.0, work_ms: 220.0, target_ms: 1000, deadline_ms: 5000 };
    let least = Kind { rank: 2, per_s: 5.0, work_ms: 220.0, target_ms: 5000, deadline_ms: 5000 };
    for seed in 1..=5 {
        let served = simulate(&[Kind { ..flood }, Kind { ..normal }, Kind { ..least }], 60, seed);
        let answered = |i: usize| f64::from(served[i].on_time + served[i].late);
        let all: f64 = (0..3).map(answered).sum();
        for (i, floor) in [(1, 0.12), (2, 0.08)] {
            let kept = (floor * all).min(f64::from(served[i].offered));
            assert!(answered(i) >= 0.9 * kept, "rank {i}: {served:?}");
        }
    }
}
