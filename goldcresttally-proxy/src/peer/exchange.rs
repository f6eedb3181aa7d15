//! The request to the upstream, and the check of its answer.

use goldcresttally_core::{Deadline, InstanceId};
use http::header::{ACCEPT_ENCODING, CONTENT_ENCODING};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use hyper::body::Incoming;

use super::Peer;
use super::ticket::Ticket;
use crate::body::{CallBody, MAX_BUFFERED_BODY_BYTES};
use crate::conventions::Conventions;
use crate::headers;

/// Builds the request to the upstream from the one that came.
pub(super) fn upstream_request(
    parts: Parts,
    body: CallBody,
    deadline: Deadline,
    peer: &Peer,
    instance: Option<&InstanceId>,
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
    let conventions = &peer.state.conventions;
    headers::set(&mut headers, conventions.deadline_ms.clone(), &left);
    if let (Some(name), Some(instance)) = (&conventions.target_instance, instance) {
        headers::set(&mut headers, name.clone(), instance);
    }
    let mut req = Request::new(body);
    *req.method_mut() = parts.method;
    *req.uri_mut() = uri;
    *req.headers_mut() = headers;
    req
}

/// What an upstream's answer is, by its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerKind {
    /// It answers the call.
    Answer,
    /// The upstream shed the call unrun.
    Shed,
    /// Another process is at the address; the call did not run.
    OtherInstance,
    /// It answers another call.
    Crossed,
    /// It is spoiled.
    Spoiled,
}

/// What of a request its answer is checked against.
#[derive(Debug, Clone)]
pub(super) struct Sent {
    method: Method,
    call_id: Option<HeaderValue>,
    accepts_encoding: bool,
}

impl Sent {
    /// Notes what matters of the request.
    pub fn of(parts: &Parts, conventions: &Conventions) -> Self {
        let call_id = conventions.call_id.as_ref();
        Self {
            method: parts.method.clone(),
            call_id: call_id.and_then(|name| parts.headers.get(name)).cloned(),
            accepts_encoding: parts.headers.contains_key(ACCEPT_ENCODING),
        }
    }

    /// Returns the method.
    pub fn method(&self) -> &Method {
        &self.method
    }

    /// Classifies an answer by its head.
    pub fn classify(&self, response: &Response<Incoming>, rules: &Conventions) -> AnswerKind {
        let map = response.headers();
        let echoed = rules.call_id.as_ref().and_then(|name| map.get(name));
        if echoed.is_some() && echoed != self.call_id.as_ref() {
            return AnswerKind::Crossed;
        }
        if response.status() == StatusCode::MISDIRECTED_REQUEST && rules.target_instance.is_some() {
            return AnswerKind::OtherInstance;
        }
        if map.contains_key(&rules.not_run) {
            return AnswerKind::Shed;
        }
        let unsigned = rules.signature.as_ref().is_some_and(|name| !map.contains_key(name));
        let encoded = map.contains_key(CONTENT_ENCODING) && !self.accepts_encoding;
        let framed = rules.close_delimited || is_well_framed(&self.method, response);
        match encoded || !framed || (unsigned && response.status().is_success()) {
            true => AnswerKind::Spoiled,
            false => AnswerKind::Answer,
        }
    }
}

/// Tells whether the answer is a sign of overload, whether or not the call ran.
pub(super) fn is_overload(status: StatusCode) -> bool {
    matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
}

/// Tells whether the end of the answer can be told from a cut.
fn is_well_framed(method: &Method, response: &Response<Incoming>) -> bool {
    let bodiless = matches!(response.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    bodiless || method == Method::HEAD || headers::has_framing(response.headers())
}

/// Tells whether the answer says that it is too large to be kept as a whole.
pub(super) fn is_large(headers: &HeaderMap) -> bool {
    headers::parse::<usize>(headers, &http::header::CONTENT_LENGTH)
        .is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES)
}

/// Prepares the upstream's headers for the entry.
pub(super) fn answer_headers(headers: &mut HeaderMap, peer: &Peer, ticket: &Ticket) {
    headers::strip_internal(headers);
    headers::strip_hop_by_hop(headers);
    headers::set(headers, headers::LOAD, &peer.load_of(ticket));
}
