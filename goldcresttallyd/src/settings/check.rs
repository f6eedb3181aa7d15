//! Validation of values beyond their types, and conversion to the options of the components.

use std::sync::Arc;
use std::time::Duration;

use goldcresttally_distribution as distribution;
use goldcresttally_membership as membership;
use goldcresttally_proxy::Conventions;
use goldcresttally_proxy::clients::ClientOptions;
use goldcresttally_proxy::entry::AccountLimits;
use goldcresttally_quota as quota;
use goldcresttally_routing::BudgetOptions;
use goldcresttally_routing::RetryAllowance;
use http::HeaderName;

use super::{ConventionSettings, QuotaSettings, Settings};

/// Prefix of the headers that only this system may set.
const INTERNAL_PREFIX: &str = "tally-";

/// Headers that HTTP or this system gives another meaning, in lower case.
const RESERVED_HEADERS: [&str; 10] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// Minimum budget of clients, in bytes: a few requests with the largest body that is buffered.
const MIN_BUDGET_BYTES: u64 = 1 << 20;

/// Minimum memory of a node, in bytes.
const MIN_MEMORY_BYTES: u64 = 16 << 20;

/// The invalid key and a message.
pub type CheckError = (String, String);

impl Settings {
    /// Validates all values; returns the key of an invalid one and a message.
    pub fn check(&self) -> Result<(), CheckError> {
        self.check_addresses()?;
        let d = &self.distribution;
        in_range("distribution.poll_interval_ms", d.poll_interval_ms, 100, 60_000)?;
        in_range("distribution.pollers", d.pollers as u64, 1, 16)?;
        in_range("distribution.fanout", d.fanout as u64, 1, 64)?;
        in_range("distribution.fleet_size", d.fleet_size.into(), 1, 1_000_000)?;
        in_range("distribution.reads_per_second", d.reads_per_second.into(), 1, 100_000)?;
        if let Err(e) = d.mode.parse::<distribution::Mode>() {
            return invalid("distribution.mode", e.to_string());
        }
        let m = &self.membership;
        in_range("membership.probe_interval_ms", m.probe_interval_ms, 100, 60_000)?;
        in_range("membership.probe_timeout_ms", m.probe_timeout_ms, 10, m.probe_interval_ms)?;
        in_range("membership.suspicion_ms", m.suspicion_ms, 100, 600_000)?;
        let r = &self.requests;
        in_range("requests.leave_notice_ms", r.leave_notice_ms, 0, 60_000)?;
        in_range("requests.drain_ms", r.drain_ms, 0, 3_600_000)?;
        in_range("requests.flush_ms", r.flush_ms, 0, 60_000)?;
        if !(0.1..=1000.0).contains(&r.claim_writes_per_second) {
            return invalid(
                "requests.claim_writes_per_second",
                "must be from 0.1 to 1000".to_owned(),
            );
        }
        in_range("membership.lease_ms", m.lease_ms, 100, 600_000)?;
        in_range("requests.retry_window_ms", r.retry_window_ms, 100, 3_600_000)?;
        for (key, value, max) in [
            ("requests.retry_share", r.retry_share, 10.0),
            ("requests.retry_reserve", r.retry_reserve, 1e6),
            ("requests.retry_spend", r.retry_spend, 1.0),
        ] {
            if !(0.0..=max).contains(&value) {
                return invalid(key, format!("`{value}` is not in the range from 0 to {max}"));
            }
        }
        self.quotas.check()?;
        let c = &self.clients;
        // Below these, one ordinary request or a few tools would use up a limit.
        let budget = c.budget.map_or(MIN_BUDGET_BYTES, |b| b.0 as u64);
        in_range("clients.budget", budget, MIN_BUDGET_BYTES, u64::MAX)?;
        let memory = self.node.memory.map_or(MIN_MEMORY_BYTES, |m| m.0 as u64);
        in_range("node.memory", memory, MIN_MEMORY_BYTES, u64::MAX)?;
        in_range("node.descriptors", self.node.descriptors.unwrap_or(64), 64, u64::MAX)?;
        in_range("clients.call_connections", c.call_connections.unwrap_or(1) as u64, 1, 1_000_000)?;
        in_range("clients.tool_connections", c.tool_connections.unwrap_or(4) as u64, 4, 1_000_000)?;
        in_range("clients.max_header_fields", c.max_header_fields as u64, 100, 10_000)?;
        in_range("clients.max_streams", c.max_streams.into(), 1, 100_000)?;
        in_range("clients.stall_ms", c.stall_ms, 1000, 3_600_000)?;
        self.check_headers()?;
        self.check_rollouts()?;
        in_range("node.threads", self.node.threads as u64, 0, 64)
    }

