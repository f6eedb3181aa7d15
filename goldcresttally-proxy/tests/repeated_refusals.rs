//! A refusal that an upstream writes once more on a kept connection is not taken for the refusal of
//! the call that is running there.

mod common;

use common::{CALL_ID, PeerFixture, failure, read_head, within, write};
use goldcresttally_proxy::Conventions;
use http_body_util::BodyExt;
use tokio::net::TcpStream;

async fn fixture() -> PeerFixture {
    let call_id = Some(CALL_ID.parse().unwrap());
    PeerFixture::start_with(Conventions { call_id, ..Conventions::default() }).await
}

async fn answer(stream: &mut TcpStream, id: &str) {
    let text = format!("HTTP/1.1 200 OK\r\n{CALL_ID}: {id}\r\ncontent-length: 0\r\n\r\n");
    write(stream, text.as_bytes()).await;
}

async fn refuse(stream: &mut TcpStream, id: Option<&str>) {
    let id = id.map(|id| format!("{CALL_ID}: {id}\r\n")).unwrap_or_default();
    let text = format!("HTTP/1.1 503 Busy\r\ntally-not-run: 1\r\n{id}content-length: 0\r\n\r\n");
    write(stream, text.as_bytes()).await;
}

/// Makes a call that is answered over a new connection; returns the connection, which is kept.
async fn kept_connection(fixture: &PeerFixture, sequence: u64) -> TcpStream {
    let upstream = async {
        let mut stream = fixture.accept().await;
        answer(&mut stream, "warm").await;
        stream
    };
    let (response, stream) = tokio::join!(fixture.call(sequence, "warm"), upstream);
    assert_eq!(response.status(), 200);
    within(response.into_body().collect()).await.unwrap();
    // The connection is returned to the pool after the response.
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    stream
}

#[tokio::test]
async fn refusal_without_id_on_kept_connection_does_not_mean_not_run() {
    let fixture = fixture().await;
    let mut stream = kept_connection(&fixture, 1).await;
    let upstream = async {
        read_head(&mut stream).await;
        refuse(&mut stream, None).await;
    };
    let (response, ()) = tokio::join!(fixture.call(2, "b"), upstream);
    assert_eq!(failure(response.headers()), ("may-have-run", "connection-lost"));
}

#[tokio::test]
async fn refusal_of_another_call_does_not_mean_not_run() {
    let fixture = fixture().await;
    let mut stream = kept_connection(&fixture, 1).await;
    let upstream = async {
        read_head(&mut stream).await;
        refuse(&mut stream, Some("warm")).await;
    };
    let (response, ()) = tokio::join!(fixture.call(2, "b"), upstream);
    assert_eq!(failure(response.headers()), ("may-have-run", "connection-lost"));
}

#[tokio::test]
async fn call_that_was_refused_goes_over_new_connection() {
    let fixture = fixture().await;
    // Two connections: one is kept, over the other the call is refused.
    let upstream = async {
        let mut kept = fixture.accept().await;
        let mut other = fixture.accept().await;
        refuse(&mut other, Some("b")).await;
        answer(&mut kept, "warm").await;
        kept
    };
    let calls = async { tokio::join!(fixture.call(1, "warm"), fixture.call(2, "b")) };
    let ((warm, refused), mut kept) = tokio::join!(calls, upstream);
    assert_eq!(warm.status(), 200);
    within(warm.into_body().collect()).await.unwrap();
    assert_eq!(failure(refused.headers()), ("not-run", "shed"));
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    // The refusal of the same call on the kept connection would look like a new one.
    let upstream = async {
        tokio::select! {
            mut fresh = fixture.accept() => answer(&mut fresh, "b").await,
            () = read_head(&mut kept) => refuse(&mut kept, Some("b")).await,
        }
    };
    let (response, ()) = tokio::join!(fixture.call(3, "b"), upstream);
    assert_eq!(response.status(), 200);
}

#[tokio::test]
async fn refusal_on_new_connection_means_not_run() {
    for id in [None, Some("b")] {
        let fixture = fixture().await;
        let upstream = async {
            let mut stream = fixture.accept().await;
            refuse(&mut stream, id).await;
        };
        let (response, ()) = tokio::join!(fixture.call(1, "b"), upstream);
        assert_eq!(failure(response.headers()), ("not-run", "shed"), "{id:?}");
    }
}
