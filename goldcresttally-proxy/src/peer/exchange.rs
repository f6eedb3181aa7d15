//! The request to the upstream, and the check of its answer.

use goldcresttally_core::Deadline;
use http::request::Parts;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use hyper::body::Incoming;

use super::Peer;
use super::ticket::Ticket;
use crate::body::{BUFFER_LIMIT_BYTES, CallBody};
use crate::headers;

/// Builds the request to the upstream from the one that came.
pub(super) fn upstream_request(
    parts: Parts,
    body: CallBody,
    deadline: Deadline,
    peer: &Peer,
) -> Request<CallBody> {
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let uri = path.parse().unwrap_or_else(|_| Uri::from_static("/"));
    let host = parts.uri.authority().map(|a| a.as_str().to_owned());
    let mut headers = parts.headers;
    headers::strip_internal(&mut headers);
    headers::strip_hop_by_hop(&mut headers);
    let host = host.unwrap_or_else(|| "upstream".to_owned());
    headers::set(&mut headers, http::header::HOST, &host);
    let left = deadline.remaining(peer.state.clock.now()).as_millis();
    headers::set(&mut headers, headers::DEADLINE_MS, &left);
    let mut req = Request::new(body);
    *req.method_mut() = parts.method;
    *req.uri_mut() = uri;
    *req.headers_mut() = headers;
    req
}

/// Tells whether the upstream says that it shed the call unrun.
pub(super) fn is_shed(response: &Response<Incoming>) -> bool {
    response.headers().contains_key(headers::NOT_RUN)
}

/// Tells whether the answer is a sign of overload, whether or not the call ran.
pub(super) fn is_overload(status: StatusCode) -> bool {
    matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
}

/// Tells whether the end of the answer can be told from a cut.
pub(super) fn is_well_framed(method: &Method, response: &Response<Incoming>) -> bool {
    let bodiless = matches!(response.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    bodiless || method == Method::HEAD || headers::has_framing(response.headers())
}

/// Tells whether the answer is small enough to be kept as a whole.
pub(super) fn is_small(headers: &HeaderMap) -> bool {
    headers::parse::<usize>(headers, &http::header::CONTENT_LENGTH)
        .is_some_and(|length| length <= BUFFER_LIMIT_BYTES)
}

/// Prepares the upstream's headers for the entry.
pub(super) fn answer_headers(headers: &mut HeaderMap, peer: &Peer, ticket: &Ticket) {
    headers::strip_internal(headers);
    headers::strip_hop_by_hop(headers);
    headers::set(headers, headers::LOAD, &peer.load_of(ticket));
}
