//! Guards against calls that are refused late under overload control: after a wait in a queue that was
//! too long from the start, or, right after a start, that nothing limited.

mod common;

use std::time::Duration;

use common::Bench;
use goldcresttally_admission::{CallId, Event, Options, Refusal};
use goldcresttally_core::Deadline;

const TARGET_MS: u64 = 400;
const DEADLINE_MS: u64 = 1000;

fn upstream() -> Bench {
    let mut bench = Bench::new(6, 256, &[]);
    bench.step(Event::Configure(Options {
        max_concurrency: 6,
        queue_capacity: 256,
        adaptive: false,
        overload_control: true,
        ..Options::default()
    }));
    bench
}

/// Offers a call of the same class that is late on arrival.
fn offer_late(bench: &mut Bench, call: u64) {
    let target = Duration::from_millis(TARGET_MS);
    let deadline = Deadline::after(bench.now, Duration::from_millis(DEADLINE_MS));
    let (call, on_time_by) = (CallId(call), Deadline(bench.now));
    bench.step(Event::Offer { call, rank: 0, deadline, on_time_by, target });
}

#[test]
fn nobody_waits_for_long_before_a_service_time_is_known() {
    let mut bench = upstream();
    let calls: Vec<_> = (0..30).map(|_| bench.offer_within(0, DEADLINE_MS, TARGET_MS)).collect();
    assert_eq!(bench.dispatched(), calls[..6]);
    let at_once = bench.refused();
    assert!(at_once.len() >= 18, "{} refused at once", at_once.len());
    assert!(at_once.iter().all(|(_, refusal)| *refusal == Refusal::Overloaded));
    // A quarter of the target.
    bench.advance_to(101);
    assert_eq!(bench.waiting(), 0, "calls that wait in vain");
}

#[test]
fn late_call_takes_a_free_slot_and_does_not_wait() {
    let mut bench = upstream();
    offer_late(&mut bench, 100);
    assert_eq!(bench.dispatched(), [CallId(100)]);
    for _ in 0..5 {
        bench.offer_within(0, DEADLINE_MS, TARGET_MS);
    }
    bench.dispatched();
    offer_late(&mut bench, 101);
    bench.advance_to(2);
    assert_eq!(bench.refused(), [(CallId(101), Refusal::Overloaded)]);
}
