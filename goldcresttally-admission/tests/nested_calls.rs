//! Guards against runs that are wasted or hold their slot for long because the calls that they make
//! wait behind new calls, and against nested calls that starve other ranks.

mod common;

use std::time::Duration;

use common::Bench;
use goldcresttally_admission::{CallClass, CallId, Event, Options};

const LONG_MS: u64 = 60_000;
const NEW_TARGET_MS: u64 = 500;
const NESTED_TARGET_MS: u64 = 120;

/// Returns an upstream with 6 slots that has seen nested calls of 20 ms and new ones of 98 ms: 80
/// and 10 per second, so that nested calls occupy 1.6 slots.
fn warm(overload_control: bool, floors: &[f64]) -> Bench {
    let mut bench = Bench::new(6, 256, floors);
    bench.step(Event::Configure(Options {
        max_concurrency: 6,
        queue_capacity: 256,
        adaptive: false,
        floor_shares: floors.to_vec(),
        overload_control,
        ..Options::default()
    }));
    for tenth in 0..20 {
        let start = tenth * 100;
        bench.advance_to(start);
        let new = bench.offer_within(1, LONG_MS, NEW_TARGET_MS);
        for i in 0..4 {
            bench.advance_to(start + i * 25);
            let nested = [(); 2].map(|()| bench.offer_within(1, LONG_MS, NESTED_TARGET_MS));
            bench.advance_to(start + i * 25 + 20);
            for call in nested {
                bench.finish(call);
            }
        }
        bench.advance_to(start + 98);
        bench.finish(new);
    }
    bench.dispatched();
    bench
}

fn class(target_ms: u64) -> CallClass {
    CallClass { rank: 1, target: Duration::from_millis(target_ms) }
}

fn offer_new(bench: &mut Bench, count: usize) -> Vec<CallId> {
    (0..count).map(|_| bench.offer_within(1, LONG_MS, NEW_TARGET_MS)).collect()
}

#[test]
fn new_calls_leave_slots_to_nested_ones() {
    let mut bench = warm(true, &[]);
    offer_new(&mut bench, 8);
    let started = bench.dispatched().len();
    assert!((3..6).contains(&started), "{started} new calls run");
    let nested = bench.offer_within(1, LONG_MS, NESTED_TARGET_MS);
    assert_eq!(bench.dispatched(), [nested]);
}

#[test]
fn nested_call_goes_before_waiting_new_ones() {
    let mut bench = warm(true, &[]);
    let new = offer_new(&mut bench, 8);
    // Nested calls fill the other slots, and one more waits.
    let mut nested = Vec::new();
    while bench.running() < 6 {
        nested.push(bench.offer_within(1, LONG_MS, NESTED_TARGET_MS));
    }
    let last = bench.offer_within(1, LONG_MS, NESTED_TARGET_MS);
    bench.dispatched();
    bench.finish(new[0]);
    assert_eq!(bench.dispatched(), [last]);
}

#[test]
fn reports_tell_the_room_of_each_class() {
    let mut bench = warm(true, &[]);
    offer_new(&mut bench, 8);
    let new = bench.admission.class_load(class(NEW_TARGET_MS));
    let nested = bench.admission.class_load(class(NESTED_TARGET_MS));
    assert!(new.free <= 0 && !new.nested, "{new:?}");
    assert!(nested.free > 0 && nested.nested, "{nested:?}");
}

#[test]
fn without_the_setting_calls_are_equal() {
    let mut bench = warm(false, &[]);
    offer_new(&mut bench, 8);
    assert_eq!(bench.dispatched().len(), 6);
    assert!(!bench.admission.class_load(class(NESTED_TARGET_MS)).nested);
}

#[test]
fn class_with_a_short_target_is_nested_before_its_work_is_known() {
    let mut bench = Bench::new(6, 256, &[]);
    bench.step(Event::Configure(Options {
        max_concurrency: 6,
        queue_capacity: 256,
        overload_control: true,
        ..Options::default()
    }));
    offer_new(&mut bench, 8);
    bench.advance_to(30);
    let nested = bench.offer_within(1, LONG_MS, NESTED_TARGET_MS);
    let running = bench.dispatched();
    bench.finish(running[0]);
    assert_eq!(bench.dispatched(), [nested]);
}

#[test]
fn nested_calls_leave_a_less_urgent_rank_its_floor() {
    let mut bench = warm(true, &[0.0, 0.0, 0.1]);
    let (mut nested_runs, mut least_runs) = (0, 0);
    let mut least = Vec::new();
    let start = 2000;
    for ms in 0..4000 {
        bench.advance_to(start + ms);
        bench.finish_older_than(30);
        // Six slots and 30 ms are 200 calls per second; 500 nested ones arrive.
        if ms % 2 == 0 {
            bench.offer_within(1, 400, NESTED_TARGET_MS);
        }
        if ms % 20 == 0 {
            least.push(bench.offer_within(2, LONG_MS, 5000));
        }
        for call in bench.dispatched() {
            match least.contains(&call) {
                true => least_runs += 1,
                false => nested_runs += 1,
            }
        }
    }
    assert!(least_runs * 10 >= nested_runs, "{least_runs} beside {nested_runs}");
}
