//! Guards against calls that wait although they cannot be answered in time, and against calls
//! refused although a slot is free.

mod common;

use common::Bench;
use goldcresttally_admission::{Event, Outcome, Refusal};

/// Runs one call for `ms` milliseconds, so that the service time is known.
fn learn(bench: &mut Bench, ms: u64) {
    let call = bench.offer(0);
    bench.advance_to(ms);
    bench.finish(call);
    bench.dispatched();
}

#[test]
fn call_that_cannot_be_on_time_is_refused() {
    let mut bench = Bench::new(1, 64, &[0.0]);
    learn(&mut bench, 100);
    bench.offer(0);
    let too_late = bench.offer_within(0, 60, 60);
    assert_eq!(bench.refused(), [(too_late, Refusal::Overloaded)]);
    let passed = bench.offer_within(0, 0, 0);
    assert_eq!(bench.refused(), [(passed, Refusal::Deadline)]);
}

#[test]
fn waiting_call_is_refused_once_it_expires() {
    let mut bench = Bench::new(1, 64, &[0.0]);
    learn(&mut bench, 100);
    bench.offer(0);
    let waiting = bench.offer_within(0, 1000, 300);
    assert_eq!(bench.refused(), []);
    bench.advance_to(500);
    assert_eq!(bench.refused(), [(waiting, Refusal::Deadline)]);
}

#[test]
fn target_below_service_time_is_still_served() {
    // Otherwise all calls of the class would be refused.
    let mut bench = Bench::new(1, 64, &[0.0]);
    learn(&mut bench, 100);
    let call = bench.offer_within(0, 1000, 50);
    assert_eq!(bench.dispatched(), [call]);
}

#[test]
fn drain_refuses_waiting_and_new_calls() {
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
fn shed_call_lowers_the_limit() {
    let mut bench = Bench::new(10, 64, &[0.0]);
    let calls: Vec<_> = (0..10).map(|_| bench.offer(0)).collect();
    bench.advance_to(50);
    bench.finish_with(calls[0], Outcome::Shed);
    assert!(bench.admission.load().limit < 10);
    assert!(bench.admission.load().limit >= 1);
}

#[test]
fn late_call_takes_a_free_slot() {
    // A retry after a lost attempt arrives late; running it in a free slot delays no other call.
    let mut bench = Bench::new(1, 64, &[0.0]);
    learn(&mut bench, 100);
    let late = bench.offer_within(0, 3000, 0);
    assert_eq!(bench.dispatched(), [late]);
}

#[test]
fn late_call_goes_after_less_urgent_ones() {
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
