//! What callers and upstreams agree on with this system, beyond plain HTTP.

use std::time::Duration;

use goldcresttally_core::ServiceName;
use http::{HeaderMap, HeaderName};

use crate::headers;

/// Names of the headers that callers and upstreams speak, and what an answer must bear.
#[derive(Debug, Clone)]
pub struct Conventions {
    /// Time left until the deadline, in milliseconds, from callers and to upstreams.
    pub deadline_ms: HeaderName,
    /// Set by an upstream on an answer to say that the call did not run.
    pub not_run: HeaderName,
    /// The call's id, which an upstream repeats in its answer.
    pub call_id: Option<HeaderName>,
    /// Names to the upstream the process that is to run the call; another one answers 421.
    pub target_instance: Option<HeaderName>,
    /// Names the process that answers a question about its health.
    pub health_instance: Option<HeaderName>,
    /// Names to the upstream the service beside the node at which the call entered.
    pub caller_service: Option<HeaderName>,
    /// Without this header a successful answer is not an upstream's.
    pub signature: Option<HeaderName>,
    /// Whether an answer may end with its connection; a reset connection still counts as a cut.
    pub close_delimited: bool,
    /// Whether `Retry-After` may have fractions of a second.
    pub fractional_retry_after: bool,
    /// The service beside this node, for `caller_service`.
    pub own_service: Option<ServiceName>,
}

impl Conventions {
    /// Returns the caller's id for a call; `-` where callers give none.
    pub(crate) fn id_of<'a>(&self, map: &'a HeaderMap) -> &'a str {
        let id = self.call_id.as_ref().and_then(|name| map.get(name));
        id.and_then(|id| id.to_str().ok()).unwrap_or("-")
    }

    /// Returns the text of `Retry-After`, in seconds, rounded up.
    pub(crate) fn retry_after(&self, after: Duration) -> String {
        match self.fractional_retry_after {
            true => format!("{:.3}", after.as_secs_f64()),
            false => after.as_millis().div_ceil(1000).to_string(),
        }
    }

    /// Sets what this system says of a call, whatever the caller said.
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
            caller_service: None,
            signature: None,
            close_delimited: false,
            fractional_retry_after: false,
            own_service: None,
        }
    }
}
