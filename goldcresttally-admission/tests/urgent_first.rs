//! Guards against urgent calls that wait behind less urgent ones for more than one service time.

mod common;

use common::Bench;
use goldcresttally_admission::{Policy, Refusal};

#[test]
fn urgent_call_overtakes_waiting_one() {
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
fn withdrawal_at_dispatch_frees_the_slot() {
    // The caller leaves just as the call is dispatched; the slot must not be leaked.
    let mut bench = Bench::new(1, 16, &[0.0]);
    let gone = bench.offer(0);
    bench.withdraw(gone);
    let next = bench.offer(0);
    assert_eq!(bench.dispatched(), [gone, next]);
}

#[test]
fn full_queue_evicts_less_urgent_call() {
    let mut bench = Bench::new(1, 2, &[0.0, 0.0]);
    bench.offer(1);
    bench.offer(1);
    let newest = bench.offer(1);
    assert_eq!(bench.refused(), []);
    bench.offer(0);
    assert_eq!(bench.refused(), [(newest, Refusal::Overloaded)]);
}

#[test]
fn flood_delays_urgent_call_by_at_most_one_service_time() {
    // Less urgent calls at about 17 times the capacity, urgent ones at about half of it.
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
fn fifo_ignores_rank_and_limit() {
    let mut bench = Bench::with_policy(Policy::Fifo, 1, 2, &[0.0, 0.0]);
    let calls = [bench.offer(1), bench.offer(1), bench.offer(0)];
    assert_eq!(bench.dispatched(), calls);
}
