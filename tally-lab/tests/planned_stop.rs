//! A planned stop cuts no answer, and refuses what it has not begun.

mod common;

use std::time::Duration;

use common::{Bench, LIMIT, behaviour};
use goldcresttally_standin::upstream::Behaviour;
use tally_lab::documents;
use tally_lab::fleet::FleetOptions;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Bytes of an answer that no buffers on its way can hold.
const LARGE: usize = 48 << 20;

/// Time for which a caller does not read: longer than an idle node takes to stop.
const PAUSE: Duration = Duration::from_millis(2500);

/// Deadline of the calls, in milliseconds.
const TIMEOUT_MS: u64 = 60_000;

async fn bench(upstream: Behaviour) -> Bench {
    Bench::start_with(2, &[(1, upstream)], &documents::service_section("booking", TIMEOUT_MS, 64))
        .await
}

/// Sends a request's bytes to the entry of VM 0.
async fn request(bench: &Bench, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(bench.entry(0)).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}

/// Reads a head; returns its text.
async fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
    String::from_utf8(head).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn streamed_answer_is_not_cut() {
    let mut bench = bench(Behaviour { answer_bytes: LARGE, ..behaviour() }).await;
    let get = "GET /booking/urgent/read HTTP/1.1\r\nhost: h\r\nx-call-id: large\r\n\r\n";
    let mut stream = request(&bench, get).await;
    assert!(read_head(&mut stream).await.starts_with("HTTP/1.1 200 "));
    let read = async {
        tokio::time::sleep(PAUSE).await;
        let mut body = Vec::new();
        let _ = stream.read_to_end(&mut body).await;
        body.len()
    };
    let (ended, read) = tokio::join!(bench.fleet.stop_node(0), read);
    assert!(read >= LARGE, "{read} bytes came");
    assert!(ended, "the stop overran");
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_do_not_delay_it() {
    let mut bench = bench(behaviour()).await;
    let get = "GET /booking/urgent/read HTTP/1.1\r\nhost: h\r\n\r\n";
    // One connection after an answer, one before its first byte, one within a head; and a link.
    let mut idle = request(&bench, get).await;
    read_head(&mut idle).await;
    let _fresh = request(&bench, "").await;
    let _half = request(&bench, "GET /boo").await;
    let stopped = async {
        assert!(bench.fleet.stop_node(0).await, "the stop overran");
    };
    // The drain deadline is what an overrun waits for.
    let drain = tokio::time::sleep(Duration::from_millis(FleetOptions::default().drain_ms));
    tokio::select! {
        () = stopped => {}
        () = drain => panic!("the stop took the whole drain time"),
    }
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn what_was_not_begun_is_refused_as_not_run() {
    let bench = bench(behaviour()).await;
    let head = "POST /booking/urgent/write HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\n";
    let mut stream = request(&bench, head).await;
    let state = bench.fleet.vms[0].node.as_ref().unwrap().state();
    bench.until(|_| state.calls_in_flight() == 1).await;
    state.abort_calls();
    let answer = tokio::time::timeout(LIMIT, read_head(&mut stream)).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains("tally-verdict: not-run"), "{answer}");
    assert!(answer.contains("retry-after: "), "{answer}");
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn what_comes_after_the_last_call_is_refused_as_not_run() {
    let bench = bench(behaviour()).await;
    let state = bench.fleet.vms[0].node.as_ref().unwrap().state();
    state.refuse_calls();
    let get = "GET /booking/urgent/read HTTP/1.1\r\nhost: h\r\n\r\n";
    let mut stream = request(&bench, get).await;
    let answer = tokio::time::timeout(LIMIT, read_head(&mut stream)).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains("tally-reason: draining"), "{answer}");
    assert_eq!(bench.record.runs().len(), 0);
    bench.stop().await;
}
