//! A cancellation ends an attempt, whenever it comes.

mod common;

use std::sync::atomic::Ordering;
use std::time::Duration;

use common::{Bench, LIMIT, closed, failure, stalled_body, within};

/// Shards of the ledger; an attempt's is its sequence's remainder.
const SHARDS: u64 = 16;

/// A wait that is meant to run out.
const SHORT: Duration = Duration::from_millis(200);

#[tokio::test]
async fn cancelled_before_it_came() {
    let bench = Bench::start().await;
    // The call is held up on its link and its cancellation is not.
    bench.send("cancel", 1, LIMIT).await;
    let refused = bench.send("call", 1, LIMIT).await;
    assert_eq!(failure(refused.headers()), ("not-run", "fenced"));
}

#[tokio::test]
async fn cancelled_while_it_runs() {
    let bench = Bench::start().await;
    let cancel = async {
        let mut upstream = bench.accept().await;
        bench.send("cancel", 1, LIMIT).await;
        closed(&mut upstream).await;
    };
    let (ended, ()) = tokio::join!(bench.send("call", 1, LIMIT), cancel);
    assert_eq!(failure(ended.headers()), ("may-have-run", "caller-gone"));
}

#[tokio::test]
async fn broken_off_before_its_body_is_forgotten_in_time() {
    let bench = Bench::start().await;
    let call = bench.send_body("call", 1, LIMIT, stalled_body());
    tokio::time::timeout(SHORT, call).await.unwrap_err();
    assert_eq!(bench.peer.ledger_size().0, 1);
    bench.ahead_us.fetch_add(Duration::from_hours(1).as_micros() as u64, Ordering::Relaxed);
    // A shard of the ledger expires what it holds with its next message.
    bench.send("cancel", 1 + SHARDS, LIMIT).await;
    assert_eq!(bench.peer.ledger_size().0, 1);
}

#[tokio::test]
async fn body_that_does_not_come_ends_as_not_run() {
    let bench = Bench::start().await;
    let refused = within(bench.send_body("call", 1, SHORT, stalled_body())).await;
    assert_eq!(failure(refused.headers()), ("not-run", "deadline"));
}

#[tokio::test]
async fn cancelled_after_its_end() {
    let bench = Bench::start().await;
    let answer = async {
        let mut upstream = bench.accept().await;
        common::write(&mut upstream, b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await;
        upstream
    };
    let (answered, _upstream) = tokio::join!(bench.send("call", 1, LIMIT), answer);
    assert_eq!(answered.status(), 200);
    bench.send("cancel", 1, Duration::ZERO).await;
    let settled = bench.send("settle", 1, LIMIT).await;
    assert_eq!(settled.headers().get("tally-settlement").unwrap(), "done");
}
