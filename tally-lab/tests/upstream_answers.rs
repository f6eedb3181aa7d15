//! Answers of upstreams that truncate, shed, delay, drain, warm up or crash.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{Harness, call_spec, fast_behaviour};
use goldcresttally_standin::upstream::Behaviour;
use http::Method;
use tally_lab::documents;
use tally_lab::load::{CallSpec, Outcome};

#[tokio::test(flavor = "multi_thread")]
async fn truncated_answer_is_a_failure() {
    let behaviour = Behaviour { truncates: true, ..fast_behaviour() };
    let harness = Harness::start(2, &[(1, behaviour)]).await;
    assert_eq!(harness.call(0, &call_spec("cut", "write", 1.0)).await, Outcome::RanUnanswered);
    assert_eq!(harness.record.run("cut").started, 1);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn shed_answer_is_retried() {
    // The first upstream sheds every call; shed calls did not run.
    let sheds = Behaviour { sheds: true, ..fast_behaviour() };
    let harness = Harness::start(3, &[(1, sheds), (2, fast_behaviour())]).await;
    for n in 0..20 {
        let id = format!("shed-{n}");
        // The shedding upstream is in the failure domain of the entry, so it is tried first.
        assert_eq!(harness.call(1, &call_spec(&id, "write", 1.0)).await, Outcome::Answered);
        assert_eq!(harness.record.run(&id).started, 1);
    }
    assert!(harness.record.shed_count() > 0);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn late_answer_does_not_reach_another_call() {
    let section = documents::service_section("booking", 300, 64);
    let harness = Harness::start_with(2, &[(1, fast_behaviour())], &section).await;
    let late = harness.call(0, &call_spec("late", "write", 1000.0)).await;
    assert_eq!(late, Outcome::MayHaveRun);
    // The connection of the late answer is closed, so that no other call can receive it.
    for n in 0..50 {
        let id = format!("next-{n}");
        assert_eq!(harness.call(0, &call_spec(&id, "write", 1.0)).await, Outcome::Answered);
    }
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn reordered_answers_reach_their_own_calls() {
    let harness = Harness::start(2, &[(1, Behaviour { slots: 64, ..fast_behaviour() })]).await;
    let calls = (0..100).map(|n| {
        let id = format!("mixed-{n}");
        // Later calls take less time, so answers come back out of order.
        let spec = call_spec(&id, ["read", "write"][n % 2], 80.0 - n as f64 / 3.0);
        let (caller, entry) = (harness.caller.clone(), harness.entry(n % 2));
        tokio::spawn(async move { caller.call(entry, &spec).await.0 })
    });
    for call in calls.collect::<Vec<_>>() {
        assert_eq!(call.await.unwrap(), Outcome::Answered);
    }
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_upstream_gets_no_new_calls() {
    let harness = Harness::start(3, &[(1, fast_behaviour()), (2, fast_behaviour())]).await;
    let running = harness.call_until_running(0, &call_spec("old", "write", 800.0)).await;
    let drained = if harness.counter(1, "dispatched") > 0 { 1 } else { 2 };
    harness.fleet.vms[drained].upstream.as_ref().unwrap().drain();
    assert!(harness.fleet.wait_endpoints("booking", 1, common::WAIT_LIMIT).await);
    let before = harness.counter(drained, "dispatched");
    for n in 0..50 {
        let id = format!("new-{n}");
        assert_eq!(harness.call(0, &call_spec(&id, "write", 1.0)).await, Outcome::Answered);
    }
    assert_eq!(harness.counter(drained, "dispatched"), before);
    // A call that was running before the drain completes.
    assert_eq!(running.await.unwrap(), Outcome::Answered);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cold_upstream_gets_no_calls_before_ready() {
    let cold = Behaviour { cold_start_ms: 3_600_000, ..fast_behaviour() };
    let mut harness = Harness::start(3, &[(1, fast_behaviour())]).await;
    harness.start_upstream(2, cold).await;
    harness
        .wait_until(|b| {
            b.fleet.vms[0]
                .node
                .as_ref()
                .unwrap()
                .state()
                .endpoints()
                .get(&"booking".parse().unwrap())
                .map_or(0, |e| e.len())
                == 2
        })
        .await;
    for n in 0..50 {
        let id = format!("warm-{n}");
        assert_eq!(harness.call(0, &call_spec(&id, "write", 1.0)).await, Outcome::Answered);
    }
    assert_eq!(harness.counter(2, "dispatched"), 0);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn false_health_reports_do_not_fail_calls() {
    // The health and load endpoints report a healthy, idle upstream, but every call is shed.
    let false_reports = Behaviour {
        reported_load: Some(0.0),
        reported_health: Some(true),
        sheds: true,
        ..fast_behaviour()
    };
    let harness = Harness::start(3, &[(1, false_reports), (2, fast_behaviour())]).await;
    for n in 0..30 {
        let id = format!("call-{n}");
        assert_eq!(harness.call(0, &call_spec(&id, "read", 1.0)).await, Outcome::Answered);
    }
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_larger_than_buffers_are_not_truncated() {
    let large = Behaviour { answer_bytes: 6 << 20, ..fast_behaviour() };
    let harness = Harness::start(2, &[(1, large)]).await;
    let body = Bytes::from(vec![b'x'; 9 << 20]);
    let spec =
        CallSpec { body: body.clone(), method: Method::PUT, ..call_spec("large", "write", 1.0) };
    assert_eq!(harness.call(0, &spec).await, Outcome::Answered);
    assert_eq!(harness.record.run("large").started, 1);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_does_not_lose_calls() {
    let mut harness = Harness::start(3, &[(1, fast_behaviour()), (2, fast_behaviour())]).await;
    let mut calls = Vec::new();
    for n in 0..40 {
        let (caller, entry) = (harness.caller.clone(), harness.entry(0));
        let spec = call_spec(&format!("call-{n}"), "write", 600.0);
        calls.push(tokio::spawn(async move { caller.call(entry, &spec).await.0 }));
    }
    harness.wait_until(|b| b.counter(1, "dispatched") > 0).await;
    assert!(harness.fleet.stop_node(1).await, "the stop did not end in time");
    tokio::time::sleep(Duration::from_millis(10)).await;
    for (n, call) in calls.into_iter().enumerate() {
        let outcome = call.await.unwrap();
        let started = harness.record.run(&format!("call-{n}")).started;
        let consistent =
            matches!((outcome, started), (Outcome::Answered, 1) | (Outcome::NotRun, 0));
        assert!(consistent, "call {n}: {outcome:?}, started {started} times");
    }
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn crashed_upstream_gets_no_calls_and_loses_its_lease() {
    let mut harness = Harness::start(2, &[(1, fast_behaviour())]).await;
    harness.fleet.vms[1].upstream.take().unwrap().stop().await;
    let mut call_count = 0;
    while !harness.fleet.wait_endpoints("booking", 0, Duration::ZERO).await {
        call_count += 1;
        let id = format!("call-{call_count}");
        assert_eq!(harness.call(0, &call_spec(&id, "write", 1.0)).await, Outcome::NotRun);
        assert!(call_count < 1000, "the crashed upstream is still an endpoint");
    }
    assert_eq!(harness.record.runs().len(), 0);
    // A restarted upstream announces itself and gets calls again.
    harness.start_upstream(1, fast_behaviour()).await;
    assert!(harness.fleet.wait_endpoints("booking", 1, common::WAIT_LIMIT).await);
    assert_eq!(harness.call(0, &call_spec("back", "write", 1.0)).await, Outcome::Answered);
    harness.stop().await;
}
