//! A call with a key runs at most once, whoever repeats it, wherever and whenever.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{Bench, behaviour, spec};
use goldcresttally_standin::platform::Faults;
use tally_lab::load::{CallSpec, Outcome};

fn keyed(id: &str, key: &str, ms: f64) -> CallSpec {
    CallSpec { key: Some(key.to_owned()), ..spec(id, "keyed", ms) }
}

#[tokio::test(flavor = "multi_thread")]
async fn repeat_on_another_node() {
    let bench = Bench::start(3, &[(1, behaviour()), (2, behaviour())]).await;
    assert_eq!(bench.call(0, &keyed("a", "k1", 1.0)).await, Outcome::Answered);
    for entry in 0..3 {
        assert_eq!(bench.call(entry, &keyed("a", "k1", 1.0)).await, Outcome::Answered);
    }
    assert_eq!(bench.record.run("a").started, 1);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn repeats_at_once() {
    let bench = Bench::start(3, &[(1, behaviour()), (2, behaviour())]).await;
    let calls = (0..12).map(|n| {
        let (caller, entry) = (bench.caller.clone(), bench.entry(n % 3));
        tokio::spawn(async move { caller.call(entry, &keyed("a", "k", 100.0)).await.0 })
    });
    for call in calls.collect::<Vec<_>>() {
        let outcome = call.await.unwrap();
        // A repeat gets the first one's answer, or hears that it still runs.
        assert!(
            !matches!(outcome, Outcome::Crossed | Outcome::Cut | Outcome::Broken),
            "{outcome:?}"
        );
    }
    assert_eq!(bench.record.run("a").started, 1);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn key_of_another_call() {
    let bench = Bench::start(2, &[(1, behaviour())]).await;
    assert_eq!(bench.call(0, &keyed("a", "k", 1.0)).await, Outcome::Answered);
    let other = CallSpec { body: Bytes::from_static(b"seats=9"), ..keyed("b", "k", 1.0) };
    assert_eq!(bench.call(0, &other).await, Outcome::NotRun);
    assert_eq!(bench.record.run("b").started, 0);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn missing_key() {
    let bench = Bench::start(2, &[(1, behaviour())]).await;
    let spec = CallSpec { key: None, ..keyed("a", "", 1.0) };
    assert_eq!(bench.call(0, &spec).await, Outcome::NotRun);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn store_down_refuses() {
    let bench = Bench::start(2, &[(1, behaviour())]).await;
    bench.fleet.platform.set_faults(Faults { down: true, ..Faults::default() });
    assert_eq!(bench.call(0, &keyed("a", "k", 1.0)).await, Outcome::NotRun);
    assert_eq!(bench.record.run("a").started, 0);
    // Calls without a key need no store.
    assert_eq!(bench.call(0, &spec("b", "write", 1.0)).await, Outcome::Answered);
    bench.fleet.platform.set_faults(Faults::default());
    bench.until_answered(&keyed("a", "k", 1.0)).await;
    assert_eq!(bench.record.run("a").started, 1);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_claim_answer() {
    let bench = Bench::start(2, &[(1, behaviour())]).await;
    bench.fleet.platform.set_faults(Faults { lose_answers: 1.0, ..Faults::default() });
    assert_eq!(bench.call(0, &keyed("a", "k", 1.0)).await, Outcome::Answered);
    assert_eq!(bench.call(1, &keyed("a", "k", 1.0)).await, Outcome::Answered);
    assert_eq!(bench.record.run("a").started, 1);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_between() {
    let mut bench = Bench::start(3, &[(1, behaviour())]).await;
    // The entry dies while the call runs; the repeat is settled at the node that runs it.
    let call = bench.call_until_running(0, &keyed("a", "k", 700.0)).await;
    bench.fleet.kill_node(0).await;
    assert_eq!(call.await.unwrap(), Outcome::Broken);
    let repeat = keyed("a", "k", 700.0);
    for _ in 0..40 {
        if bench.call(2, &repeat).await == Outcome::Answered {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(bench.call(2, &repeat).await, Outcome::Answered);
    assert_eq!(bench.record.run("a").started, 1);
    bench.stop().await;
}

impl Bench {
    async fn until_answered(&self, spec: &CallSpec) {
        for _ in 0..100 {
            if self.call(0, spec).await == Outcome::Answered {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("never answered");
    }
}
