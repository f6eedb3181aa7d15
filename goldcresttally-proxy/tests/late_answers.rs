//! Guards against a second copy of an answer that arrives late, on a connection that is in use again:
//! it must not become the answer to another call.

mod common;

use std::time::Duration;

use common::{CALL_ID, PeerFixture, failure, read_head, within, write};
use goldcresttally_proxy::Conventions;
use goldcresttally_proxy::body::CallBody;
use http::Response;
use http_body_util::BodyExt;
use tokio::net::TcpStream;

/// Time within which a node notices bytes on an idle connection.
const NOTICE_TIME: Duration = Duration::from_millis(50);

async fn start() -> PeerFixture {
    let conventions =
        Conventions { call_id: Some(CALL_ID.parse().unwrap()), ..Conventions::default() };
    PeerFixture::start_with(conventions).await
}

/// Returns the forms of a complete answer to the call `id`.
fn answers(id: &str) -> Vec<String> {
    let head = format!("HTTP/1.1 200 OK\r\n{CALL_ID}: {id}\r\n");
    let with_length = format!("{head}content-length: 4\r\n\r\nbody");
    let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n");
    vec![
        with_length.clone(),
        format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n{with_length}"),
        format!("{chunked}\r\n"),
        format!("{chunked}{CALL_ID}: {id}\r\nmore: x\r\n\r\n"),
    ]
}

/// Makes a call that the upstream answers on `connection`, or on a new one.
async fn answered_call(
    fixture: &PeerFixture,
    sequence: u64,
    id: &str,
    answer: &str,
) -> (Response<CallBody>, TcpStream) {
    let upstream = async {
        let mut connection = fixture.accept().await;
        write(&mut connection, answer.as_bytes()).await;
        connection
    };
    tokio::join!(fixture.call(sequence, id), upstream)
}

async fn assert_answered(response: Response<CallBody>, id: &str) {
    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()[CALL_ID], id);
    assert_eq!(within(response.into_body().collect()).await.unwrap().to_bytes(), "body");
}

#[tokio::test]
async fn second_copy_on_an_idle_connection_closes_it() {
    for answer in answers("a") {
        // Any part of the copy is enough, wherever it is split.
        for end in (1..answer.len()).step_by(7).chain([answer.len()]) {
            let fixture = start().await;
            let (response, mut connection) = answered_call(&fixture, 1, "a", &answer).await;
            assert_answered(response, "a").await;
            write(&mut connection, &answer.as_bytes()[..end]).await;
            tokio::time::sleep(NOTICE_TIME).await;
            // The next call comes on a new connection.
            let (response, _connection) = answered_call(&fixture, 2, "b", &answers("b")[0]).await;
            assert_answered(response, "b").await;
        }
    }
}

/// Makes a second call over the connection of a first one, and answers it with `late`.
async fn call_answered_late(late: &str) -> Response<CallBody> {
    let fixture = start().await;
    let (response, mut connection) = answered_call(&fixture, 1, "a", &answers("a")[0]).await;
    assert_answered(response, "a").await;
    let upstream = async {
        read_head(&mut connection).await;
        write(&mut connection, late.as_bytes()).await;
    };
    tokio::join!(fixture.call(2, "b"), upstream).0
}

#[tokio::test]
async fn second_copy_does_not_answer_the_next_call() {
    for late in answers("a") {
        let response = call_answered_late(&late).await;
        assert_eq!(failure(response.headers()), ("may-have-run", "connection-lost"), "{late}");
    }
}

#[tokio::test]
async fn late_answer_without_an_id_does_not_answer_the_next_call() {
    for late in answers("a") {
        let late = late.replace(&format!("{CALL_ID}: a\r\n"), "");
        let response = call_answered_late(&late).await;
        assert_eq!(failure(response.headers()), ("may-have-run", "connection-lost"), "{late}");
    }
}
