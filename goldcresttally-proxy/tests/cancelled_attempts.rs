//! A cancellation ends an attempt, whenever it comes.

mod common;

use std::time::Duration;

use common::{Bench, LIMIT, closed, failure};

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
