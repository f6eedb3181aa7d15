//! Builds the request to an upstream and classifies its response.

use goldcresttally_core::{Deadline, InstanceId};
use http::header::{ACCEPT_ENCODING, CONTENT_ENCODING};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};

use super::Peer;
use super::attempt_info::AttemptInfo;
use super::read_budget::UpstreamBody;
use crate::body::{CallBody, MAX_BUFFERED_BODY_BYTES};
use crate::conventions::Conventions;
use crate::headers;

/// Builds the request to the upstream from the one that arrived from the entry.
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

/// The kind of an upstream's response, judged by its status and headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ResponseKind {
    /// A response to the call.
    Valid,
    /// The upstream shed the call without running it.
    Shed,
    /// Another process has the upstream's address. The call did not run.
    WrongInstance,
    /// A response with the id of another call, or one without an id that may be of another call.
    Mismatched,
    /// A response whose status is not that of a final response.
    InvalidStatus,
    /// A response that is unsigned, has an unrequested encoding, or whose end cannot be detected.
    Malformed,
}

/// The properties of a request that its response is checked against.
#[derive(Debug, Clone)]
pub(super) struct SentRequest {
    method: Method,
    call_id: Option<HeaderValue>,
    accepts_encoding: bool,
}

impl SentRequest {
    /// Records these properties of a request.
    pub fn of(parts: &Parts, conventions: &Conventions) -> Self {
        let call_id = conventions.call_id.as_ref();
        Self {
            method: parts.method.clone(),
            call_id: call_id.and_then(|name| parts.headers.get(name)).cloned(),
            accepts_encoding: parts.headers.contains_key(ACCEPT_ENCODING),
        }
    }

    /// Returns the request's method.
    pub fn method(&self) -> &Method {
        &self.method
    }

    /// Returns the id that the caller gave the request, if upstreams echo ids.
    pub fn call_id(&self) -> Option<&HeaderValue> {
        self.call_id.as_ref()
    }

    /// Classifies a response by its status and headers; `kept` tells whether its connection carried
    /// earlier calls.
    pub fn classify(
        &self,
        response: &Response<UpstreamBody>,
        conventions: &Conventions,
        kept: bool,
    ) -> ResponseKind {
        // The HTTP library rejects a status below 100 and malformed lines.
        if !(200..=599).contains(&response.status().as_u16()) {
            return ResponseKind::InvalidStatus;
        }
        let map = response.headers();
        let echoed = conventions.call_id.as_ref().and_then(|name| map.get(name));
        if echoed.is_some() && echoed != self.call_id.as_ref() {
            return ResponseKind::Mismatched;
        }
        let misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST
            && conventions.target_instance.is_some();
        let refused = misdirected || map.contains_key(&conventions.not_run);
        // Without an id, it may repeat the answer to an earlier call on this connection.
        if kept && echoed.is_none() && self.call_id.is_some() {
            return ResponseKind::Mismatched;
        }
        if misdirected {
            return ResponseKind::WrongInstance;
        }
        if refused {
            return ResponseKind::Shed;
        }
        let unsigned = conventions.signature.as_ref().is_some_and(|name| !map.contains_key(name));
        let encoded = map.contains_key(CONTENT_ENCODING) && !self.accepts_encoding;
        let framed = conventions.close_delimited || is_delimited(&self.method, response);
        match encoded || !framed || (unsigned && response.status().is_success()) {
            true => ResponseKind::Malformed,
            false => ResponseKind::Valid,
        }
    }
}

/// Returns whether a status indicates overload, whether or not the call ran.
pub(super) fn is_overload(status: StatusCode) -> bool {
    matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
}

/// Returns whether the end of the response can be distinguished from a broken connection.
fn is_delimited(method: &Method, response: &Response<UpstreamBody>) -> bool {
    let bodiless = matches!(response.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    bodiless || method == Method::HEAD || headers::has_framing(response.headers())
}

/// Returns whether the declared length of a response is too large to buffer.
pub(super) fn is_large(headers: &HeaderMap) -> bool {
    headers::parse::<usize>(headers, &http::header::CONTENT_LENGTH)
        .is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES)
}

/// Removes connection and internal headers from an upstream's response, and adds its load.
pub(super) fn prepare_response_headers(headers: &mut HeaderMap, peer: &Peer, info: &AttemptInfo) {
    headers::strip_internal(headers);
    headers::strip_hop_by_hop(headers);
    headers::set(headers, headers::LOAD, &peer.load_of(info));
    if let Some(notice) = peer.notice_of(&info.service) {
        headers::set(headers, headers::UPSTREAM_NOTICE, &notice);
    }
}
