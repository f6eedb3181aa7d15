//! Serde types of a section's YAML; unknown fields are rejected.

use std::collections::BTreeMap;
use std::sync::Arc;

use goldcresttally_core::{AccountName, RankName, Rate, ServiceName, Share};
use serde::{Deserialize, Serialize};

use crate::snapshot::KeyDigest;

/// One section of the configuration document, as written by the team that owns it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Section {
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// Ranks by name.
    pub ranks: BTreeMap<RankName, RankSpec>,
    /// Routes, in any order: the longest matching path wins.
    pub routes: Vec<RouteSpec>,
    /// Limits on incoming requests; at most one section may set them.
    pub limits: Option<LimitsSpec>,
    /// Client accounts by name. If any section has one, calls on routes that are not public need a
    /// known key.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub accounts: BTreeMap<AccountName, AccountSpec>,
    /// Requires a key as if there were accounts, even if no section has one.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub require_keys: bool,
}

/// A client account: its keys, its rank and its rate limit.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AccountSpec {
    /// SHA-256 digests of the account's keys, in hexadecimal.
    pub key_sha256: Vec<KeyDigest>,
    /// Rank of the account's calls; the route's rank when absent.
    pub rank: Option<RankName>,
    /// Maximum calls per second over all nodes; unlimited when 0 or absent.
    pub rate_per_s: Option<Rate>,
    /// Calls that may exceed the rate at once; none when 0 or absent.
    pub burst: Option<f64>,
}

/// Limits on incoming requests and on the connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitsSpec {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: u32,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum time from the first byte of a request head to its last, in milliseconds.
    pub header_timeout_ms: u32,
    /// Time after which an idle caller connection is closed, in milliseconds.
    pub idle_timeout_ms: u32,
}

impl Default for LimitsSpec {
    fn default() -> Self {
        Self {
            max_header_bytes: 64 * 1024,
            max_body_bytes: 64 * 1024 * 1024,
            header_timeout_ms: 15_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Limits and service-level objective of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceSpec {
    /// Maximum number of concurrent calls at one upstream; the slots that the upstream announces
    /// limit it as well.
    pub max_concurrency: u32,
    /// Whether the concurrency limit adapts to observed latency and to calls shed by the upstream.
    pub adaptive_limit: bool,
    /// Maximum number of connections to one upstream, if it has a known limit.
    pub max_connections: Option<u32>,
    /// Maximum number of calls queued for one upstream.
    pub queue: u32,
    /// Path of the upstream's health endpoint, if it has one.
    pub health_path: Option<Arc<str>>,
    /// Service-level objective: the share of calls answered successfully and on time.
    pub objective: Share,
}

impl Default for ServiceSpec {
    fn default() -> Self {
        let objective = Share::try_from(0.99).unwrap_or_default();
        Self {
            max_concurrency: 1024,
            adaptive_limit: true,
            max_connections: None,
            queue: 64,
            health_path: None,
            objective,
        }
    }
}

/// Priority, latency target and reserved capacity of a rank.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankSpec {
    /// Priority; lower values are more urgent, and no two ranks may share one.
    pub order: u8,
    /// Time within which an answer counts as on time, in milliseconds.
    pub target_ms: u32,
    /// Relative value of one on-time answer.
    #[serde(default = "one")]
    pub worth: u32,
    /// Share of an upstream's capacity reserved for this rank while more urgent calls overload it.
    #[serde(default)]
    pub floor: Share,
}

fn one() -> u32 {
    1
}

/// A route: which calls it matches, which services run them, and how.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// Required host; any host matches when absent.
    #[serde(default)]
    pub host: Option<Arc<str>>,
    /// Required path prefix, matched by whole segments. A prefix that ends with `/` does not
    /// match the path without the slash.
    pub path: Arc<str>,
    /// Required method; any method matches when absent.
    #[serde(default)]
    pub method: Option<Arc<str>>,
    /// Service that runs the call; absent when `split` is set.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Services among which calls are split by weight.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<SplitSpec>,
    /// Rank of the call.
    pub rank: RankName,
    /// Whether running a call twice has the same effect as running it once.
    pub idempotent: bool,
    /// Whether callers may or must send an `Idempotency-Key`.
    #[serde(default)]
    pub key: KeyPolicy,
    /// How a call with an idempotency key is handled while the table is unreachable.
    #[serde(default)]
    pub on_table_outage: OutagePolicy,
    /// Default call timeout and maximum that a caller may ask for, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u32,
    /// Maximum number of attempts after the first.
    #[serde(default = "default_retries")]
    pub retries: u8,
    /// Time within which an answer counts as on time, in milliseconds; the rank's `target_ms` when
    /// absent.
    #[serde(default)]
    pub target_ms: Option<u32>,
    /// Whether calls need no key although the document has accounts.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub public: bool,
}

/// One service of a weighted split.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SplitSpec {
    /// The service.
    pub service: ServiceName,
    /// The service's weight, relative to the other weights of the route.
    pub weight: u32,
}

fn default_timeout_ms() -> u32 {
    5000
}

fn default_retries() -> u8 {
    2
}

/// How a route handles the `Idempotency-Key` header.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum KeyPolicy {
    /// The key is passed through to the upstream and otherwise ignored.
    #[default]
    None,
    /// A call with a key is claimed under that key; a call without one runs without a claim.
    Optional,
    /// A call without a key is rejected.
    Required,
}

/// How a call with an idempotency key is handled while the table is unreachable.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OutagePolicy {
    /// Refuse the call without running it.
    #[default]
    Refuse,
    /// Run the call without a claim; a repeat with the same key may then run again.
    Run,
}
