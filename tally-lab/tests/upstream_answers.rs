//! What upstreams do to an answer: cut it, shed it, delay it, drain.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{Bench, behaviour, spec};
use goldcresttally_standin::upstream::Behaviour;
use http::Method;
use tally_lab::documents;
use tally_lab::load::{CallSpec, Outcome};

#[tokio::test(flavor = "multi_thread")]
async fn truncated_answer_is_a_failure() {
    let behaviour = Behaviour { truncates: true, ..behaviour() };
    let bench = Bench::start(2, &[(1, behaviour)]).await;
    assert_eq!(bench.call(0, &spec("cut", "write", 1.0)).await, Outcome::RanUnanswered);
    assert_eq!(bench.record.run("cut").started, 1);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn shed_answer_is_retried() {
    // The first upstream sheds whatever comes; shed calls did not run.
    let sheds = Behaviour { sheds: true, ..behaviour() };
    let bench = Bench::start(3, &[(1, sheds), (2, behaviour())]).await;
    for n in 0..20 {
        let id = format!("shed-{n}");
        // The upstream in the entry's own failure domain is the one that sheds.
        assert_eq!(bench.call(1, &spec(&id, "write", 1.0)).await, Outcome::Answered);
        assert_eq!(bench.record.run(&id).started, 1);
    }
    assert!(bench.record.shed_count() > 0);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn late_answer_goes_nowhere() {
    let section = documents::service_section("booking", 300, 64);
    let bench = Bench::start_with(2, &[(1, behaviour())], &section).await;
    let late = bench.call(0, &spec("late", "write", 1000.0)).await;
    assert_eq!(late, Outcome::MayHaveRun);
    // The connection that would carry the late answer is closed, so nobody else can get it.
    for n in 0..50 {
        let id = format!("next-{n}");
        assert_eq!(bench.call(0, &spec(&id, "write", 1.0)).await, Outcome::Answered);
    }
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn crossed_answers_find_their_calls() {
    let bench = Bench::start(2, &[(1, Behaviour { slots: 64, ..behaviour() })]).await;
    let calls = (0..100).map(|n| {
        let id = format!("mixed-{n}");
        // Later calls take less time, so answers overtake each other.
        let spec = spec(&id, ["read", "write"][n % 2], 80.0 - n as f64 / 3.0);
        let (caller, entry) = (bench.caller.clone(), bench.entry(n % 2));
        tokio::spawn(async move { caller.call(entry, &spec).await.0 })
    });
    for call in calls.collect::<Vec<_>>() {
        assert_eq!(call.await.unwrap(), Outcome::Answered);
    }
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn drained_upstream_gets_nothing_new() {
    let bench = Bench::start(3, &[(1, behaviour()), (2, behaviour())]).await;
    let running = bench.call_until_running(0, &spec("old", "write", 800.0)).await;
    let drained = if bench.counter(1, "dispatched") > 0 { 1 } else { 2 };
    bench.fleet.vms[drained].upstream.as_ref().unwrap().drain();
    assert!(bench.fleet.wait_endpoints("booking", 1, common::LIMIT).await);
    let before = bench.counter(drained, "dispatched");
    for n in 0..50 {
        let id = format!("new-{n}");
        assert_eq!(bench.call(0, &spec(&id, "write", 1.0)).await, Outcome::Answered);
    }
    assert_eq!(bench.counter(drained, "dispatched"), before);
    // What it had goes on to its end.
    assert_eq!(running.await.unwrap(), Outcome::Answered);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cold_upstream_waits_for_ready() {
    let cold = Behaviour { cold_start_ms: 3_600_000, ..behaviour() };
    let mut bench = Bench::start(3, &[(1, behaviour())]).await;
    bench.start_upstream(2, cold).await;
    bench
        .until(|b| {
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
        assert_eq!(bench.call(0, &spec(&id, "write", 1.0)).await, Outcome::Answered);
    }
    assert_eq!(bench.counter(2, "dispatched"), 0);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lying_reports_do_no_harm() {
    // Its health and load endpoints say that all is well; its answers say otherwise.
    let lies = Behaviour {
        reported_load: Some(0.0),
        reported_health: Some(true),
        sheds: true,
        ..behaviour()
    };
    let bench = Bench::start(3, &[(1, lies), (2, behaviour())]).await;
    for n in 0..30 {
        let id = format!("call-{n}");
        assert_eq!(bench.call(0, &spec(&id, "read", 1.0)).await, Outcome::Answered);
    }
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_larger_than_any_buffer() {
    let large = Behaviour { answer_bytes: 6 << 20, ..behaviour() };
    let bench = Bench::start(2, &[(1, large)]).await;
    let body = Bytes::from(vec![b'x'; 9 << 20]);
    let spec = CallSpec { body: body.clone(), method: Method::PUT, ..spec("large", "write", 1.0) };
    assert_eq!(bench.call(0, &spec).await, Outcome::Answered);
    assert_eq!(bench.record.run("large").started, 1);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_cuts_nothing() {
    let mut bench = Bench::start(3, &[(1, behaviour()), (2, behaviour())]).await;
    let mut calls = Vec::new();
    for n in 0..40 {
        let (caller, entry) = (bench.caller.clone(), bench.entry(0));
        let spec = spec(&format!("call-{n}"), "write", 600.0);
        calls.push(tokio::spawn(async move { caller.call(entry, &spec).await.0 }));
    }
    bench.until(|b| b.counter(1, "dispatched") > 0).await;
    assert!(bench.fleet.stop_node(1).await, "the stop did not end in time");
    tokio::time::sleep(Duration::from_millis(10)).await;
    for (n, call) in calls.into_iter().enumerate() {
        let outcome = call.await.unwrap();
        let started = bench.record.run(&format!("call-{n}")).started;
        let fine = matches!((outcome, started), (Outcome::Answered, 1) | (Outcome::NotRun, 0));
        assert!(fine, "call {n}: {outcome:?}, started {started} times");
    }
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn crashed_upstream_loses_its_lease() {
    let mut bench = Bench::start(2, &[(1, behaviour())]).await;
    bench.fleet.vms[1].upstream.take().unwrap().stop().await;
    let mut made = 0;
    while !bench.fleet.wait_endpoints("booking", 0, Duration::ZERO).await {
        made += 1;
        let id = format!("call-{made}");
        assert_eq!(bench.call(0, &spec(&id, "write", 1.0)).await, Outcome::NotRun);
        assert!(made < 1000, "still an endpoint");
    }
    assert_eq!(bench.record.runs().len(), 0);
    // One that comes back announces itself and gets calls again.
    bench.start_upstream(1, behaviour()).await;
    assert!(bench.fleet.wait_endpoints("booking", 1, common::LIMIT).await);
    assert_eq!(bench.call(0, &spec("back", "write", 1.0)).await, Outcome::Answered);
    bench.stop().await;
}
