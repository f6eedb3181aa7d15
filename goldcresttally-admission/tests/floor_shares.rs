//! Each lesser rank keeps its floor share under a flood of the most urgent, and no more.

mod common;

use common::Bench;

fn served_in_flood(floors: &[f64]) -> Vec<f64> {
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
fn floors_are_kept() {
    let shares = served_in_flood(&[0.0, 0.1, 0.05]);
    assert!(shares[1] >= 0.098, "{shares:?}");
    assert!(shares[2] >= 0.048, "{shares:?}");
    assert!(shares[0] >= 0.84, "{shares:?}");
}

#[test]
fn without_floors_urgent_takes_all() {
    let shares = served_in_flood(&[0.0, 0.0]);
    assert!(shares[0] >= 0.99, "{shares:?}");
}
