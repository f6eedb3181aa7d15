//! Failed calls: the verdict, the reason, and the response to the caller.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use goldcresttally_core::errors::invalid;
use goldcresttally_core::{NodeId, Verdict};
use http::{HeaderMap, Response, StatusCode};

use crate::body::{CallBody, full};
use crate::headers;

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $text:literal => $status:ident),* $(,)?) => {
        /// Why a call failed.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// Returns the status of the response to the caller.
            pub fn status(self) -> StatusCode {
                match self {
                    $(Self::$name => StatusCode::$status,)*
                }
            }
        }

        impl fmt::Display for Reason {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self {
                    $(Self::$name => $text,)*
                })
            }
        }

        impl FromStr for Reason {
            type Err = goldcresttally_core::Error;

            fn from_str(text: &str) -> goldcresttally_core::Result<Self> {
                match text {
                    $($text => Ok(Self::$name),)*
                    _ => invalid("reason", text, "a documented reason"),
                }
            }
        }
    };
}

reasons! {
    /// No route matches the call.
    NoRoute = "no-route" => NOT_FOUND,
    /// This node has no configuration that it may serve yet.
    NotReady = "not-ready" => SERVICE_UNAVAILABLE,
    /// No available node runs the service.
    NoEndpoint = "no-endpoint" => SERVICE_UNAVAILABLE,
    /// More urgent calls take all of the capacity.
    Overloaded = "overloaded" => SERVICE_UNAVAILABLE,
    /// The deadline passed or cannot be met.
    Deadline = "deadline" => GATEWAY_TIMEOUT,
    /// The body cannot arrive in time: the link of the upstream's VM is full.
    LinkFull = "link-full" => SERVICE_UNAVAILABLE,
    /// The upstream or its node is stopping.
    Draining = "draining" => SERVICE_UNAVAILABLE,
    /// A rollout does not let calls through to the upstream.
    Closed = "closed" => SERVICE_UNAVAILABLE,
    /// The upstream shed the call.
    Shed = "shed" => SERVICE_UNAVAILABLE,
    /// The attempt was settled or cancelled before it could run.
    Fenced = "fenced" => SERVICE_UNAVAILABLE,
    /// The attempt was meant for another process of the upstream.
    StaleInstance = "stale-instance" => SERVICE_UNAVAILABLE,
    /// The request's body is larger than the limit.
    TooLarge = "too-large" => PAYLOAD_TOO_LARGE,
    /// The memory for requests of all clients together is in use.
    MemoryFull = "memory-full" => SERVICE_UNAVAILABLE,
    /// The attempt was meant for an earlier process of the node.
    StaleGeneration = "stale-generation" => SERVICE_UNAVAILABLE,
    /// The ledger has no space for the attempt.
    LedgerFull = "ledger-full" => SERVICE_UNAVAILABLE,
    /// Connecting to the node or upstream failed.
    Unreachable = "unreachable" => BAD_GATEWAY,
    /// The connection broke, and the outcome cannot be determined.
    ConnectionLost = "connection-lost" => BAD_GATEWAY,
    /// The upstream's node does not answer a probe.
    Silent = "silent" => BAD_GATEWAY,
    /// The caller has closed its connection.
    CallerGone = "caller-gone" => BAD_GATEWAY,
    /// Another attempt of the call was answered.
    Superseded = "superseded" => BAD_GATEWAY,
    /// The node at which the call entered stopped.
    Stopped = "stopped" => GATEWAY_TIMEOUT,
    /// The upstream returned a server error.
    UpstreamFailed = "upstream-failed" => BAD_GATEWAY,
    /// The upstream's response was truncated or malformed.
    BadAnswer = "bad-answer" => BAD_GATEWAY,
    /// The caller's request was truncated or malformed.
    BadRequest = "bad-request" => BAD_REQUEST,
    /// The call exceeds the limit of its account.
    OverLimit = "over-limit" => TOO_MANY_REQUESTS,
    /// The caller's request did not arrive by its deadline.
    RequestTimeout = "request-timeout" => REQUEST_TIMEOUT,
    /// The route requires an idempotency key.
    KeyMissing = "key-missing" => BAD_REQUEST,
    /// The route needs the key of an account, and the call has none or an unknown one.
    UnknownKey = "unknown-key" => UNAUTHORIZED,
    /// The key was used for a different request.
    KeyReused = "key-reused" => UNPROCESSABLE_ENTITY,
    /// The first call with this key has not ended.
    StillRunning = "still-running" => CONFLICT,
    /// The claim on the key could not be written.
    TableUnavailable = "table-unavailable" => SERVICE_UNAVAILABLE,
}

