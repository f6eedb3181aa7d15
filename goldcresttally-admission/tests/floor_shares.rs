//! Guards against less urgent ranks that lose their floor share under a flood of the most urgent
//! calls, or that get more than it.

mod common;

use common::Bench;

fn shares_under_flood(floors: &[f64]) -> Vec<f64> {
    let mut bench = Bench::new(4, 64, floors);
    let mut ranks = std::collections::BTreeMap::new();
    let mut served = vec![0u32; floors.len()];
    for ms in 0..20_000 {
        bench.advance_to(ms);
        bench.finish_older_than(40);
        for rank in 0..floors.len() {
            if ms % 4 == 0 {
                ranks.insert(bench.offer(rank), rank);
            }
        }
        for call in bench.dispatched() {
            served[ranks[&call]] += 1;
        }
    }
    let total: u32 = served.iter().sum();
    served.iter().map(|n| f64::from(*n) / f64::from(total)).collect()
}

#[test]
fn flood_leaves_floor_shares() {
    let shares = shares_under_flood(&[0.0, 0.1, 0.05]);
    assert!(shares[1] >= 0.098, "{shares:?}");
    assert!(shares[2] >= 0.048, "{shares:?}");
    assert!(shares[0] >= 0.84, "{shares:?}");
}

#[test]
fn rank_with_often_empty_queue_keeps_its_floor() {
    // The less urgent rank offers only half as much again as its floor share, so that its queue is
    // often empty.
    let mut bench = Bench::new(6, 48, &[0.0, 0.1]);
    let mut less_urgent = std::collections::BTreeSet::new();
    let (mut served, mut total) = (0u32, 0u32);
    for ms in 0..60_000u64 {
        bench.advance_to(ms);
        bench.finish_older_than(100);
        if ms % 4 == 0 {
            bench.offer_within(0, 5000, 250);
        }
        // 9 calls per second; the floor share is 6.
        if ms % 111 == 0 {
            less_urgent.insert(bench.offer_within(1, 5000, 1000));
        }
        for call in bench.dispatched() {
            total += 1;
            served += u32::from(less_urgent.contains(&call));
        }
    }
    let share = f64::from(served) / f64::from(total);
    assert!(share >= 0.1, "{served} of {total}");
}

#[test]
fn urgent_takes_all_without_floors() {
    let shares = shares_under_flood(&[0.0, 0.0]);
    assert!(shares[0] >= 0.99, "{shares:?}");
}
