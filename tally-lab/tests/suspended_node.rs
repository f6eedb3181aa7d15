//! Suspended VMs: the clock advances while the timers stand still.

mod common;

use std::time::Duration;

use common::{Harness, call_spec, fast_behaviour};
use goldcresttally_standin::upstream::Behaviour;
use tally_lab::load::Outcome;

#[tokio::test(flavor = "multi_thread")]
async fn call_queued_across_suspension_does_not_run() {
    let one_slot = Behaviour { slots: 1, ..fast_behaviour() };
    let harness = Harness::start(2, &[(1, one_slot)]).await;
    let running = harness.call_until_running(0, &call_spec("runs", "write", 1500.0)).await;
    let queued = call_spec("waits", "write", 1.0);
    let queued_call = harness.call(0, &queued);
    let suspension = async {
        // By now the call is queued, or it arrives after the clock was advanced.
        tokio::time::sleep(Duration::from_millis(100)).await;
        harness.fleet.suspend(1, Duration::from_secs(10));
    };
    let (outcome, ()) = tokio::join!(queued_call, suspension);
    assert_eq!(outcome, Outcome::NotRun);
    running.await.unwrap();
    assert_eq!(harness.record.run("waits").started, 0);
    assert_eq!(harness.record.run("runs").started, 1);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn node_serves_again_after_suspension() {
    let harness = Harness::start(2, &[(1, fast_behaviour())]).await;
    assert_eq!(harness.call(0, &call_spec("first", "write", 1.0)).await, Outcome::Answered);
    harness.fleet.suspend(1, Duration::from_mins(1));
    // The leases of the node expired; its upstream has to announce itself again.
    for n in 0.. {
        let id = format!("again-{n}");
        let outcome = harness.call(0, &call_spec(&id, "write", 1.0)).await;
        let runs = harness.record.run(&id).started;
        assert_eq!(runs, u32::from(outcome == Outcome::Answered), "{outcome:?}");
        if outcome == Outcome::Answered && n > 0 {
            break;
        }
        assert!(n < 500, "the node serves no calls");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    harness.stop().await;
}
