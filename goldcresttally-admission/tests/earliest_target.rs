//! Guards against nested calls that wait behind slow calls of their rank, or that are refused
//! because the service time of another class is assumed for them.

mod common;

use common::Bench;

#[test]
fn nearest_target_goes_first() {
    let mut bench = Bench::new(1, 64, &[0.0]);
    let running = bench.offer_within(0, 5000, 1500);
    let slow = bench.offer_within(0, 5000, 1500);
    let nested = bench.offer_within(0, 600, 200);
    assert_eq!(bench.dispatched(), [running]);
    bench.finish(running);
    bench.finish(nested);
    assert_eq!(bench.dispatched(), [nested, slow]);
}

#[test]
fn classes_have_their_own_service_time() {
    // The spread of latencies lowers the adaptive limit from four slots to two.
    let mut bench = Bench::new(4, 64, &[0.0]);
    // Slow calls take 800 ms, nested ones 20 ms.
    for _ in 0..6 {
        let slow = bench.offer_within(0, 5000, 3000);
        let nested = bench.offer_within(0, 600, 100);
        let now = bench.now.0 / 1000;
        bench.advance_to(now + 20);
        bench.finish(nested);
        bench.advance_to(now + 800);
        bench.finish(slow);
    }
    bench.dispatched();
    // A slow call takes one slot. By an average over both classes, the nested call would be late.
    bench.offer_within(0, 5000, 3000);
    let nested = bench.offer_within(0, 600, 100);
    assert!(bench.dispatched().contains(&nested));
    assert_eq!(bench.refused(), []);
}
