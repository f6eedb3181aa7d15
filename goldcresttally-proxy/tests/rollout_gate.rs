//! The gate of a rollout. Failures: a call that reaches an upstream whose gate is closed or whose
//! lease has ended, also after the process was paused; a refusal that does not say not-run; answers
//! that are counted wrongly.

mod common;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use common::{LIMIT, PeerFixture, failure};
use goldcresttally_core::Deadline;
use goldcresttally_proxy::peer::RolloutGate;

async fn start() -> (PeerFixture, Arc<RolloutGate>) {
    let fixture = PeerFixture::start().await;
    let gate = Arc::new(RolloutGate::new("booking".parse().unwrap()));
    fixture.peer.set_rollout_gate(Arc::clone(&gate));
    (fixture, gate)
}

async fn call(fixture: &PeerFixture, sequence: u64, status: &str) {
    let answer = async {
        let mut upstream = fixture.accept().await;
        let head = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
        common::write(&mut upstream, head.as_bytes()).await;
        upstream
    };
    let (answered, _upstream) = tokio::join!(fixture.send("call", sequence, LIMIT), answer);
    assert_eq!(answered.status().as_str(), status.split(' ').next().unwrap());
}

#[tokio::test]
async fn closed_gate_refuses_calls_as_not_run() {
    let (fixture, gate) = start().await;
    let refused = fixture.send("call", 1, LIMIT).await;
    assert_eq!(failure(refused.headers()), ("not-run", "closed"));
    assert_eq!(refused.status(), 503);
    gate.open_until(None);
    call(&fixture, 2, "200 OK").await;
    gate.close();
    let refused = fixture.send("call", 3, LIMIT).await;
    assert_eq!(failure(refused.headers()), ("not-run", "closed"));
    assert_eq!(fixture.peer.running_calls(&"booking".parse().unwrap()), 0);
}

#[tokio::test]
async fn lease_that_ended_while_the_process_was_paused_lets_no_call_through() {
    let (fixture, gate) = start().await;
    let now = fixture.peer.state().clock.now();
    gate.open_until(Some(Deadline::after(now, Duration::from_mins(1))));
    call(&fixture, 1, "200 OK").await;
    let pause = Duration::from_secs(61).as_micros() as u64;
    fixture.clock_offset_us.fetch_add(pause, Ordering::Relaxed);
    let refused = fixture.send("call", 2, LIMIT).await;
    assert_eq!(failure(refused.headers()), ("not-run", "closed"));
}

#[tokio::test]
async fn answers_are_counted_only_while_a_rollout_is_under_way() {
    let (fixture, gate) = start().await;
    gate.open_until(None);
    call(&fixture, 1, "200 OK").await;
    assert_eq!(gate.read_counts(), (0, Vec::new()));
    gate.set_counting(true, true);
    call(&fixture, 2, "200 OK").await;
    call(&fixture, 3, "500 Internal Server Error").await;
    call(&fixture, 4, "404 Not Found").await;
    // The upstream sheds the call: that tells of its load, not of its release.
    call(&fixture, 5, "503 Service Unavailable").await;
    let (sent, classes) = gate.read_counts();
    let answered: u64 = classes.iter().map(|(_, count)| count.answered).sum();
    let failed: u64 = classes.iter().map(|(_, count)| count.failed).sum();
    assert_eq!((sent, answered, failed), (4, 3, 1));
    gate.reset_counts();
    assert_eq!(gate.read_counts(), (0, Vec::new()));
}
