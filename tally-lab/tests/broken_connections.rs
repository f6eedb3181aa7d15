//! Effects of kills, silent connections and cancellations on calls in flight.

mod common;

use std::time::Duration;

use common::{Harness, call_spec, fast_behaviour};
use tally_lab::load::Outcome;

#[tokio::test(flavor = "multi_thread")]
async fn call_on_killed_node_is_reported_as_may_have_run() {
    let mut harness = Harness::start(2, &[(1, fast_behaviour())]).await;
    let call = harness.call_until_running(0, &call_spec("once", "write", 60_000.0)).await;
    harness.fleet.kill_node(1).await;
    assert_eq!(call.await.unwrap(), Outcome::MayHaveRun);
    assert_eq!(harness.record.run("once").started, 1);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotent_call_on_killed_node_is_retried() {
    let mut harness = Harness::start(3, &[(1, fast_behaviour()), (2, fast_behaviour())]).await;
    // An entry has no retry reserve before it has joined.
    harness.wait_until(|b| b.retry_reserve(0) > 0.0).await;
    let call = harness.call_until_running(0, &call_spec("read", "read", 1500.0)).await;
    let running_on = if harness.counter(1, "dispatched") > 0 { 1 } else { 2 };
    harness.fleet.kill_node(running_on).await;
    assert_eq!(call.await.unwrap(), Outcome::Answered);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn failed_retry_does_not_hide_that_first_attempt_may_have_run() {
    let mut harness = Harness::start(2, &[(1, fast_behaviour())]).await;
    // The first attempt may have run, even if a second one cannot be sent.
    let call = harness.call_until_running(0, &call_spec("read", "read", 60_000.0)).await;
    harness.fleet.kill_node(1).await;
    assert_eq!(call.await.unwrap(), Outcome::MayHaveRun);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn call_on_silent_link_is_settled() {
    let harness = Harness::start(2, &[(1, fast_behaviour())]).await;
    // The connection goes silent while the call runs; the entry gets the answer on another one.
    let call = harness.call_until_running(0, &call_spec("once", "write", 300.0)).await;
    harness.fleet.network.silence_open_connections();
    assert_eq!(call.await.unwrap(), Outcome::Answered);
    assert_eq!(harness.record.run("once").started, 1);
    assert!(harness.counter(0, "settled") >= 1);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_silent_link_does_not_fail_next_call() {
    let harness = Harness::start(2, &[(1, fast_behaviour())]).await;
    assert_eq!(harness.call(0, &call_spec("first", "write", 1.0)).await, Outcome::Answered);
    harness.fleet.network.silence_open_connections();
    // After this time the entry probes the link before it uses it.
    tokio::time::sleep(Duration::from_millis(1200)).await;
    assert_eq!(harness.call(0, &call_spec("second", "write", 1.0)).await, Outcome::Answered);
    assert_eq!(harness.record.run("second").started, 1);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn recently_silent_link_does_not_fail_next_call() {
    let harness = Harness::start(2, &[(1, fast_behaviour())]).await;
    assert_eq!(harness.call(0, &call_spec("first", "write", 1.0)).await, Outcome::Answered);
    harness.fleet.network.silence_open_connections();
    // The request is lost in the silent connection and never reaches the node: safe to send again.
    assert_eq!(harness.call(0, &call_spec("second", "write", 1.0)).await, Outcome::Answered);
    assert_eq!(harness.record.run("second").started, 1);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnect_cancels_the_run() {
    let harness = Harness::start(2, &[(1, fast_behaviour())]).await;
    let call = harness.call_until_running(0, &call_spec("gone", "write", 60_000.0)).await;
    call.abort();
    harness.wait_until(|b| b.record.cancelled() == 1).await;
    assert_eq!(harness.record.run("gone").finished, 0);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_node_gets_calls_again() {
    let mut harness = Harness::start(2, &[(1, fast_behaviour())]).await;
    assert_eq!(harness.call(0, &call_spec("first", "write", 1.0)).await, Outcome::Answered);
    harness.fleet.kill_node(1).await;
    harness.fleet.start_node(1).await.unwrap();
    // Attempts addressed to the previous generation are refused without running them, until the
    // entry knows the new one.
    harness.wait_until(|b| b.fleet.version(1) > 0).await;
    for n in 0..200 {
        let id = format!("again-{n}");
        match harness.call(0, &call_spec(&id, "write", 1.0)).await {
            Outcome::Answered => {
                assert_eq!(harness.record.run(&id).started, 1);
                break;
            }
            Outcome::NotRun => assert_eq!(harness.record.run(&id).started, 0),
            // Sent to the killed process, which alone knew whether the call ran.
            Outcome::MayHaveRun => assert!(harness.record.run(&id).started <= 1),
            other => panic!("{other:?}"),
        }
        assert!(n < 199, "the restarted node got no calls");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    harness.stop().await;
}
