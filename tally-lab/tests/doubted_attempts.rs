//! Suspected attempts: the link is quiet for a while, or breaks, while the upstream works.

mod common;

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use common::{Harness, WAIT_LIMIT, call_spec, fast_behaviour};
use goldcresttally_proxy::entry::Options;
use goldcresttally_standin::upstream::{Behaviour, Run};
use tally_lab::documents;
use tally_lab::fleet::FleetOptions;
use tally_lab::load::{CallSpec, Outcome};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time for which a link carries no answers: longer than the check and the probe of a quiet link,
/// shorter than the time after which the HTTP/2 library closes it.
const ANSWER_PAUSE: Duration = Duration::from_millis(600);

/// Service time of a call, in milliseconds; longer than `ANSWER_PAUSE`.
const SERVICE_MS: f64 = 900.0;

/// Time for which a link is quiet in the middle of an answer: below the 1.5 s after which the
/// kernel closes a connection.
const MID_ANSWER_PAUSE: Duration = Duration::from_millis(1300);

/// Time for which a node is paused in the middle of an answer; the kernel keeps its connections.
const LONG_PAUSE: Duration = Duration::from_secs(4);

/// Service time of a call whose link falls silent, in milliseconds, and the time until then; the link
/// has answered a probe before.
const SILENT_SERVICE_MS: f64 = 3000.0;
const PROBED_AFTER: Duration = Duration::from_millis(800);

/// Size of an answer that exceeds all buffers between upstream and caller.
const LARGE_ANSWER_BYTES: usize = 24 << 20;

const RAN_ONCE: Run = Run { started: 1, finished: 1 };

/// Starts a fleet with an upstream on VM 1; retries are not limited by a budget.
async fn start(nodes: usize, upstream: Behaviour, section: &str) -> Harness {
    let entry = Options { retry_budget: false, ..Options::default() };
    let options = FleetOptions { entry, ..FleetOptions::default() };
    Harness::start_fleet(options, nodes, &[(1, upstream)], section).await
}

fn section() -> String {
    documents::service_section("booking", 4000, 64)
}

fn ip(harness: &Harness, i: usize) -> IpAddr {
    harness.fleet.vms[i].location.ip()
}

/// Makes a call while the answers of VM 1 are delayed for `ANSWER_PAUSE`.
async fn call_with_delayed_answers(harness: &Harness, spec: &CallSpec) -> Outcome {
    harness.fleet.network.hold_answers(ip(harness, 1));
    let call = harness.call_until_running(0, spec).await;
    tokio::time::sleep(ANSWER_PAUSE).await;
    harness.fleet.network.release_answers(ip(harness, 1));
    call.await.unwrap()
}

/// Makes a call and resets its link while the upstream works.
async fn call_with_link_reset(harness: &Harness, spec: &CallSpec) -> Outcome {
    let call = harness.call_until_running(0, spec).await;
    harness.fleet.network.reset_open_connections();
    call.await.unwrap()
}

