//! Streaming of responses that are too large to buffer: they are forwarded chunk by chunk, and end
//! at the deadline or when the caller disconnects.

mod common;

use std::time::Duration;

use common::{LIMIT, PeerFixture, closed, within, write};
use goldcresttally_proxy::body::CallBody;
use http::Response;
use http_body_util::BodyExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// A size above the limit for buffered responses, in bytes.
const LARGE: usize = 100_000;

/// A deadline that is expected to pass during the test.
const SHORT_LIMIT: Duration = Duration::from_millis(300);

/// Sends the start of a response that has no declared length.
async fn start_response(stream: &mut TcpStream) {
    write(stream, b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n").await;
    write(stream, &vec![b'x'; LARGE]).await;
}

/// Makes a call whose response starts but does not end; returns the response as the entry sees it
/// and the upstream's connection.
async fn call_with_started_response(
    fixture: &PeerFixture,
    left: Duration,
) -> (Response<CallBody>, TcpStream) {
    let upstream = async {
        let mut upstream = fixture.accept().await;
        start_response(&mut upstream).await;
        upstream
    };
    tokio::join!(fixture.send("call", 1, left), upstream)
}

/// Writes `bytes` repeatedly until the other end closes the connection.
async fn write_until_closed(mut stream: TcpStream, bytes: Vec<u8>) {
    while stream.write_all(&bytes).await.is_ok() {}
}

#[tokio::test]
async fn large_response_is_forwarded_completely() {
    let fixture = PeerFixture::start().await;
    let upstream = async {
        let mut upstream = fixture.accept().await;
        start_response(&mut upstream).await;
        upstream.shutdown().await.unwrap();
    };
    let (response, ()) = tokio::join!(fixture.send("call", 1, LIMIT), upstream);
    let body = within(response.into_body().collect()).await.unwrap();
    assert_eq!(body.to_bytes().len(), LARGE);
}

#[tokio::test]
async fn endless_response_is_truncated_at_the_deadline() {
    let fixture = PeerFixture::start().await;
    let (response, upstream) = call_with_started_response(&fixture, SHORT_LIMIT).await;
    let upstream = tokio::spawn(write_until_closed(upstream, vec![b'x'; LARGE]));
    within(response.into_body().collect()).await.unwrap_err();
    within(upstream).await.unwrap();
}

#[tokio::test]
async fn stalled_response_is_truncated_at_the_deadline() {
    let fixture = PeerFixture::start().await;
    let (response, mut upstream) = call_with_started_response(&fixture, SHORT_LIMIT).await;
    within(response.into_body().collect()).await.unwrap_err();
    closed(&mut upstream).await;
}

#[tokio::test]
async fn unread_response_releases_the_upstream_at_the_deadline() {
    let fixture = PeerFixture::start().await;
    let (response, upstream) = call_with_started_response(&fixture, SHORT_LIMIT).await;
    let upstream = tokio::spawn(write_until_closed(upstream, vec![b'x'; LARGE]));
    // The response is not read before the upstream's connection has been closed.
    within(upstream).await.unwrap();
    within(response.into_body().collect()).await.unwrap_err();
}

#[tokio::test]
async fn disconnected_caller_releases_the_upstream() {
    let fixture = PeerFixture::start().await;
    let (response, mut upstream) = call_with_started_response(&fixture, LIMIT * 10).await;
    let mut body = response.into_body();
    let mut read = 0;
    while read < LARGE {
        let frame = within(body.frame()).await.unwrap().unwrap();
        read += frame.into_data().unwrap().len();
    }
    drop(body);
    closed(&mut upstream).await;
}

#[tokio::test]
async fn endless_response_head_fails_the_call() {
    let fixture = PeerFixture::start().await;
    let upstream = async {
        let mut upstream = fixture.accept().await;
        write(&mut upstream, b"HTTP/1.1 200 OK\r\n").await;
        write_until_closed(upstream, b"x-more: y\r\n".to_vec()).await;
    };
    let (response, ()) = tokio::join!(fixture.send("call", 1, LIMIT * 10), within(upstream));
    assert!(response.status().is_server_error());
}
