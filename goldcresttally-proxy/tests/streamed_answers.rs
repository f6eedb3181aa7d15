//! Answers too large to be held: passed on as they come, and ended by deadline and caller.

mod common;

use std::time::Duration;

use common::{Bench, LIMIT, closed, within, write};
use goldcresttally_proxy::body::CallBody;
use http::Response;
use http_body_util::BodyExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// More than is held in memory as a whole, in bytes.
const LARGE: usize = 100_000;

/// A deadline that the test waits for.
const SHORT: Duration = Duration::from_millis(300);

/// Starts an answer without a length.
async fn begin_answer(stream: &mut TcpStream) {
    write(stream, b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n").await;
    write(stream, &vec![b'x'; LARGE]).await;
}

/// Makes a call and starts its answer; returns both ends of it.
async fn begun(bench: &Bench, left: Duration) -> (Response<CallBody>, TcpStream) {
    let upstream = async {
        let mut upstream = bench.accept().await;
        begin_answer(&mut upstream).await;
        upstream
    };
    tokio::join!(bench.send("call", 1, left), upstream)
}

/// Writes the same bytes until the other end closes the connection.
async fn flood(mut stream: TcpStream, bytes: Vec<u8>) {
    while stream.write_all(&bytes).await.is_ok() {}
}

#[tokio::test]
async fn whole_answer_is_passed_on() {
    let bench = Bench::start().await;
    let upstream = async {
        let mut upstream = bench.accept().await;
        begin_answer(&mut upstream).await;
        upstream.shutdown().await.unwrap();
    };
    let (answer, ()) = tokio::join!(bench.send("call", 1, LIMIT), upstream);
    let body = within(answer.into_body().collect()).await.unwrap();
    assert_eq!(body.to_bytes().len(), LARGE);
}

#[tokio::test]
async fn endless_answer_ends_as_a_cut() {
    let bench = Bench::start().await;
    let (answer, upstream) = begun(&bench, SHORT).await;
    let upstream = tokio::spawn(flood(upstream, vec![b'x'; LARGE]));
    within(answer.into_body().collect()).await.unwrap_err();
    within(upstream).await.unwrap();
}

#[tokio::test]
async fn stalled_answer_ends_as_a_cut() {
    let bench = Bench::start().await;
    let (answer, mut upstream) = begun(&bench, SHORT).await;
    within(answer.into_body().collect()).await.unwrap_err();
    closed(&mut upstream).await;
}

#[tokio::test]
async fn unread_answer_ends_as_a_cut() {
    let bench = Bench::start().await;
    let (answer, upstream) = begun(&bench, SHORT).await;
    let upstream = tokio::spawn(flood(upstream, vec![b'x'; LARGE]));
    // Nobody reads until the upstream has been let go.
    within(upstream).await.unwrap();
    within(answer.into_body().collect()).await.unwrap_err();
}

#[tokio::test]
async fn caller_gone_frees_the_upstream() {
    let bench = Bench::start().await;
    let (answer, mut upstream) = begun(&bench, LIMIT * 10).await;
    let mut body = answer.into_body();
    let mut read = 0;
    while read < LARGE {
        let frame = within(body.frame()).await.unwrap().unwrap();
        read += frame.into_data().unwrap().len();
    }
    drop(body);
    closed(&mut upstream).await;
}

#[tokio::test]
async fn endless_head_ends_the_call() {
    let bench = Bench::start().await;
    let upstream = async {
        let mut upstream = bench.accept().await;
        write(&mut upstream, b"HTTP/1.1 200 OK\r\n").await;
        flood(upstream, b"x-more: y\r\n".to_vec()).await;
    };
    let (answer, ()) = tokio::join!(bench.send("call", 1, LIMIT * 10), within(upstream));
    assert!(answer.status().is_server_error());
}
