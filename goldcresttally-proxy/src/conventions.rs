//! The headers and rules that callers, upstreams and this system use beyond plain HTTP.

use std::sync::Arc;
use std::time::Duration;

use goldcresttally_core::{Rate, ServiceName};
use http::{HeaderMap, HeaderName, HeaderValue};

use crate::headers;

/// Header names and response rules towards callers and upstreams.
#[derive(Debug, Clone)]
pub struct Conventions {
    /// Time left until the deadline, in milliseconds, from callers and to upstreams.
    pub deadline_ms: HeaderName,
    /// Set by an upstream on a response to indicate that the call did not run.
    pub not_run: HeaderName,
    /// The call's id. An upstream may echo it; an echo of another id marks the response of another
    /// call.
    pub call_id: Option<HeaderName>,
    /// Tells the upstream which process must run the call; any other process responds with 421.
    pub target_instance: Option<HeaderName>,
    /// Set on the response to a health check: the process that responds.
    pub health_instance: Option<HeaderName>,
    /// Set by an upstream on a response: the calls per second that it takes from all nodes together.
    pub rate_limit: Option<HeaderName>,
    /// Set by an upstream on a response to indicate that it is leaving and takes no new calls.
    pub leaving: Option<HeaderName>,
    /// Tells the upstream which service runs beside the node at which the call entered.
    pub caller_service: Option<HeaderName>,
    /// The key of the caller's account, from callers only.
    pub account_key: Option<HeaderName>,
    /// The authentication scheme before the key, without regard to case; the whole value is the key
    /// when `None`.
    pub account_key_scheme: Option<Arc<str>>,
    /// Tells the upstream the name of the caller's account.
    pub account: Option<HeaderName>,
    /// Must be set on successful responses; one without it does not come from the upstream.
    pub signature: Option<HeaderName>,
    /// Whether the end of the connection may mark the end of a response. A reset connection still
    /// counts as truncation.
    pub close_delimited: bool,
    /// Whether `Retry-After` may contain fractions of a second.
    pub fractional_retry_after: bool,
    /// The service beside this node, sent as `caller_service`.
    pub own_service: Option<ServiceName>,
}

impl Conventions {
    /// Returns the caller's id for a call; `-` if it has none.
    pub(crate) fn id_of<'a>(&self, map: &'a HeaderMap) -> &'a str {
        let id = self.call_id.as_ref().and_then(|name| map.get(name));
        id.and_then(|id| id.to_str().ok()).unwrap_or("-")
    }

    /// Returns the header with the caller's id for a call.
    pub(crate) fn id_header(&self, map: &HeaderMap) -> Option<(HeaderName, HeaderValue)> {
        let name = self.call_id.as_ref()?;
        Some((name.clone(), map.get(name)?.clone()))
    }

    /// Returns the rate limit that an upstream's response names, if it can be read.
    pub(crate) fn named_rate(&self, map: &HeaderMap) -> Option<Rate> {
        headers::parse(map, self.rate_limit.as_ref()?)
    }

    /// Returns whether an upstream's response says that it is leaving.
    pub(crate) fn names_leaving(&self, map: &HeaderMap) -> bool {
        let value = self.leaving.as_ref().and_then(|name| map.get(name));
        value.is_some_and(|value| value.as_bytes() != b"0")
    }

    /// Returns the value of `Retry-After` in seconds, rounded up unless fractions are allowed.
    pub(crate) fn retry_after(&self, after: Duration) -> String {
        match self.fractional_retry_after {
            true => format!("{:.3}", after.as_secs_f64()),
            false => after.as_millis().div_ceil(1000).to_string(),
        }
    }

    /// Removes the deadline and instance that the caller sent, and replaces the caller's service.
    pub(crate) fn set_on_entry(&self, map: &mut HeaderMap) {
        map.remove(&self.deadline_ms);
        if let Some(name) = &self.target_instance {
            map.remove(name);
        }
        if let Some(name) = &self.caller_service {
            map.remove(name);
            if let Some(service) = &self.own_service {
                headers::set(map, name.clone(), service);
            }
        }
    }
}

impl Default for Conventions {
    fn default() -> Self {
        Self {
            deadline_ms: headers::DEADLINE_MS,
            not_run: headers::NOT_RUN,
            call_id: None,
            target_instance: None,
            health_instance: None,
            rate_limit: None,
            leaving: None,
            caller_service: None,
            account_key: None,
            account_key_scheme: None,
            account: None,
            signature: None,
            close_delimited: false,
            fractional_retry_after: false,
            own_service: None,
        }
    }
}
