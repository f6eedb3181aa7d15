//! Failures of calls: the verdict, the reason, and the answer that a caller gets.

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
            /// Returns the status that a caller gets.
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
    /// This node has no configuration that it may serve.
    NotReady = "not-ready" => SERVICE_UNAVAILABLE,
    /// No node runs the service.
    NoEndpoint = "no-endpoint" => SERVICE_UNAVAILABLE,
    /// More urgent calls take all there is.
    Overloaded = "overloaded" => SERVICE_UNAVAILABLE,
    /// The deadline passed or cannot be met.
    Deadline = "deadline" => GATEWAY_TIMEOUT,
    /// The upstream or its node is about to stop.
    Draining = "draining" => SERVICE_UNAVAILABLE,
    /// The upstream shed the call.
    Shed = "shed" => SERVICE_UNAVAILABLE,
    /// The attempt was asked about before it could run.
    Fenced = "fenced" => SERVICE_UNAVAILABLE,
    /// The upstream's process is not the one that the attempt was meant for.
    StaleInstance = "stale-instance" => SERVICE_UNAVAILABLE,
    /// The request's body is larger than the limit.
    TooLarge = "too-large" => PAYLOAD_TOO_LARGE,
    /// The attempt was meant for an earlier process at the address.
    StaleGeneration = "stale-generation" => SERVICE_UNAVAILABLE,
    /// The ledger has no room to remember the attempt.
    LedgerFull = "ledger-full" => SERVICE_UNAVAILABLE,
    /// The node or upstream could not be connected to.
    Unreachable = "unreachable" => BAD_GATEWAY,
    /// The connection broke and nobody reachable knows the outcome.
    ConnectionLost = "connection-lost" => BAD_GATEWAY,
    /// The node beside the upstream has gone silent.
    Silent = "silent" => BAD_GATEWAY,
    /// The caller has closed its connection.
    CallerGone = "caller-gone" => BAD_GATEWAY,
    /// Another attempt of the call was answered.
    Superseded = "superseded" => BAD_GATEWAY,
    /// The node that took the call had to end.
    Stopped = "stopped" => GATEWAY_TIMEOUT,
    /// The upstream answered that it failed.
    UpstreamFailed = "upstream-failed" => BAD_GATEWAY,
    /// The upstream's answer was cut or malformed.
    BadAnswer = "bad-answer" => BAD_GATEWAY,
    /// The caller's request broke off or was malformed.
    BadRequest = "bad-request" => BAD_REQUEST,
    /// The caller's request had not come by its deadline.
    RequestTimeout = "request-timeout" => REQUEST_TIMEOUT,
    /// The route demands an idempotency key.
    KeyMissing = "key-missing" => BAD_REQUEST,
    /// The key was used for another call.
    KeyReused = "key-reused" => UNPROCESSABLE_ENTITY,
    /// The first call with this key has not ended.
    StillRunning = "still-running" => CONFLICT,
    /// The claim on the key could not be written.
    TableUnavailable = "table-unavailable" => SERVICE_UNAVAILABLE,
}

/// A call that failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallError {
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Why it failed.
    pub reason: Reason,
    /// A less loaded node that may run it instead.
    pub redirect: Option<NodeId>,
    /// Time after which the call may be served.
    pub retry_after: Option<Duration>,
}

impl CallError {
    fn new(verdict: Verdict, reason: Reason) -> Self {
        Self { verdict, reason, redirect: None, retry_after: None }
    }

    /// Returns the status for the caller.
    ///
    /// 503 and the like promise that the call did not run, and 502 and 504 promise nothing: a
    /// deadline that was seen to be out of reach before anything ran is a refusal.
    pub fn status(&self) -> StatusCode {
        let status = self.reason.status();
        match (self.verdict, self.reason) {
            (Verdict::NotRun, Reason::Deadline | Reason::Unreachable | Reason::ConnectionLost) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            (Verdict::NotRun, _) => status,
            (_, _) if promises_not_run(status) => StatusCode::BAD_GATEWAY,
            _ => status,
        }
    }

    /// Tells whether an upstream has seen the call.
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

    /// Writes the answer that says so.
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

    /// Reads the failure from another node's answer; `None` when it is an upstream's answer.
    pub fn from_headers(headers: &HeaderMap) -> Option<Self> {
        let verdict = headers::parse(headers, &headers::VERDICT)?;
        let reason = headers::parse(headers, &headers::REASON).unwrap_or(Reason::ConnectionLost);
        let redirect = headers::parse(headers, &headers::REDIRECT);
        let retry_after = headers::parse(headers, &headers::RETRY_AFTER_MS);
        let retry_after = retry_after.map(Duration::from_millis);
        Some(Self { verdict, reason, redirect, retry_after })
    }
}

/// Tells whether a status promises that the call did not run and will not.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
