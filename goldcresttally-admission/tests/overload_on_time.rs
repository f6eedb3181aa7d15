//! Under an overload, what is served is served on time, and no class of a rank is starved.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::Bench;
use goldcresttally_admission::{CallId, Event, Options};

/// One kind of call in a played load.
struct Kind {
    rank: usize,
    per_s: f64,
    work_ms: f64,
    target_ms: u64,
    deadline_ms: u64,
}

/// What became of the calls of one kind.
#[derive(Debug, Default)]
struct Served {
    offered: u32,
    on_time: u32,
    late: u32,
}

/// Plays `seconds` of a load at an upstream of 12 slots; service times spread log-normally.
fn play(kinds: &[Kind], seconds: u64, seed: u64) -> Vec<Served> {
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
    let mut served: Vec<Served> = kinds.iter().map(|_| Served::default()).collect();
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
fn what_is_served_is_on_time() {
    // 12 slots and 220 ms: some 55 calls a second; twice as many come.
    let lookup = Kind { rank: 0, per_s: 110.0, work_ms: 220.0, target_ms: 500, deadline_ms: 1500 };
    for seed in 1..=3 {
        let served = &play(&[Kind { ..lookup }], 30, seed)[0];
        // The shortest and the longest services alone leave 9 in 100 late.
        assert!(served.late * 4 < served.on_time, "{served:?}");
        // The slots are not left idle for it: 0.8 of what they could answer.
        assert!(f64::from(served.on_time) > 0.75 * 30.0 * 55.0 * 0.8, "{served:?}");
    }
}

#[test]
fn slow_kind_is_not_starved() {
    let quick = Kind { rank: 0, per_s: 90.0, work_ms: 220.0, target_ms: 500, deadline_ms: 1500 };
    let slow = Kind { rank: 0, per_s: 5.0, work_ms: 380.0, target_ms: 1000, deadline_ms: 1000 };
    for seed in 1..=3 {
        let served = play(&[Kind { ..quick }, Kind { ..slow }], 30, seed);
        let share = |s: &Served| f64::from(s.on_time + s.late) / f64::from(s.offered);
        assert!(share(&served[1]) > 0.5 * share(&served[0]), "{served:?}");
    }
}

#[test]
fn short_calls_are_not_refused() {
    let long = Kind { rank: 1, per_s: 120.0, work_ms: 150.0, target_ms: 400, deadline_ms: 1000 };
    let short = Kind { rank: 1, per_s: 60.0, work_ms: 15.0, target_ms: 60, deadline_ms: 200 };
    for seed in 1..=3 {
        let served = play(&[Kind { ..long }, Kind { ..short }], 30, seed);
        let short = &served[1];
        let answered = f64::from(short.on_time + short.late);
        assert!(answered > 0.97 * f64::from(short.offered), "{served:?}");
    }
}

#[test]
fn sparse_rank_keeps_its_floor() {
    // Floors of 12 and 8 in 100: 6.5 and 4.4 of 55 calls a second, of which a few more come.
    let flood = Kind { rank: 0, per_s: 250.0, work_ms: 220.0, target_ms: 500, deadline_ms: 5000 };
    let normal = Kind { rank: 1, per_s: 8.0, work_ms: 220.0, target_ms: 1000, deadline_ms: 5000 };
    let least = Kind { rank: 2, per_s: 5.0, work_ms: 220.0, target_ms: 5000, deadline_ms: 5000 };
    for seed in 1..=5 {
        let served = play(&[Kind { ..flood }, Kind { ..normal }, Kind { ..least }], 60, seed);
        let answered = |i: usize| f64::from(served[i].on_time + served[i].late);
        let all: f64 = (0..3).map(answered).sum();
        for (i, floor) in [(1, 0.12), (2, 0.08)] {
            let kept = (floor * all).min(f64::from(served[i].offered));
            assert!(answered(i) >= 0.9 * kept, "rank {i}: {served:?}");
        }
    }
}
