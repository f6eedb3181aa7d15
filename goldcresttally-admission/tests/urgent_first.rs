//! The most urgent calls go first, and a lesser flood delays them by one service time at most.

mod common;

use common::Bench;
use goldcresttally_admission::{Policy, Refusal};

#[test]
fn urgent_overtakes() {
    let mut bench = Bench::new(1, 16, &[0.0, 0.0]);
    let running = bench.offer(1);
    let (waiting, urgent) = (bench.offer(1), bench.offer(0));
    assert_eq!(bench.dispatched(), [running]);
    bench.finish(running);
    assert_eq!(bench.dispatched(), [urgent]);
    bench.finish(urgent);
    assert_eq!(bench.dispatched(), [waiting]);
}

#[test]
fn given_up_at_its_turn() {
    // The call's turn comes as its caller goes: its slot must not be lost.
    let mut bench = Bench::new(1, 16, &[0.0]);
    let gone = bench.offer(0);
    bench.withdraw(gone);
    let next = bench.offer(0);
    assert_eq!(bench.dispatched(), [gone, next]);
}

#[test]
fn full_queue_evicts_lesser() {
    let mut bench = Bench::new(1, 2, &[0.0, 0.0]);
    bench.offer(1);
    bench.offer(1);
    let newest = bench.offer(1);
    assert_eq!(bench.refused(), []);
    bench.offer(0);
    assert_eq!(bench.refused(), [(newest, Refusal::Overloaded)]);
}

#[test]
fn flood_delays_one_service_time() {
    // A flood of the least at twenty times capacity, urgent calls at half of it.
    let mut bench = Bench::new(12, 256, &[0.0, 0.05]);
    let mut worst_ms = 0;
    for ms in 0..4000 {
        bench.advance_to(ms);
        bench.finish_older_than(100);
        for _ in 0..2 {
            bench.offer(1);
        }
        if ms % 17 == 0 {
            bench.offer(0);
        }
        worst_ms = worst_ms.max(bench.longest_wait_of(0));
    }
    assert!(worst_ms <= 100, "an urgent call waited {worst_ms} ms");
}

#[test]
fn fifo_has_no_order() {
    let mut bench = Bench::with_policy(Policy::Fifo, 1, 2, &[0.0, 0.0]);
    let calls = [bench.offer(1), bench.offer(1), bench.offer(0)];
    assert_eq!(bench.dispatched(), calls);
}
