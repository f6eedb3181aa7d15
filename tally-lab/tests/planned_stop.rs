//! A planned stop truncates no answer, and refuses calls that have not started.

mod common;

use std::time::Duration;

use common::{Harness, WAIT_LIMIT, fast_behaviour};
use goldcresttally_standin::upstream::Behaviour;
use tally_lab::documents;
use tally_lab::fleet::FleetOptions;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// Size of an answer that exceeds all buffers between upstream and caller.
const LARGE_ANSWER_BYTES: usize = 48 << 20;

/// Time for which the caller does not read; an idle node stops sooner.
const READ_PAUSE: Duration = Duration::from_millis(2500);

/// Size of an answer that is read at 2 MB/s: more than the buffers between upstream and caller, and
/// read within the drain time.
const SLOWLY_READ_BYTES: usize = 12 << 20;

/// Size of the parts in which an answer is read slowly, and the pause after each.
const READ_BYTES: usize = 64 * 1024;
const READ_INTERVAL: Duration = Duration::from_millis(32);

/// Deadline of the calls, in milliseconds.
const TIMEOUT_MS: u64 = 60_000;

async fn start_harness(upstream: Behaviour) -> Harness {
    Harness::start_with(2, &[(1, upstream)], &documents::service_section("booking", TIMEOUT_MS, 64))
        .await
}

/// Opens a connection to the entry of VM 0 and sends `text`.
async fn send_request(harness: &Harness, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(harness.entry(0)).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}

/// Reads and returns the head of an answer.
async fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
    String::from_utf8(head).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_does_not_truncate_streamed_answer() {
    let mut harness =
        start_harness(Behaviour { answer_bytes: LARGE_ANSWER_BYTES, ..fast_behaviour() }).await;
    let get = "GET /booking/urgent/read HTTP/1.1\r\nhost: h\r\nx-call-id: large\r\n\r\n";
    let mut stream = send_request(&harness, get).await;
    assert!(read_head(&mut stream).await.starts_with("HTTP/1.1 200 "));
    let read = async {
        tokio::time::sleep(READ_PAUSE).await;
        let mut body = Vec::new();
        let _ = stream.read_to_end(&mut body).await;
        body.len()
    };
    let (ended, read) = tokio::join!(harness.fleet.stop_node(0), read);
    assert!(read >= LARGE_ANSWER_BYTES, "{read} bytes arrived");
    assert!(ended, "the stop exceeded the drain deadline");
    harness.stop().await;
}

/// Guards against a stop that closes links while parts of an answer still wait in this node for a
/// reader that is slower than the upstream.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_beside_the_upstream_delivers_answer_to_slow_reader() {
    let upstream = Behaviour { answer_bytes: SLOWLY_READ_BYTES, ..fast_behaviour() };
    let mut harness = start_harness(upstream).await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(READ_BYTES as u32).unwrap();
    let mut stream = socket.connect(harness.entry(0)).await.unwrap();
    let get = "GET /booking/urgent/read HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
    stream.write_all(get.as_bytes()).await.unwrap();
    assert!(read_head(&mut stream).await.starts_with("HTTP/1.1 200 "));
    let read = async {
        let (mut buf, mut total) = (vec![0; READ_BYTES], 0);
        while let Ok(read @ 1..) = stream.read(&mut buf).await {
            total += read;
            tokio::time::sleep(READ_INTERVAL * read as u32 / READ_BYTES as u32).await;
        }
        total
    };
    let (ended, read) = tokio::join!(harness.fleet.stop_node(1), read);
    assert!(read >= SLOWLY_READ_BYTES, "{read} bytes arrived");
    assert!(ended, "the stop exceeded the drain deadline");
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_do_not_delay_planned_stop() {
    let mut harness = start_harness(fast_behaviour()).await;
    let get = "GET /booking/urgent/read HTTP/1.1\r\nhost: h\r\n\r\n";
    // One connection after an answer, one before its first byte, one within a request head; and the
    // link to the node of VM 1 that the first call opened.
    let mut idle = send_request(&harness, get).await;
    read_head(&mut idle).await;
    let _fresh = send_request(&harness, "").await;
    let _half = send_request(&harness, "GET /boo").await;
    let stopped = async {
        assert!(harness.fleet.stop_node(0).await, "the stop exceeded the drain deadline");
    };
    // A stop that waits for idle connections lasts until the drain deadline.
    let drain = tokio::time::sleep(Duration::from_millis(FleetOptions::default().drain_ms));
    tokio::select! {
        () = stopped => {}
        () = drain => panic!("the stop took the whole drain time"),
    }
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn aborted_incomplete_request_is_refused_as_not_run() {
    let harness = start_harness(fast_behaviour()).await;
    let head = "POST /booking/urgent/write HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\n";
    let mut stream = send_request(&harness, head).await;
    let state = harness.fleet.vms[0].node.as_ref().unwrap().state();
    harness.wait_until(|_| state.calls_in_flight() == 1).await;
    state.abort_calls();
    let answer = tokio::time::timeout(WAIT_LIMIT, read_head(&mut stream)).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains("tally-verdict: not-run"), "{answer}");
    assert!(answer.contains("retry-after: "), "{answer}");
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn request_to_draining_node_is_refused_as_not_run() {
    let harness = start_harness(fast_behaviour()).await;
    let state = harness.fleet.vms[0].node.as_ref().unwrap().state();
    state.refuse_calls();
    let get = "GET /booking/urgent/read HTTP/1.1\r\nhost: h\r\n\r\n";
    let mut stream = send_request(&harness, get).await;
    let answer = tokio::time::timeout(WAIT_LIMIT, read_head(&mut stream)).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains("tally-reason: draining"), "{answer}");
    assert_eq!(harness.record.runs().len(), 0);
    harness.stop().await;
}
