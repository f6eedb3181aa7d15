//! Guards against a node that is short of processor time and spends it on attempts that it refuses
//! in the end.

mod common;

use std::time::Duration;

use common::{LIMIT, PeerFixture, failure, stalled_body, within};
use http::StatusCode;

/// Makes the node short of processor time, so that it refuses most calls.
fn delay_probes(fixture: &PeerFixture) {
    let state = fixture.peer.state();
    let mut now = state.clock.now();
    for _ in 0..20 {
        now = now + Duration::from_millis(220);
        state.processor.on_probe(now, Duration::from_millis(200));
    }
}

#[tokio::test]
async fn attempt_is_refused_at_once_and_before_its_body_has_arrived() {
    let fixture = PeerFixture::start_with_overload_control().await;
    delay_probes(&fixture);
    // Four waits of 200 ms are more than the time left, so the call is refused for certain.
    let left = Duration::from_millis(500);
    let refused = within(fixture.send_body("call", 1, left, stalled_body())).await;
    assert_eq!(failure(refused.headers()), ("not-run", "overloaded"));
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.headers().contains_key("tally-retry-after-ms"));
    assert!(refused.headers()["tally-load"].to_str().unwrap().starts_with("0/"), "no free slots");
    assert_eq!(fixture.peer.ledger_size().0, 0);
    assert_eq!(fixture.peer.state().counters.processor_refused.get(), 1);
}

#[tokio::test]
async fn node_without_the_setting_does_not_refuse() {
    let fixture = PeerFixture::start().await;
    delay_probes(&fixture);
    let short = Duration::from_millis(200);
    let refused = within(fixture.send_body("call", 1, short, stalled_body())).await;
    assert_eq!(failure(refused.headers()), ("not-run", "deadline"));
    assert_eq!(fixture.peer.state().counters.processor_refused.get(), 0);
}

#[tokio::test]
async fn node_with_enough_time_does_not_refuse() {
    let fixture = PeerFixture::start_with_overload_control().await;
    let serve = async {
        let mut upstream = fixture.accept().await;
        common::write(&mut upstream, b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await;
    };
    let (answer, ()) = tokio::join!(fixture.send("call", 1, LIMIT), serve);
    assert_eq!(answer.status(), StatusCode::OK);
}
