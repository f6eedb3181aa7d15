//! The types that a section's YAML holds; unknown fields are refused.

use std::collections::BTreeMap;
use std::sync::Arc;

use goldcresttally_core::{RankName, ServiceName, Share};
use serde::{Deserialize, Serialize};

/// One section of the document, as its team writes it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Section {
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// Ranks by name.
    pub ranks: BTreeMap<RankName, RankSpec>,
    /// Routes; the longest matching path wins, whatever their order.
    pub routes: Vec<RouteSpec>,
    /// Limits on requests of callers; one section may set them.
    pub limits: Option<LimitsSpec>,
}

/// Limits on requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitsSpec {
    /// Largest head of a request, in bytes.
    pub max_header_bytes: u32,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Time within which a head must have come once it has begun, in milliseconds.
    pub header_timeout_ms: u32,
    /// Time for which an idle connection of a caller is kept, in milliseconds.
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

/// Limits and objective of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceSpec {
    /// Most calls that run at once at one upstream; the announced slots bound it too.
    pub max_concurrency: u32,
    /// Whether the limit on concurrent calls follows observed latency and shed answers.
    pub adaptive_limit: bool,
    /// Most connections that one upstream takes, where that is known.
    pub max_connections: Option<u32>,
    /// Most calls that wait at one upstream.
    pub queue: u32,
    /// Path at which an upstream tells whether it takes calls, where it does.
    pub health_path: Option<Arc<str>>,
    /// Share of calls that the service means to answer well and in time.
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

/// The place of a rank among the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankSpec {
    /// Lower is more urgent; 0 is the most urgent.
    pub order: u8,
    /// Time within which an answer counts as on time, in milliseconds.
    pub target_ms: u32,
    /// Relative worth of one answer on time.
    #[serde(default = "one")]
    pub worth: u32,
    /// Share of an upstream's capacity that this rank keeps under a flood of more urgent calls.
    #[serde(default)]
    pub floor: Share,
}

fn one() -> u32 {
    1
}

/// One route: which calls go to which service, and how.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// Host that the call must name; any when absent.
    #[serde(default)]
    pub host: Option<Arc<str>>,
    /// Prefix that the path must have, at a `/` boundary; one that ends with `/` does not match
    /// the path without it.
    pub path: Arc<str>,
    /// Method that the call must have; any when absent.
    #[serde(default)]
    pub method: Option<Arc<str>>,
    /// Service that runs the call; absent when `split` names several.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// Services that share the calls by weight.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub split: Vec<SplitSpec>,
    /// Rank of the call.
    pub rank: RankName,
    /// Whether running the call twice has the same effect as once.
    pub idempotent: bool,
    /// Whether callers may or must send an `Idempotency-Key`.
    #[serde(default)]
    pub key: KeyPolicy,
    /// What becomes of a keyed call while the table cannot be reached.
    #[serde(default)]
    pub on_table_outage: OutagePolicy,
    /// Time within which the call must be answered, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u32,
    /// Most attempts after the first.
    #[serde(default = "default_retries")]
    pub retries: u8,
    /// Time within which an answer counts as on time, in milliseconds; the rank's when absent.
    #[serde(default)]
    pub target_ms: Option<u32>,
}

/// A service's share of a route's calls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SplitSpec {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the other weights.
    pub weight: u32,
}

fn default_timeout_ms() -> u32 {
    5000
}

fn default_retries() -> u8 {
    2
}

/// Says what a route makes of an `Idempotency-Key`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum KeyPolicy {
    /// The key is passed on and has no meaning here.
    #[default]
    None,
    /// A call with a key is claimed under it; one without runs unclaimed.
    Optional,
    /// A call without a key is refused.
    Required,
}

/// Says what becomes of a keyed call while the table cannot be reached.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OutagePolicy {
    /// Refuse it as not run.
    #[default]
    Refuse,
    /// Run it unclaimed; a repeat with the same key may then run again.
    Run,
}
