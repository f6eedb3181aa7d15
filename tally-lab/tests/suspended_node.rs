//! A VM that is suspended: time passes that its timers do not notice.

mod common;

use std::time::Duration;

use common::{Bench, behaviour, spec};
use goldcresttally_standin::upstream::Behaviour;
use tally_lab::load::Outcome;

#[tokio::test(flavor = "multi_thread")]
async fn what_waited_is_not_run() {
    let one_slot = Behaviour { slots: 1, ..behaviour() };
    let bench = Bench::start(2, &[(1, one_slot)]).await;
    let running = bench.call_until_running(0, &spec("runs", "write", 1500.0)).await;
    let waits = spec("waits", "write", 1.0);
    let waiting = bench.call(0, &waits);
    let suspended = async {
        // The call waits by now, or comes to a node whose clock has gone on.
        tokio::time::sleep(Duration::from_millis(100)).await;
        bench.fleet.suspend(1, Duration::from_secs(10));
    };
    let (outcome, ()) = tokio::join!(waiting, suspended);
    assert_eq!(outcome, Outcome::NotRun);
    running.await.unwrap();
    assert_eq!(bench.record.run("waits").started, 0);
    assert_eq!(bench.record.run("runs").started, 1);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn it_serves_again() {
    let bench = Bench::start(2, &[(1, behaviour())]).await;
    assert_eq!(bench.call(0, &spec("first", "write", 1.0)).await, Outcome::Answered);
    bench.fleet.suspend(1, Duration::from_mins(1));
    // Its leases have lapsed; its upstream announces itself anew.
    for n in 0.. {
        let id = format!("again-{n}");
        let outcome = bench.call(0, &spec(&id, "write", 1.0)).await;
        let runs = bench.record.run(&id).started;
        assert_eq!(runs, u32::from(outcome == Outcome::Answered), "{outcome:?}");
        if outcome == Outcome::Answered && n > 0 {
            break;
        }
        assert!(n < 500, "the node serves no calls");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    bench.stop().await;
}
