//! An upstream that stops anywhere in its answer's head or body and closes gives no complete answer.

mod common;

use common::{PeerFixture, within, write};
use goldcresttally_proxy::Conventions;
use http_body_util::BodyExt;

const CLOSE_DELIMITED: &str = "HTTP/1.1 200 OK\r\nsignature: s\r\nconnection: close\r\n\r\n";

const WITH_LENGTH: &str = "HTTP/1.1 200 OK\r\nsignature: s\r\ncontent-length: 4\r\n\r\nbody";

const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\nsignature: s\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";

/// Returns whether a caller gets a complete success when the upstream writes `text` and closes.
async fn is_complete(text: &str) -> bool {
    let conventions = Conventions {
        signature: Some("signature".parse().unwrap()),
        close_delimited: true,
        ..Conventions::default()
    };
    let fixture = PeerFixture::start_with(conventions).await;
    let upstream = async {
        let mut stream = fixture.accept().await;
        write(&mut stream, text.as_bytes()).await;
    };
    let (response, ()) = tokio::join!(fixture.call(1, "a"), upstream);
    let success = response.status().is_success();
    success && within(response.into_body().collect()).await.is_ok()
}

#[tokio::test]
async fn answer_that_ends_early_is_never_a_complete_success() {
    for whole in [WITH_LENGTH, CHUNKED] {
        assert!(is_complete(whole).await);
        for end in 0..whole.len() {
            // A chunked body is complete with its last chunk.
            assert!(!is_complete(&whole[..end]).await, "{:?}", &whole[..end]);
        }
    }
}

#[tokio::test]
async fn head_that_ends_early_is_not_ended_by_the_close() {
    assert!(is_complete(CLOSE_DELIMITED).await);
    for end in 0..CLOSE_DELIMITED.len() {
        assert!(!is_complete(&CLOSE_DELIMITED[..end]).await, "{:?}", &CLOSE_DELIMITED[..end]);
    }
}
