//! Attempts whose link carries nothing for a while, or breaks, while their upstream works.

mod common;

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use common::{Bench, LIMIT, behaviour, spec};
use goldcresttally_proxy::entry::Options;
use goldcresttally_standin::upstream::{Behaviour, Run};
use tally_lab::documents;
use tally_lab::fleet::FleetOptions;
use tally_lab::load::{CallSpec, Outcome};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time for which a link carries no answers: longer than its check and its probe take, and shorter
/// than the HTTP/2 library takes to close it.
const PAUSE: Duration = Duration::from_millis(600);

/// Time that a call takes at its upstream, in milliseconds; it ends after the pause.
const WORK_MS: f64 = 900.0;

/// Time for which a link is quiet that carries an answer: below the 1.5 s after which the kernel
/// ends a connection.
const LONG_PAUSE: Duration = Duration::from_millis(1300);

/// Bytes of an answer that no buffers on its way can hold.
const LARGE: usize = 24 << 20;

const ONCE: Run = Run { started: 1, finished: 1 };

/// Starts a fleet with an upstream beside VM 1; further attempts need no budget.
async fn start(nodes: usize, upstream: Behaviour, section: &str) -> Bench {
    let entry = Options { retry_budget: false, ..Options::default() };
    let options = FleetOptions { entry, ..FleetOptions::default() };
    Bench::start_fleet(options, nodes, &[(1, upstream)], section).await
}

fn section() -> String {
    documents::service_section("booking", 4000, 64)
}

fn ip(bench: &Bench, i: usize) -> IpAddr {
    bench.fleet.vms[i].location.ip()
}

/// Makes a call whose upstream beside VM 1 works on while no answer of that VM passes.
async fn call_over_a_pause(bench: &Bench, spec: &CallSpec) -> Outcome {
    bench.fleet.network.hold_answers(ip(bench, 1));
    let call = bench.call_until_running(0, spec).await;
    tokio::time::sleep(PAUSE).await;
    bench.fleet.network.release_answers(ip(bench, 1));
    call.await.unwrap()
}

/// Makes a call whose link is reset while its upstream works.
async fn call_over_a_reset(bench: &Bench, spec: &CallSpec) -> Outcome {
    let call = bench.call_until_running(0, spec).await;
    bench.fleet.network.reset_open_connections();
    call.await.unwrap()
}

