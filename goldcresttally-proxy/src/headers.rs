//! Headers between nodes and towards callers.

use std::str::FromStr;
use std::time::Duration;

use http::header::{CONNECTION, HeaderName, TE, TRANSFER_ENCODING, UPGRADE};
use http::{HeaderMap, HeaderValue};

/// The operation of a message between nodes: `call`, `reserve`, `settle`, `cancel` or `ping`.
pub const OP: HeaderName = HeaderName::from_static("tally-op");
/// The attempt's id.
pub const ATTEMPT: HeaderName = HeaderName::from_static("tally-attempt");
/// The generation of the node that the attempt is sent to.
pub const GENERATION: HeaderName = HeaderName::from_static("tally-generation");
/// The service of the call.
pub const SERVICE: HeaderName = HeaderName::from_static("tally-service");
/// The rank of the call.
pub const RANK: HeaderName = HeaderName::from_static("tally-rank");
/// Time left until the deadline, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("tally-deadline-ms");
/// Latency target of the route, in milliseconds.
pub const TARGET_MS: HeaderName = HeaderName::from_static("tally-target-ms");
/// Time left until a response is late, in milliseconds.
pub const ON_TIME_MS: HeaderName = HeaderName::from_static("tally-on-time-ms");
/// Set on attempts of calls with an idempotency key, which the ledger retains for longer.
pub const KEYED: HeaderName = HeaderName::from_static("tally-keyed");
/// Length of a body for which room is requested, in bytes.
pub const BODY_BYTES: HeaderName = HeaderName::from_static("tally-body-bytes");
/// Set on an attempt whose body was granted room on the receiver's link.
pub const GRANTED: HeaderName = HeaderName::from_static("tally-granted");
/// Whether a call that failed may have run.
pub const VERDICT: HeaderName = HeaderName::from_static("tally-verdict");
/// Why a call failed.
pub const REASON: HeaderName = HeaderName::from_static("tally-reason");
/// Load of the upstream that responds, as a `LoadReport`.
pub const LOAD: HeaderName = HeaderName::from_static("tally-load");
/// What the upstream beside the node has said about itself, as an `UpstreamNotice`: from the node
/// with a response, and to the node with an attempt.
pub const UPSTREAM_NOTICE: HeaderName = HeaderName::from_static("tally-upstream-notice");
/// A less loaded node that could run the call instead.
pub const REDIRECT: HeaderName = HeaderName::from_static("tally-redirect");
/// Time after which a refused call may be retried, in milliseconds.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("tally-retry-after-ms");
/// The outcome of an attempt: `not-run`, `running`, `done` or `unknown`.
pub const SETTLEMENT: HeaderName = HeaderName::from_static("tally-settlement");
/// Set on a settlement that contains the attempt's response.
pub const ANSWER: HeaderName = HeaderName::from_static("tally-answer");
/// Set by an upstream on a response to indicate that the call did not run.
pub const NOT_RUN: HeaderName = HeaderName::from_static("tally-not-run");
/// Set on the response to a repeated idempotency key: it is the first call's response.
pub const REPLAYED: HeaderName = HeaderName::from_static("tally-replayed");
/// The caller's key for a call that must run at most once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

const INTERNAL_PREFIX: &str = "tally-";
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Removes the headers that apply to a single connection (RFC 9110, section 7.6.1).
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| HeaderName::from_str(name.trim()).ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [CONNECTION, TE, TRANSFER_ENCODING, UPGRADE, KEEP_ALIVE, PROXY_CONNECTION] {
        headers.remove(name);
    }
}

/// Removes the headers that only this system may set.
pub fn strip_internal(headers: &mut HeaderMap) {
    let internal = |name: &&HeaderName| name.as_str().starts_with(INTERNAL_PREFIX);
    let names: Vec<HeaderName> = headers.keys().filter(internal).cloned().collect();
    for name in names {
        headers.remove(name);
    }
}

/// Parses a header's value; `None` if it is missing or malformed.
pub fn parse<T: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Sets a header to a value's text; does nothing if the text is not a valid header value.
pub fn set(headers: &mut HeaderMap, name: HeaderName, value: &(impl ToString + ?Sized)) {
    if let Ok(value) = HeaderValue::try_from(value.to_string()) {
        headers.insert(name, value);
    }
}

/// Sets a header like [`set`], for values that hardly ever repeat: HTTP/2 must not add them to its
/// header compression table (RFC 7541, section 7.1.3).
pub fn set_unindexed(headers: &mut HeaderMap, name: HeaderName, value: &(impl ToString + ?Sized)) {
    if let Ok(mut value) = HeaderValue::try_from(value.to_string()) {
        value.set_sensitive(true);
        headers.insert(name, value);
    }
}

/// Maximum time left that is accepted from a header, in milliseconds.
const MAX_TIME_LEFT_MS: u64 = 3_600_000;

/// Parses a header with the time left in milliseconds, limited to one hour.
pub fn time_left(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    let ms = parse::<u64>(headers, name)?;
    Some(Duration::from_millis(ms.min(MAX_TIME_LEFT_MS)))
}

/// Returns whether the headers define where the body ends, so that truncation can be detected.
pub fn has_framing(headers: &HeaderMap) -> bool {
    headers.contains_key(http::header::CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
