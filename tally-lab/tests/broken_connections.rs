//! Kills, silent connections and cancellations: what they do to a call in flight.

mod common;

use std::time::Duration;

use common::{Bench, behaviour, spec};
use tally_lab::load::Outcome;

#[tokio::test(flavor = "multi_thread")]
async fn killed_node_leaves_doubt() {
    let mut bench = Bench::start(2, &[(1, behaviour())]).await;
    let call = bench.call_until_running(0, &spec("once", "write", 60_000.0)).await;
    bench.fleet.kill_node(1).await;
    assert_eq!(call.await.unwrap(), Outcome::MayHaveRun);
    assert_eq!(bench.record.run("once").started, 1);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_node_is_retried_when_idempotent() {
    let mut bench = Bench::start(3, &[(1, behaviour()), (2, behaviour())]).await;
    // An entry that has not joined yet has no part of the retry budget.
    bench.until(|b| b.retry_reserve(0) > 0.0).await;
    let call = bench.call_until_running(0, &spec("read", "read", 1500.0)).await;
    let running = if bench.counter(1, "dispatched") > 0 { 1 } else { 2 };
    bench.fleet.kill_node(running).await;
    assert_eq!(call.await.unwrap(), Outcome::Answered);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn earlier_attempt_counts() {
    let mut bench = Bench::start(2, &[(1, behaviour())]).await;
    // The first attempt may have run; that the second cannot even be sent does not change that.
    let call = bench.call_until_running(0, &spec("read", "read", 60_000.0)).await;
    bench.fleet.kill_node(1).await;
    assert_eq!(call.await.unwrap(), Outcome::MayHaveRun);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_link_is_settled() {
    let bench = Bench::start(2, &[(1, behaviour())]).await;
    // The connection goes silent while the call runs; its answer is had on another one.
    let call = bench.call_until_running(0, &spec("once", "write", 300.0)).await;
    bench.fleet.network.silence_open_connections();
    assert_eq!(call.await.unwrap(), Outcome::Answered);
    assert_eq!(bench.record.run("once").started, 1);
    assert!(bench.counter(0, "settled") >= 1);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_silent_link_is_probed() {
    let bench = Bench::start(2, &[(1, behaviour())]).await;
    assert_eq!(bench.call(0, &spec("first", "write", 1.0)).await, Outcome::Answered);
    bench.fleet.network.silence_open_connections();
    // Long enough for the link not to count as heard from.
    tokio::time::sleep(Duration::from_millis(1200)).await;
    assert_eq!(bench.call(0, &spec("second", "write", 1.0)).await, Outcome::Answered);
    assert_eq!(bench.record.run("second").started, 1);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_before_the_request() {
    let bench = Bench::start(2, &[(1, behaviour())]).await;
    assert_eq!(bench.call(0, &spec("first", "write", 1.0)).await, Outcome::Answered);
    bench.fleet.network.silence_open_connections();
    // The request goes into the silent connection: it was not seen, and is safe to send again.
    assert_eq!(bench.call(0, &spec("second", "write", 1.0)).await, Outcome::Answered);
    assert_eq!(bench.record.run("second").started, 1);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_gone_cancels() {
    let bench = Bench::start(2, &[(1, behaviour())]).await;
    let call = bench.call_until_running(0, &spec("gone", "write", 60_000.0)).await;
    call.abort();
    bench.until(|b| b.record.cancelled() == 1).await;
    assert_eq!(bench.record.run("gone").finished, 0);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_node_is_another() {
    let mut bench = Bench::start(2, &[(1, behaviour())]).await;
    assert_eq!(bench.call(0, &spec("first", "write", 1.0)).await, Outcome::Answered);
    bench.fleet.kill_node(1).await;
    bench.fleet.start_node(1).await.unwrap();
    // Attempts meant for the earlier process are refused unrun until the entry has learned.
    bench.until(|b| b.fleet.version(1) > 0).await;
    for n in 0..200 {
        let id = format!("again-{n}");
        match bench.call(0, &spec(&id, "write", 1.0)).await {
            Outcome::Answered => {
                assert_eq!(bench.record.run(&id).started, 1);
                break;
            }
            Outcome::NotRun => assert_eq!(bench.record.run(&id).started, 0),
            // Sent to the earlier process: only that one knew.
            Outcome::MayHaveRun => assert!(bench.record.run(&id).started <= 1),
            other => panic!("{other:?}"),
        }
        assert!(n < 199, "the restarted node got no calls");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    bench.stop().await;
}
