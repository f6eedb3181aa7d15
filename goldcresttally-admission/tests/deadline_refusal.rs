//! What cannot be answered in time is refused unrun, at once or as soon as that is known.

mod common;

use common::Bench;
use goldcresttally_admission::{Event, Outcome, Refusal};

/// Lets one call take `ms`, so that the machine knows the service time.
fn learn(bench: &mut Bench, ms: u64) {
    let call = bench.offer(0);
    bench.advance_to(ms);
    bench.finish(call);
    bench.dispatched();
}

#[test]
fn hopeless_call() {
    let mut bench = Bench::new(1, 64, &[0.0]);
    learn(&mut bench, 100);
    bench.offer(0);
    let hopeless = bench.offer_within(0, 60, 60);
    assert_eq!(bench.refused(), [(hopeless, Refusal::Overloaded)]);
    let passed = bench.offer_within(0, 0, 0);
    assert_eq!(bench.refused(), [(passed, Refusal::Deadline)]);
}

#[test]
fn expires_while_waiting() {
    let mut bench = Bench::new(1, 64, &[0.0]);
    learn(&mut bench, 100);
    bench.offer(0);
    let waiting = bench.offer_within(0, 1000, 300);
    assert_eq!(bench.refused(), []);
    bench.advance_to(500);
    assert_eq!(bench.refused(), [(waiting, Refusal::Deadline)]);
}

#[test]
fn tight_target_still_served() {
    // A target below the service time must not refuse everything.
    let mut bench = Bench::new(1, 64, &[0.0]);
    learn(&mut bench, 100);
    let call = bench.offer_within(0, 1000, 50);
    assert_eq!(bench.dispatched(), [call]);
}

#[test]
fn drain_refuses_waiting() {
    let mut bench = Bench::new(1, 64, &[0.0]);
    let running = bench.offer(0);
    let waiting = bench.offer(0);
    bench.step(Event::Drain);
    assert_eq!(bench.refused(), [(waiting, Refusal::Draining)]);
    let late = bench.offer(0);
    assert_eq!(bench.refused(), [(late, Refusal::Draining)]);
    bench.finish(running);
    assert_eq!(bench.dispatched(), [running]);
}

#[test]
fn shed_lowers_limit() {
    let mut bench = Bench::new(10, 64, &[0.0]);
    let calls: Vec<_> = (0..10).map(|_| bench.offer(0)).collect();
    bench.advance_to(50);
    bench.finish_with(calls[0], Outcome::Shed);
    assert!(bench.machine.load().limit < 10);
    assert!(bench.machine.load().limit >= 1);
}

#[test]
fn late_call_takes_free_slot() {
    // A call whose first attempt was lost comes late; a free slot costs nobody anything.
    let mut bench = Bench::new(1, 64, &[0.0]);
    learn(&mut bench, 100);
    let late = bench.offer_within(0, 3000, 0);
    assert_eq!(bench.dispatched(), [late]);
}

#[test]
fn late_call_goes_last() {
    let mut bench = Bench::new(1, 64, &[0.0, 0.0]);
    learn(&mut bench, 10);
    let running = bench.offer(0);
    let late = bench.offer_within(0, 3000, 0);
    let least = bench.offer(1);
    bench.dispatched();
    bench.finish(running);
    assert_eq!(bench.dispatched(), [least]);
    bench.finish(least);
    assert_eq!(bench.dispatched(), [late]);
}
