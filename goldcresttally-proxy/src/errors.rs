//! Failures of calls: the verdict, the reason, and the answer that a caller gets.

use std::fmt;
use std::str::FromStr;

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
    /// The attempt was meant for an earlier process at the address.
    StaleGeneration = "stale-generation" => SERVICE_UNAVAILABLE,
    /// The ledger has no room to remember the attempt.
    LedgerFull = "ledger-full" => SERVICE_UNAVAILABLE,
    /// The node or upstream could not be connected to.
    Unreachable = "unreachable" => BAD_GATEWAY,
    /// The connection broke and nobody reachable knows the outcome.
    ConnectionLost = "connection-lost" => BAD_GATEWAY,
    /// The upstream's answer was cut or malformed.
    BadAnswer = "bad-answer" => BAD_GATEWAY,
    /// The caller's request broke off, was malformed or too slow.
    BadRequest = "bad-request" => BAD_REQUEST,
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
}

impl CallError {
    /// Returns the failure of a call that did not run.
    pub fn not_run(reason: Reason) -> Self {
        Self { verdict: Verdict::NotRun, reason, redirect: None }
    }

    /// Returns the failure of a call that may have run.
    pub fn may_have_run(reason: Reason) -> Self {
        Self { verdict: Verdict::MayHaveRun, reason, redirect: None }
    }

    /// Returns the failure of a call that ran.
    pub fn ran(reason: Reason) -> Self {
        Self { verdict: Verdict::Ran, reason, redirect: None }
    }

    /// Writes the answer that says so.
    pub fn into_response(self) -> Response<CallBody> {
        let text = format!("{} ({})\n", self.reason, self.verdict);
        let mut response = Response::new(full(text));
        *response.status_mut() = self.reason.status();
        headers::set(response.headers_mut(), headers::VERDICT, &self.verdict);
        headers::set(response.headers_mut(), headers::REASON, &self.reason);
        if let Some(node) = self.redirect {
            headers::set(response.headers_mut(), headers::REDIRECT, &node);
        }
        response
    }

    /// Reads the failure from another node's answer; `None` when it is an upstream's answer.
    pub fn from_headers(headers: &HeaderMap) -> Option<Self> {
        let verdict = headers::parse(headers, &headers::VERDICT)?;
        let reason = headers::parse(headers, &headers::REASON).unwrap_or(Reason::ConnectionLost);
        let redirect = headers::parse(headers, &headers::REDIRECT);
        Some(Self { verdict, reason, redirect })
    }
}