/// Starts an upstream on VM 2 that stays in its cold start, so that it is tried only after VM 1.
async fn start_second_upstream(harness: &mut Harness, behaviour: Behaviour) {
    let cold_start_ms = 10 * WAIT_LIMIT.as_millis() as u64;
    harness.start_upstream(2, Behaviour { cold_start_ms, ..behaviour }).await;
    let booking = "booking".parse().unwrap();
    harness
        .wait_until(|b| {
            let endpoints = b.fleet.vms[0].node.as_ref().unwrap().state().endpoints();
            endpoints.get(&booking).is_some_and(|all| all.len() == 2)
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn suspicion_does_not_cancel_the_only_attempt() {
    let harness = start(2, fast_behaviour(), &section()).await;
    assert_eq!(
        call_with_delayed_answers(&harness, &call_spec("read", "read", SERVICE_MS)).await,
        Outcome::Answered
    );
    assert_eq!(harness.record.cancelled(), 0, "runs cancelled");
    assert_eq!(harness.record.run("read"), RAN_ONCE);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn suspicion_does_not_fail_a_call_without_retries() {
    let section = section().replace("idempotent: true", "idempotent: true, retries: 0");
    let harness = start(2, fast_behaviour(), &section).await;
    assert_eq!(
        call_with_delayed_answers(&harness, &call_spec("read", "read", SERVICE_MS)).await,
        Outcome::Answered
    );
    assert_eq!(harness.record.cancelled(), 0, "runs cancelled");
    assert_eq!(harness.record.run("read"), RAN_ONCE);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_second_attempt_does_not_end_the_first() {
    let mut harness = start(3, fast_behaviour(), &section()).await;
    start_second_upstream(&mut harness, Behaviour { sheds: true, ..fast_behaviour() }).await;
    assert_eq!(
        call_with_delayed_answers(&harness, &call_spec("read", "read", SERVICE_MS)).await,
        Outcome::Answered
    );
    assert!(harness.record.shed_count() >= 1, "no second attempt was made");
    assert_eq!(harness.record.cancelled(), 0, "runs cancelled");
    assert_eq!(harness.record.run("read"), RAN_ONCE);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn first_attempt_is_not_cancelled_before_the_second_answers() {
    let slow = Behaviour { service_ms: 60_000.0, ..fast_behaviour() };
    // Long enough that the deadline does not cancel the first run.
    let section = documents::service_section("booking", 60_000, 64);
    let mut harness = start(3, slow, &section).await;
    start_second_upstream(&mut harness, fast_behaviour()).await;
    let read = CallSpec { service_ms: None, ..call_spec("read", "read", 0.0) };
    harness.fleet.network.hold_answers(ip(&harness, 1));
    harness.fleet.network.hold_answers(ip(&harness, 2));
    let call = harness.call_until_running(0, &read).await;
    harness.wait_until(|b| b.record.run("read").finished >= 1).await;
    assert_eq!(harness.record.cancelled(), 0, "runs cancelled before any answer arrived");
    harness.fleet.network.release_answers(ip(&harness, 2));
    assert_eq!(call.await.unwrap(), Outcome::Answered);
    harness.wait_until(|b| b.record.cancelled() >= 1).await;
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn link_reset_does_not_repeat_an_idempotent_call() {
    let harness = start(2, fast_behaviour(), &section()).await;
    assert_eq!(
        call_with_link_reset(&harness, &call_spec("read", "read", SERVICE_MS)).await,
        Outcome::Answered
    );
    assert_eq!(harness.record.run("read"), RAN_ONCE);
    assert_eq!(harness.record.cancelled(), 0, "runs cancelled");
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_does_not_cancel_a_suspected_attempt() {
    let mut harness = start(2, fast_behaviour(), &section()).await;
    let (network, delayed_ip) = (Arc::clone(&harness.fleet.network), ip(&harness, 1));
    network.hold_answers(delayed_ip);
    let call = harness.call_until_running(0, &call_spec("read", "read", SERVICE_MS)).await;
    let release = async {
        tokio::time::sleep(ANSWER_PAUSE).await;
        network.release_answers(delayed_ip);
    };
    let (ended, ()) = tokio::join!(harness.fleet.stop_node(0), release);
    assert_eq!(call.await.unwrap(), Outcome::Answered);
    assert!(ended, "the stop cut calls in flight");
    assert_eq!(harness.record.cancelled(), 0, "runs cancelled");
    assert_eq!(harness.record.run("read"), RAN_ONCE);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn suspicion_does_not_repeat_a_non_idempotent_call() {
    let mut harness = start(3, fast_behaviour(), &section()).await;
    start_second_upstream(&mut harness, fast_behaviour()).await;
    assert_eq!(
        call_with_delayed_answers(&harness, &call_spec("once", "write", SERVICE_MS)).await,
        Outcome::Answered
    );
    assert_eq!(harness.record.run("once"), RAN_ONCE);
    assert_eq!(harness.record.cancelled(), 0, "runs cancelled");
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn link_reset_does_not_repeat_a_non_idempotent_call() {
    let mut harness = start(3, fast_behaviour(), &section()).await;
    start_second_upstream(&mut harness, fast_behaviour()).await;
    assert_eq!(
        call_with_link_reset(&harness, &call_spec("once", "write", SERVICE_MS)).await,
        Outcome::Answered
    );
    assert_eq!(harness.record.run("once"), RAN_ONCE);
    assert_eq!(harness.record.cancelled(), 0, "runs cancelled");
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn suspicion_does_not_repeat_a_keyed_call() {
    let mut harness = start(3, fast_behaviour(), &section()).await;
    start_second_upstream(&mut harness, fast_behaviour()).await;
    assert_eq!(
        call_with_delayed_answers(&harness, &call_spec("key", "keyed", SERVICE_MS)).await,
        Outcome::Answered
    );
    assert_eq!(harness.record.run("key"), RAN_ONCE);
    assert_eq!(harness.record.cancelled(), 0, "runs cancelled");
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnect_cancels_every_attempt() {
    let slow = Behaviour { service_ms: 60_000.0, ..fast_behaviour() };
    let section = documents::service_section("booking", 60_000, 64);
    let mut harness = start(3, slow.clone(), &section).await;
    start_second_upstream(&mut harness, slow).await;
    let read = CallSpec { service_ms: None, ..call_spec("read", "read", 0.0) };
    harness.fleet.network.hold_answers(ip(&harness, 1));
    let call = harness.call_until_running(0, &read).await;
    harness.wait_until(|b| b.record.run("read").started == 2).await;
    call.abort();
    harness.wait_until(|b| b.record.cancelled() == 2).await;
    assert_eq!(harness.record.run("read").finished, 0);
    harness.stop().await;
}

/// Starts a call that is answered at length, and holds the answer after its first byte for `pause`;
/// returns the number of body bytes that arrive.
async fn read_with_pause(harness: &Harness, pause: Duration) -> usize {
    let mut stream = TcpStream::connect(harness.entry(0)).await.unwrap();
    let get = "GET /booking/urgent/read HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
    stream.write_all(get.as_bytes()).await.unwrap();
    let mut body = vec![stream.read_u8().await.unwrap()];
    harness.fleet.network.hold_answers(ip(harness, 1));
    tokio::time::sleep(pause).await;
    harness.fleet.network.release_answers(ip(harness, 1));
    let _ = stream.read_to_end(&mut body).await;
    body.len()
}

#[tokio::test(flavor = "multi_thread")]
async fn quiet_link_does_not_cut_a_streamed_answer() {
    let large = Behaviour { answer_bytes: LARGE_ANSWER_BYTES, ..fast_behaviour() };
    let harness = start(2, large, &documents::service_section("booking", 60_000, 64)).await;
    for pause in [MID_ANSWER_PAUSE, LONG_PAUSE] {
        let read = read_with_pause(&harness, pause).await;
        assert!(read >= LARGE_ANSWER_BYTES, "{read} bytes arrived");
    }
    harness.stop().await;
}

/// Guards against a call that is not settled when its link falls silent long after the first probe.
#[tokio::test(flavor = "multi_thread")]
async fn link_silent_after_a_good_probe_is_settled_over_another() {
    let harness =
        start(2, fast_behaviour(), &documents::service_section("booking", 60_000, 64)).await;
    for (id, kind) in [("write", "write"), ("read", "read")] {
        let call = harness.call_until_running(0, &call_spec(id, kind, SILENT_SERVICE_MS)).await;
        tokio::time::sleep(PROBED_AFTER).await;
        // The open link stays silent for good; the next one works.
        harness.fleet.network.silence_open_connections();
        assert_eq!(call.await.unwrap(), Outcome::Answered, "{id}");
        assert_eq!(harness.record.run(id), RAN_ONCE);
    }
    assert_eq!(harness.record.cancelled(), 0, "runs cancelled");
    harness.stop().await;
}