    fn check_rollouts(&self) -> Result<(), CheckError> {
        let r = &self.rollouts;
        if !(r.expose_share > 0.0 && r.expose_share <= 1.0) {
            let message =
                format!("`{}` is not in the range from 0 (excluded) to 1", r.expose_share);
            return invalid("rollouts.expose_share", message);
        }
        in_range("rollouts.expose_calls", r.expose_calls, 0, 1_000_000)?;
        in_range("rollouts.rollback_ms", r.rollback_ms, 1000, 600_000)?;
        if r.enabled && self.conventions.own_service.is_none() {
            let message = "needs `conventions.own_service`, the service beside this node";
            return invalid("rollouts.enabled", message.to_owned());
        }
        Ok(())
    }

    fn check_headers(&self) -> Result<(), CheckError> {
        for (key, name) in self.conventions.header_names() {
            if name.is_some_and(|n| HeaderName::try_from(n).is_err()) {
                let message = format!("`{}` is not a valid header name", name.unwrap_or_default());
                return invalid(&format!("conventions.{key}"), message);
            }
        }
        self.check_account_headers()
    }

    /// Checks that nothing else reads, sets or removes the headers of accounts: a key must not be
    /// logged or passed on, and a caller must not be able to set an account's name.
    fn check_account_headers(&self) -> Result<(), CheckError> {
        let c = &self.conventions;
        let names = c.header_names();
        for key in ["account_key_header", "account_header"] {
            let Some((_, Some(name))) = names.iter().find(|(other, _)| *other == key) else {
                continue;
            };
            let key_path = format!("conventions.{key}");
            let is_same = |other: Option<&str>| other.is_some_and(|n| n.eq_ignore_ascii_case(name));
            let other = names.iter().find(|(other, value)| *other != key && is_same(*value));
            if let Some((other, _)) = other {
                return invalid(&key_path, format!("`{name}` is already used by {other}"));
            }
            let lowercase = name.to_ascii_lowercase();
            let reserved = RESERVED_HEADERS.contains(&lowercase.as_str());
            if reserved || lowercase.starts_with(INTERNAL_PREFIX) {
                return invalid(&key_path, format!("`{name}` has another meaning"));
            }
        }
        let Some(scheme) = &c.account_key_scheme else { return Ok(()) };
        let is_token = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
        if scheme.is_empty() || !scheme.bytes().all(is_token) {
            let message = format!("`{scheme}` is not an authentication scheme, as in `Bearer`");
            return invalid("conventions.account_key_scheme", message);
        }
        if c.account_key_header.is_none() {
            let message = "needs conventions.account_key_header".to_owned();
            return invalid("conventions.account_key_scheme", message);
        }
        Ok(())
    }

    /// Returns the HTTP conventions shared with callers and upstreams.
    pub fn conventions(&self) -> Conventions {
        let c = &self.conventions;
        // Parsing cannot fail, since the names were validated with the settings.
        let name = |n: &Option<Arc<str>>| n.as_deref().and_then(|n| HeaderName::try_from(n).ok());
        let defaults = Conventions::default();
        Conventions {
            deadline_ms: name(&c.deadline_header).unwrap_or(defaults.deadline_ms),
            not_run: name(&c.not_run_header).unwrap_or(defaults.not_run),
            call_id: name(&c.call_id_header),
            target_instance: name(&c.target_instance_header),
            caller_service: name(&c.caller_service_header),
            account_key: name(&c.account_key_header),
            account_key_scheme: c.account_key_scheme.clone(),
            account: name(&c.account_header),
            signature: name(&c.signature_header),
            health_instance: name(&c.health_instance_header),
            rate_limit: name(&c.rate_limit_header),
            leaving: name(&c.leaving_header),
            close_delimited: c.close_delimited_answers,
            fractional_retry_after: c.fractional_retry_after,
            own_service: c.own_service.clone(),
        }
    }

    /// Returns the limits on clients.
    pub fn client_options(&self) -> ClientOptions {
        let c = &self.clients;
        let memory = self.node.memory.map(|memory| memory.0);
        let descriptors = self.node.descriptors.map(|count| count as usize);
        let derived = ClientOptions::derive(memory, descriptors);
        ClientOptions {
            budget_bytes: c.budget.map_or(derived.budget_bytes, |budget| budget.0),
            call_connections: c.call_connections.unwrap_or(derived.call_connections),
            tool_connections: c.tool_connections.unwrap_or(derived.tool_connections),
            max_header_fields: c.max_header_fields,
            max_streams: c.max_streams,
            stall_timeout: Duration::from_millis(c.stall_ms),
        }
    }

