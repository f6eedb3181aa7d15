//! Cancellation of attempts before they arrive, while they run and after they have ended.

mod common;

use std::sync::atomic::Ordering;
use std::time::Duration;

use common::{LIMIT, PeerFixture, closed, failure, stalled_body, within};

/// Number of ledger shards. An attempt's sequence modulo this selects its shard.
const SHARD_COUNT: u64 = 16;

/// A time limit that is expected to expire.
const SHORT_LIMIT: Duration = Duration::from_millis(200);

#[tokio::test]
async fn attempt_that_arrives_after_its_cancellation_never_runs() {
    let fixture = PeerFixture::start().await;
    // The call is delayed on its link, and its cancellation arrives first.
    fixture.send("cancel", 1, LIMIT).await;
    let refused = fixture.send("call", 1, LIMIT).await;
    assert_eq!(failure(refused.headers()), ("not-run", "fenced"));
}

#[tokio::test]
async fn cancellation_of_a_running_attempt_disconnects_the_upstream() {
    let fixture = PeerFixture::start().await;
    let cancel = async {
        let mut upstream = fixture.accept().await;
        fixture.send("cancel", 1, LIMIT).await;
        closed(&mut upstream).await;
    };
    let (ended, ()) = tokio::join!(fixture.send("call", 1, LIMIT), cancel);
    assert_eq!(failure(ended.headers()), ("may-have-run", "caller-gone"));
}

#[tokio::test]
async fn attempt_without_a_body_expires_from_the_ledger() {
    let fixture = PeerFixture::start().await;
    let call = fixture.send_body("call", 1, LIMIT, stalled_body());
    tokio::time::timeout(SHORT_LIMIT, call).await.unwrap_err();
    assert_eq!(fixture.peer.ledger_size().0, 1);
    fixture
        .clock_offset_us
        .fetch_add(Duration::from_hours(1).as_micros() as u64, Ordering::Relaxed);
    // A ledger shard drops expired attempts when it handles its next message.
    fixture.send("cancel", 1 + SHARD_COUNT, LIMIT).await;
    assert_eq!(fixture.peer.ledger_size().0, 1);
}

#[tokio::test]
async fn attempt_whose_body_never_arrives_ends_as_not_run() {
    let fixture = PeerFixture::start().await;
    let refused = within(fixture.send_body("call", 1, SHORT_LIMIT, stalled_body())).await;
    assert_eq!(failure(refused.headers()), ("not-run", "deadline"));
}

#[tokio::test]
async fn cancellation_after_the_end_keeps_the_outcome() {
    let fixture = PeerFixture::start().await;
    let response = async {
        let mut upstream = fixture.accept().await;
        common::write(&mut upstream, b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await;
        upstream
    };
    let (answered, _upstream) = tokio::join!(fixture.send("call", 1, LIMIT), response);
    assert_eq!(answered.status(), 200);
    fixture.send("cancel", 1, Duration::ZERO).await;
    let settled = fixture.send("settle", 1, LIMIT).await;
    assert_eq!(settled.headers().get("tally-settlement").unwrap(), "done");
}
