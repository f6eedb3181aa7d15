//! An upstream's answer whose status is not that of a final answer, or whose head has malformed lines, must
//! not reach the caller.

mod common;

use common::{PeerFixture, failure, within, write};
use goldcresttally_proxy::Conventions;
use http::HeaderMap;
use http_body_util::BodyExt;

const SIGNED: &str = "signature: s\r\ncontent-length: 4\r\n";

/// Returns the status and headers that the entry gets for a head that the upstream sends.
async fn answer_to(head: &str) -> (u16, HeaderMap) {
    let conventions = Conventions {
        signature: Some("signature".parse().unwrap()),
        close_delimited: true,
        ..Conventions::default()
    };
    let fixture = PeerFixture::start_with(conventions).await;
    let upstream = async {
        let mut stream = fixture.accept().await;
        write(&mut stream, format!("{head}\r\nbody").as_bytes()).await;
        stream
    };
    let (response, _stream) = tokio::join!(fixture.call(1, "a"), upstream);
    let (parts, body) = response.into_parts();
    let _ = within(body.collect()).await;
    (parts.status.as_u16(), parts.headers)
}

#[tokio::test]
async fn invalid_status_does_not_reach_the_caller() {
    let mut passed = Vec::new();
    for status in
        ["000", "001", "099", "99", "0", "600", "700", "999", "1000", "-20", "2x0", "", "101"]
    {
        let (got, headers) = answer_to(&format!("HTTP/1.1 {status} OK\r\n{SIGNED}")).await;
        if got != 502 || failure(&headers).0 != "may-have-run" {
            passed.push(format!("{status:?}: {got} {:?}", failure(&headers)));
        }
    }
    assert!(passed.is_empty(), "{passed:#?}");
}

#[tokio::test]
async fn malformed_line_does_not_reach_the_caller() {
    let ok = "HTTP/1.1 200 OK\r\n";
    let heads = [
        format!("HTTP/9.1 200 OK\r\n{SIGNED}"),
        format!("HTP/1.1 200 OK\r\n{SIGNED}"),
        format!("200 OK\r\n{SIGNED}"),
        format!("HTTP/1.1  200 OK\r\n{SIGNED}"),
        format!("HTTP/1.1 200\u{1}OK\r\n{SIGNED}"),
        format!("{ok}no colon\r\n{SIGNED}"),
        format!("{ok}name : value\r\n{SIGNED}"),
        format!("{ok}: no name\r\n{SIGNED}"),
        format!("{ok}na\u{1}me: value\r\n{SIGNED}"),
        format!("{ok}name: va\u{1}lue\r\n{SIGNED}"),
        format!("{ok}name: value\r\n folded\r\n{SIGNED}"),
        format!("{ok}signature: s\r\ncontent-length: 4\r\ncontent-length: 5\r\n"),
        format!("{ok}signature: s\r\ncontent-length: x\r\n"),
    ];
    let mut passed = Vec::new();
    for head in heads {
        let (got, headers) = answer_to(&head).await;
        if got != 502 || failure(&headers).0 != "may-have-run" {
            passed.push(format!("{head:?}: {got} {:?}", failure(&headers)));
        }
    }
    assert!(passed.is_empty(), "{passed:#?}");
}

#[tokio::test]
async fn interim_answers_before_the_final_one_are_no_fault() {
    let head = format!("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n{SIGNED}");
    assert_eq!(answer_to(&head).await.0, 200);
}