    /// Returns the retry budget of all nodes together.
    pub fn retry_allowance(&self) -> RetryAllowance {
        let r = &self.requests;
        RetryAllowance {
            total: BudgetOptions {
                share: r.retry_share,
                reserve: r.retry_reserve,
                window: Duration::from_millis(r.retry_window_ms),
            },
            spend: r.retry_spend,
        }
    }

    /// Returns the limits of accounts; `None` if they are not enforced.
    pub fn account_limits(&self) -> Option<AccountLimits> {
        let q = &self.quotas;
        let options = quota::Options { slack: q.slack, window: Duration::from_millis(q.window_ms) };
        q.enabled.then(|| AccountLimits::new(Arc::new(quota::Quotas::new(options))))
    }

    fn check_addresses(&self) -> Result<(), CheckError> {
        let node = &self.node;
        let listeners = [
            ("node.control", node.control.0),
            ("node.peer", node.peer),
            ("node.calls", node.calls),
            ("node.operator", node.operator),
        ];
        for (i, (key, address)) in listeners.iter().enumerate() {
            if address.ip().is_unspecified() || address.port() == 0 {
                let message = "expected the IP and port by which other nodes reach this one";
                return invalid(key, message.to_owned());
            }
            if let Some((other, _)) = listeners[..i].iter().find(|(_, a)| a == address) {
                return invalid(key, format!("`{address}` is already used by {other}"));
            }
        }
        Ok(())
    }

    /// Returns the options of the distribution state machine.
    pub fn distribution_options(&self) -> distribution::Options {
        let d = &self.distribution;
        distribution::Options {
            // Parsing cannot fail, since the mode was validated with the settings.
            mode: d.mode.parse().unwrap_or_default(),
            poll_interval: Duration::from_millis(d.poll_interval_ms),
            pollers: d.pollers,
            fanout: d.fanout,
            fleet_size: d.fleet_size,
            reads_per_second: d.reads_per_second,
            ..distribution::Options::default()
        }
    }

    /// Returns the options of the membership state machine.
    pub fn membership_options(&self) -> membership::Options {
        let m = &self.membership;
        membership::Options {
            probe_interval: Duration::from_millis(m.probe_interval_ms),
            probe_timeout: Duration::from_millis(m.probe_timeout_ms),
            suspicion_base: Duration::from_millis(m.suspicion_ms),
            ..membership::Options::default()
        }
    }
}

impl QuotaSettings {
    /// Validates the values.
    ///
    /// # Errors
    ///
    /// Returns the first invalid key and a message.
    pub fn check(&self) -> Result<(), (String, String)> {
        if !(0.0..=1e6).contains(&self.slack) {
            let message = format!("`{}` is not in the range from 0 to 1000000", self.slack);
            return invalid("quotas.slack", message);
        }
        in_range("quotas.window_ms", self.window_ms, 1000, 60_000)
    }
}

impl ConventionSettings {
    /// Returns the keys of the header settings with their values.
    fn header_names(&self) -> [(&'static str, Option<&str>); 11] {
        [
            ("deadline_header", self.deadline_header.as_deref()),
            ("not_run_header", self.not_run_header.as_deref()),
            ("call_id_header", self.call_id_header.as_deref()),
            ("target_instance_header", self.target_instance_header.as_deref()),
            ("caller_service_header", self.caller_service_header.as_deref()),
            ("account_key_header", self.account_key_header.as_deref()),
            ("account_header", self.account_header.as_deref()),
            ("signature_header", self.signature_header.as_deref()),
            ("health_instance_header", self.health_instance_header.as_deref()),
            ("rate_limit_header", self.rate_limit_header.as_deref()),
            ("leaving_header", self.leaving_header.as_deref()),
        ]
    }
}

fn in_range(key: &str, value: u64, min: u64, max: u64) -> Result<(), CheckError> {
    match (min..=max).contains(&value) {
        true => Ok(()),
        false => invalid(key, format!("`{value}` is not in the range from {min} to {max}")),
    }
}

fn invalid(key: &str, message: String) -> Result<(), CheckError> {
    Err((key.to_owned(), message))
}
