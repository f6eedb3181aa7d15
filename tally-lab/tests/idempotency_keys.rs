//! Calls with an idempotency key run at most once, however they are repeated.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{Harness, call_spec, fast_behaviour};
use goldcresttally_standin::platform::Faults;
use tally_lab::load::{CallSpec, Outcome};

fn keyed(id: &str, key: &str, ms: f64) -> CallSpec {
    CallSpec { key: Some(key.to_owned()), ..call_spec(id, "keyed", ms) }
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_call_repeated_on_other_nodes_runs_once() {
    let harness = Harness::start(3, &[(1, fast_behaviour()), (2, fast_behaviour())]).await;
    assert_eq!(harness.call(0, &keyed("a", "k1", 1.0)).await, Outcome::Answered);
    for entry in 0..3 {
        assert_eq!(harness.call(entry, &keyed("a", "k1", 1.0)).await, Outcome::Answered);
    }
    assert_eq!(harness.record.run("a").started, 1);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_repeats_of_keyed_call_run_once() {
    let harness = Harness::start(3, &[(1, fast_behaviour()), (2, fast_behaviour())]).await;
    let calls = (0..12).map(|n| {
        let (caller, entry) = (harness.caller.clone(), harness.entry(n % 3));
        tokio::spawn(async move { caller.call(entry, &keyed("a", "k", 100.0)).await.0 })
    });
    for call in calls.collect::<Vec<_>>() {
        let outcome = call.await.unwrap();
        // A repeat gets the answer of the first call, or a refusal because that one still runs.
        assert!(
            !matches!(outcome, Outcome::Crossed | Outcome::Cut | Outcome::Broken),
            "{outcome:?}"
        );
    }
    assert_eq!(harness.record.run("a").started, 1);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn key_reused_for_another_call_is_refused() {
    let harness = Harness::start(2, &[(1, fast_behaviour())]).await;
    assert_eq!(harness.call(0, &keyed("a", "k", 1.0)).await, Outcome::Answered);
    let other = CallSpec { body: Bytes::from_static(b"seats=9"), ..keyed("b", "k", 1.0) };
    assert_eq!(harness.call(0, &other).await, Outcome::NotRun);
    assert_eq!(harness.record.run("b").started, 0);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn call_without_required_key_is_refused() {
    let harness = Harness::start(2, &[(1, fast_behaviour())]).await;
    let spec = CallSpec { key: None, ..keyed("a", "", 1.0) };
    assert_eq!(harness.call(0, &spec).await, Outcome::NotRun);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_call_is_refused_while_store_is_down() {
    let harness = Harness::start(2, &[(1, fast_behaviour())]).await;
    harness.fleet.platform.set_faults(Faults { down: true, ..Faults::default() });
    assert_eq!(harness.call(0, &keyed("a", "k", 1.0)).await, Outcome::NotRun);
    assert_eq!(harness.record.run("a").started, 0);
    // Calls without a key do not use the store.
    assert_eq!(harness.call(0, &call_spec("b", "write", 1.0)).await, Outcome::Answered);
    harness.fleet.platform.set_faults(Faults::default());
    harness.call_until_answered(&keyed("a", "k", 1.0)).await;
    assert_eq!(harness.record.run("a").started, 1);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_claim_answer_does_not_run_call_twice() {
    let harness = Harness::start(2, &[(1, fast_behaviour())]).await;
    harness.fleet.platform.set_faults(Faults { lose_answers: 1.0, ..Faults::default() });
    assert_eq!(harness.call(0, &keyed("a", "k", 1.0)).await, Outcome::Answered);
    assert_eq!(harness.call(1, &keyed("a", "k", 1.0)).await, Outcome::Answered);
    assert_eq!(harness.record.run("a").started, 1);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn repeat_after_entry_kill_does_not_run_call_twice() {
    let mut harness = Harness::start(3, &[(1, fast_behaviour())]).await;
    // The entry is killed while the call runs; the repeat is answered by the node that runs it.
    let call = harness.call_until_running(0, &keyed("a", "k", 700.0)).await;
    harness.fleet.kill_node(0).await;
    assert_eq!(call.await.unwrap(), Outcome::Broken);
    let repeat = keyed("a", "k", 700.0);
    for _ in 0..40 {
        if harness.call(2, &repeat).await == Outcome::Answered {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(harness.call(2, &repeat).await, Outcome::Answered);
    assert_eq!(harness.record.run("a").started, 1);
    harness.stop().await;
}

impl Harness {
    async fn call_until_answered(&self, spec: &CallSpec) {
        for _ in 0..100 {
            if self.call(0, spec).await == Outcome::Answered {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("the call was never answered");
    }
}
