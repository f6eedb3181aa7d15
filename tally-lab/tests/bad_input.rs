//! Invalid input gets a clear error, changes no state and does not affect other calls.

mod common;

use std::net::SocketAddr;

use common::{Harness, call_spec, fast_behaviour};
use goldcresttally_cli::{ExitStatus, NodeClient};
use http::Method;
use tally_lab::documents;
use tally_lab::load::Outcome;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};

async fn put(harness: &Harness, name: &str, revision: u64, text: &str) -> (ExitStatus, String) {
    let path = format!("/v1/sections/{name}?revision={revision}");
    let answer = harness.fleet.operator(0).json(Method::PUT, &path, text.to_owned()).await;
    match answer {
        Ok(_) => (ExitStatus::Success, String::new()),
        Err(e) => (e.status, e.message),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_operator_requests_change_nothing() {
    let harness = Harness::start(1, &[]).await;
    let (status, message) = put(&harness, "x", 0, "services:\n  a: {slots: 3}\n").await;
    assert_eq!(status, ExitStatus::Invalid);
    assert!(message.contains("section x, line 2") && message.contains("slots"), "{message}");
    let (status, message) = put(&harness, "booking", 1, "services: {}\n").await;
    assert_eq!(status, ExitStatus::Conflict);
    assert!(message.contains("revision"), "{message}");
    let (status, _) = put(&harness, "a%20b", 0, "").await;
    assert_eq!(status, ExitStatus::Failure);
    let large = format!("# {}", "x".repeat(600 * 1024));
    let (status, _) = put(&harness, "large", 0, &large).await;
    assert_ne!(status, ExitStatus::Success);
    let node = harness.fleet.vms[0].location.operator();
    for token in [None, Some("wrong".to_owned())] {
        let client = NodeClient::new(node, token);
        let path = "/v1/sections/x?revision=0";
        let error = client.json(Method::PUT, path, String::new()).await.unwrap_err();
        assert_eq!(error.status, ExitStatus::Unauthorized);
        let error = client.json(Method::POST, "/v1/accept", String::new()).await.unwrap_err();
        assert_eq!(error.status, ExitStatus::Unauthorized);
    }
    // None of the failed requests stored a section.
    let list =
        harness.fleet.operator(0).json(Method::GET, "/v1/sections", String::new()).await.unwrap();
    assert_eq!(list.as_array().unwrap().len(), 2);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn incomplete_request_times_out_as_not_run() {
    let section = documents::service_section("booking", 300, 64);
    let harness = Harness::start_with(2, &[(1, fast_behaviour())], &section).await;
    let mut stream = TcpStream::connect(harness.entry(0)).await.unwrap();
    let head = "POST /booking/urgent/write HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut buf = [0; 512];
    let read =
        tokio::time::timeout(common::WAIT_LIMIT, stream.read(&mut buf)).await.unwrap().unwrap();
    let answer = String::from_utf8_lossy(&buf[..read]);
    assert!(answer.starts_with("HTTP/1.1 408 ") && answer.contains("not-run"), "{answer}");
    assert_eq!(harness.record.runs().len(), 0);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_announcements_are_refused() {
    let harness = Harness::start(1, &[]).await;
    let client = harness.fleet.operator(0);
    for body in [
        "nonsense",
        r#"{"service":"a b","address":"127.0.0.1:1","slots":1,"state":"ready"}"#,
        r#"{"service":"a","address":"nowhere","slots":1,"state":"ready"}"#,
        r#"{"service":"a","address":"127.0.0.1:1","slots":0,"state":"ready"}"#,
        r#"{"service":"a","address":"127.0.0.1:1","slots":1,"state":"sleepy"}"#,
        r#"{"service":"a","address":"127.0.0.1:1","slots":1,"state":"ready","more":1}"#,
    ] {
        let answer = client.json(Method::POST, "/v1/upstreams", body.to_owned()).await;
        assert_eq!(answer.unwrap_err().status, ExitStatus::Failure, "{body}");
    }
    harness.stop().await;
}

/// Sends bytes on a new connection; returns the first bytes of the answer, empty after 2 s without.
async fn exchange_bytes(to: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(to).await.unwrap();
    // The peer may close the connection before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut answer = vec![0; 4096];
    let limit = std::time::Duration::from_secs(2);
    let read = tokio::time::timeout(limit, stream.read(&mut answer)).await;
    let length = read.ok().and_then(Result::ok).unwrap_or(0);
    String::from_utf8_lossy(&answer[..length]).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_do_not_affect_other_calls() {
    let harness = Harness::start(2, &[(1, fast_behaviour())]).await;
    let entry = harness.entry(0);
    assert!(
        exchange_bytes(entry, b"GET / HTTP/1.1\r\nhost: a\r\nbad header\r\n\r\n")
            .await
            .contains("400")
    );
    let huge = format!("GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "y".repeat(80_000));
    assert!(exchange_bytes(entry, huge.as_bytes()).await.contains("431"));
    let two_hosts = "GET /booking/urgent/read HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n";
    assert!(exchange_bytes(entry, two_hosts.as_bytes()).await.starts_with("HTTP/1.1 400"));
    let smuggled = "POST /booking/urgent/write HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\
        content-length: 5\r\n\r\nabcd";
    assert!(exchange_bytes(entry, smuggled.as_bytes()).await.contains("400"));
    // Internal headers that a caller sends are ignored.
    let forged = "POST /booking/urgent/write HTTP/1.1\r\nhost: a\r\nx-call-id: forged\r\n\
        tally-op: settle\r\ntally-verdict: ran\r\ntally-attempt: x\r\ncontent-length: 0\r\n\r\n";
    assert!(exchange_bytes(entry, forged.as_bytes()).await.starts_with("HTTP/1.1 200"));
    assert_eq!(harness.call(0, &call_spec("after", "write", 1.0)).await, Outcome::Answered);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn pipelined_and_slow_requests_are_answered_in_order() {
    let harness = Harness::start(2, &[(1, fast_behaviour())]).await;
    let request = |id: &str| {
        format!(
            "POST /booking/urgent/write HTTP/1.1\r\nhost: a\r\nx-call-id: {id}\r\ncontent-length: 2\r\n\r\nab"
        )
    };
    let mut stream = TcpStream::connect(harness.entry(0)).await.unwrap();
    stream.write_all((request("p1") + &request("p2") + &request("p3")).as_bytes()).await.unwrap();
    let mut text = String::new();
    let mut buf = vec![0; 4096];
    while text.matches("\"received\":2").count() < 3 {
        let length = stream.read(&mut buf).await.unwrap();
        assert!(length > 0, "{text}");
        text.push_str(&String::from_utf8_lossy(&buf[..length]));
    }
    let at = |id: &str| text.find(&format!("\"call\":\"{id}\"")).unwrap();
    assert!(at("p1") < at("p2") && at("p2") < at("p3"));
    // A caller that sends its body one byte at a time.
    let slow = request("slow");
    let (head, tail) = slow.split_at(slow.len() - 2);
    stream.write_all(head.as_bytes()).await.unwrap();
    for byte in tail.as_bytes() {
        tokio::time::sleep(std::time::Duration::from_millis(150)).await;
        stream.write_all(&[*byte]).await.unwrap();
    }
    let length = stream.read(&mut buf).await.unwrap();
    assert!(String::from_utf8_lossy(&buf[..length]).starts_with("HTTP/1.1 200"));
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn garbage_on_any_port_does_not_stop_a_node() {
    let harness = Harness::start(2, &[(1, fast_behaviour())]).await;
    let location = harness.fleet.vms[1].location.clone();
    let peer = SocketAddr::new(location.ip(), 7401);
    let mut rng = fastrand::Rng::with_seed(5);
    let udp = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for size in [1, 16, 300, 5000, 60_000] {
        let garbage: Vec<u8> = (0..size).map(|_| rng.u8(..)).collect();
        udp.send_to(&garbage, location.control()).await.unwrap();
        for port in [location.control(), peer, location.calls(), location.operator()] {
            let mut stream = TcpStream::connect(port).await.unwrap();
            let _ = stream.write_all(&garbage).await;
        }
    }
    // A frame header that announces more than the maximum message size.
    let oversized = [0u8, 0, 0, 0, 0xff, 0xff, 0xff, 0x7f];
    let mut stream = TcpStream::connect(location.control()).await.unwrap();
    stream.write_all(&oversized).await.unwrap();
    // A node-to-node call without its required headers.
    let bare = "POST /booking/urgent/write HTTP/1.1\r\nhost: a\r\ntally-op: call\r\ncontent-length: 0\r\n\r\n";
    assert!(exchange_bytes(peer, bare.as_bytes()).await.contains("tally-verdict: not-run"));
    assert_eq!(harness.call(0, &call_spec("after", "write", 1.0)).await, Outcome::Answered);
    let version = harness.fleet.accept(1).await.unwrap();
    assert!(harness.fleet.wait_version(version, common::WAIT_LIMIT).await);
    harness.stop().await;
}