/// A call that failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallError {
    /// Whether the call may have run.
    pub verdict: Verdict,
    /// Why it failed.
    pub reason: Reason,
    /// A less loaded node that could run the call instead.
    pub redirect: Option<NodeId>,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl CallError {
    fn new(verdict: Verdict, reason: Reason) -> Self {
        Self { verdict, reason, redirect: None, retry_after: None }
    }

    /// Returns the status of the response to the caller.
    ///
    /// A status such as 503 promises that the call did not run; 502 and 504 promise nothing. A
    /// deadline that was found unreachable before anything ran is therefore reported as 503.
    pub fn status(&self) -> StatusCode {
        let status = self.reason.status();
        match (self.verdict, self.reason) {
            (
                Verdict::NotRun,
                Reason::Deadline | Reason::Unreachable | Reason::ConnectionLost | Reason::Silent,
            ) => StatusCode::SERVICE_UNAVAILABLE,
            (Verdict::NotRun, _) => status,
            (_, _) if promises_not_run(status) => StatusCode::BAD_GATEWAY,
            _ => status,
        }
    }

    /// Returns whether the call reached an upstream.
    pub fn reached_upstream(&self) -> bool {
        let rejected = matches!(self.reason, Reason::Shed | Reason::StaleInstance);
        rejected || self.verdict != Verdict::NotRun
    }

    /// Returns the failure of a call that did not run.
    pub fn not_run(reason: Reason) -> Self {
        Self::new(Verdict::NotRun, reason)
    }

    /// Returns the failure of a call that may have run.
    pub fn may_have_run(reason: Reason) -> Self {
        Self::new(Verdict::MayHaveRun, reason)
    }

    /// Returns the failure of a call that ran.
    pub fn ran(reason: Reason) -> Self {
        Self::new(Verdict::Ran, reason)
    }

    /// Converts the failure to a response, with its details in headers.
    pub fn into_response(self) -> Response<CallBody> {
        let text = format!("{} ({})\n", self.reason, self.verdict);
        let mut response = Response::new(full(text));
        *response.status_mut() = self.status();
        headers::set(response.headers_mut(), headers::VERDICT, &self.verdict);
        headers::set(response.headers_mut(), headers::REASON, &self.reason);
        if let Some(node) = self.redirect {
            headers::set(response.headers_mut(), headers::REDIRECT, &node);
        }
        if let Some(after) = self.retry_after {
            headers::set(response.headers_mut(), headers::RETRY_AFTER_MS, &after.as_millis());
        }
        response
    }

    /// Parses the failure from another node's response; `None` if it is an upstream's response.
    pub fn from_headers(headers: &HeaderMap) -> Option<Self> {
        let verdict = headers::parse(headers, &headers::VERDICT)?;
        let reason = headers::parse(headers, &headers::REASON).unwrap_or(Reason::ConnectionLost);
        let redirect = headers::parse(headers, &headers::REDIRECT);
        let retry_after = headers::parse(headers, &headers::RETRY_AFTER_MS);
        let retry_after = retry_after.map(Duration::from_millis);
        Some(Self { verdict, reason, redirect, retry_after })
    }
}

/// Returns whether a status promises that the call did not run and will not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