/// Starts an upstream beside VM 2 that is warming up: it gets calls only after VM 1 was tried.
async fn start_second(bench: &mut Bench, behaviour: Behaviour) {
    let cold_start_ms = 10 * LIMIT.as_millis() as u64;
    bench.start_upstream(2, Behaviour { cold_start_ms, ..behaviour }).await;
    let booking = "booking".parse().unwrap();
    bench
        .until(|b| {
            let endpoints = b.fleet.vms[0].node.as_ref().unwrap().state().endpoints();
            endpoints.get(&booking).is_some_and(|all| all.len() == 2)
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn doubt_does_not_cancel_the_only_attempt() {
    let bench = start(2, behaviour(), &section()).await;
    assert_eq!(call_over_a_pause(&bench, &spec("read", "read", WORK_MS)).await, Outcome::Answered);
    assert_eq!(bench.record.cancelled(), 0, "runs cancelled");
    assert_eq!(bench.record.run("read"), ONCE);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn doubt_does_not_fail_a_call_without_retries() {
    let section = section().replace("idempotent: true", "idempotent: true, retries: 0");
    let bench = start(2, behaviour(), &section).await;
    assert_eq!(call_over_a_pause(&bench, &spec("read", "read", WORK_MS)).await, Outcome::Answered);
    assert_eq!(bench.record.cancelled(), 0, "runs cancelled");
    assert_eq!(bench.record.run("read"), ONCE);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_beside_does_not_end_the_first_attempt() {
    let mut bench = start(3, behaviour(), &section()).await;
    start_second(&mut bench, Behaviour { sheds: true, ..behaviour() }).await;
    assert_eq!(call_over_a_pause(&bench, &spec("read", "read", WORK_MS)).await, Outcome::Answered);
    assert!(bench.record.shed_count() >= 1, "no attempt was made beside the first");
    assert_eq!(bench.record.cancelled(), 0, "runs cancelled");
    assert_eq!(bench.record.run("read"), ONCE);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn first_is_cancelled_only_once_the_second_has_answered() {
    let slow = Behaviour { service_ms: 60_000.0, ..behaviour() };
    // The deadline must not be what cancels the first run.
    let section = documents::service_section("booking", 60_000, 64);
    let mut bench = start(3, slow, &section).await;
    start_second(&mut bench, behaviour()).await;
    let read = CallSpec { service_ms: None, ..spec("read", "read", 0.0) };
    bench.fleet.network.hold_answers(ip(&bench, 1));
    bench.fleet.network.hold_answers(ip(&bench, 2));
    let call = bench.call_until_running(0, &read).await;
    bench.until(|b| b.record.run("read").finished >= 1).await;
    assert_eq!(bench.record.cancelled(), 0, "runs cancelled before any answer was had");
    bench.fleet.network.release_answers(ip(&bench, 2));
    assert_eq!(call.await.unwrap(), Outcome::Answered);
    bench.until(|b| b.record.cancelled() >= 1).await;
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn reset_link_is_settled_when_idempotent() {
    let bench = start(2, behaviour(), &section()).await;
    assert_eq!(call_over_a_reset(&bench, &spec("read", "read", WORK_MS)).await, Outcome::Answered);
    assert_eq!(bench.record.run("read"), ONCE);
    assert_eq!(bench.record.cancelled(), 0, "runs cancelled");
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_does_not_break_off_a_doubted_attempt() {
    let mut bench = start(2, behaviour(), &section()).await;
    let (network, held) = (Arc::clone(&bench.fleet.network), ip(&bench, 1));
    network.hold_answers(held);
    let call = bench.call_until_running(0, &spec("read", "read", WORK_MS)).await;
    let release = async {
        tokio::time::sleep(PAUSE).await;
        network.release_answers(held);
    };
    let (ended, ()) = tokio::join!(bench.fleet.stop_node(0), release);
    assert_eq!(call.await.unwrap(), Outcome::Answered);
    assert!(ended, "the stop cut what was in flight");
    assert_eq!(bench.record.cancelled(), 0, "runs cancelled");
    assert_eq!(bench.record.run("read"), ONCE);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn doubt_does_not_repeat_an_unsafe_call() {
    let mut bench = start(3, behaviour(), &section()).await;
    start_second(&mut bench, behaviour()).await;
    assert_eq!(call_over_a_pause(&bench, &spec("once", "write", WORK_MS)).await, Outcome::Answered);
    assert_eq!(bench.record.run("once"), ONCE);
    assert_eq!(bench.record.cancelled(), 0, "runs cancelled");
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn reset_does_not_repeat_an_unsafe_call() {
    let mut bench = start(3, behaviour(), &section()).await;
    start_second(&mut bench, behaviour()).await;
    assert_eq!(call_over_a_reset(&bench, &spec("once", "write", WORK_MS)).await, Outcome::Answered);
    assert_eq!(bench.record.run("once"), ONCE);
    assert_eq!(bench.record.cancelled(), 0, "runs cancelled");
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn doubt_does_not_repeat_a_keyed_call() {
    let mut bench = start(3, behaviour(), &section()).await;
    start_second(&mut bench, behaviour()).await;
    assert_eq!(call_over_a_pause(&bench, &spec("key", "keyed", WORK_MS)).await, Outcome::Answered);
    assert_eq!(bench.record.run("key"), ONCE);
    assert_eq!(bench.record.cancelled(), 0, "runs cancelled");
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_leaving_cancels_every_attempt() {
    let slow = Behaviour { service_ms: 60_000.0, ..behaviour() };
    let section = documents::service_section("booking", 60_000, 64);
    let mut bench = start(3, slow.clone(), &section).await;
    start_second(&mut bench, slow).await;
    let read = CallSpec { service_ms: None, ..spec("read", "read", 0.0) };
    bench.fleet.network.hold_answers(ip(&bench, 1));
    let call = bench.call_until_running(0, &read).await;
    bench.until(|b| b.record.run("read").started == 2).await;
    call.abort();
    bench.until(|b| b.record.cancelled() == 2).await;
    assert_eq!(bench.record.run("read").finished, 0);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
#[ignore = "listed in KNOWN-RED.txt, issue 10"]
async fn quiet_link_does_not_cut_a_streamed_answer() {
    let large = Behaviour { answer_bytes: LARGE, ..behaviour() };
    let bench = start(2, large, &documents::service_section("booking", 60_000, 64)).await;
    let mut stream = TcpStream::connect(bench.entry(0)).await.unwrap();
    let get = "GET /booking/urgent/read HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
    stream.write_all(get.as_bytes()).await.unwrap();
    let mut body = vec![stream.read_u8().await.unwrap()];
    bench.fleet.network.hold_answers(ip(&bench, 1));
    tokio::time::sleep(LONG_PAUSE).await;
    bench.fleet.network.release_answers(ip(&bench, 1));
    let _ = stream.read_to_end(&mut body).await;
    assert!(body.len() >= LARGE, "{} bytes came", body.len());
    bench.stop().await;
}
