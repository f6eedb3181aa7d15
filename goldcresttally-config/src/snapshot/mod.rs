//! The snapshot that a node serves: one configuration version with all references resolved.

mod accounts;
mod build;
mod matching;
mod split;

use std::hash::{Hash, Hasher as _};
use std::sync::Arc;
use std::time::Duration;

use goldcresttally_core::{Map, RankName, ServiceName, Share, Version};

use crate::document::{KeyPolicy, LimitsSpec, OutagePolicy};
pub use accounts::{Account, Accounts, InvalidKeyDigest, KeyDigest};
use matching::RouteIndex;
pub use split::Split;

/// A service with its limits and service-level objective.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// Maximum number of concurrent calls at one upstream.
    pub max_concurrency: u32,
    /// Whether the concurrency limit adapts to observed latency and to calls shed by the upstream.
    pub adaptive_limit: bool,
    /// Maximum number of connections to one upstream, if it has a known limit.
    pub max_connections: Option<u32>,
    /// Maximum number of calls queued for one upstream.
    pub queue: u32,
    /// Path of the upstream's health endpoint, if it has one.
    pub health_path: Option<Arc<str>>,
    /// Share of calls that should be answered successfully and on time.
    pub objective: Share,
}

/// A priority class of calls.
#[derive(Debug, Clone, PartialEq)]
pub struct Rank {
    /// The rank's name.
    pub name: RankName,
    /// Position among the ranks of the snapshot, sorted by `order`; 0 is the most urgent.
    pub index: usize,
    /// Time within which an answer counts as on time.
    pub target: Duration,
    /// Relative value of one on-time answer.
    pub worth: u32,
    /// Share of an upstream's capacity reserved for this rank while more urgent calls overload it.
    pub floor: Share,
}

/// A route with its services and rank resolved.
#[derive(Debug)]
pub struct Route {
    /// The required host; any host matches when `None`.
    pub host: Option<Arc<str>>,
    /// The required path prefix, without a trailing slash.
    pub path: Arc<str>,
    /// Whether the path must continue with a slash after the prefix.
    pub subpaths_only: bool,
    /// The required method; any method matches when `None`.
    pub method: Option<Arc<str>>,
    /// The services that run the calls, with their weights.
    pub split: Split,
    /// The rank of the calls.
    pub rank: Arc<Rank>,
    /// Whether running a call twice has the same effect as running it once.
    pub idempotent: bool,
    /// How the route handles the `Idempotency-Key` header.
    pub key: KeyPolicy,
    /// How a call with an idempotency key is handled while the table is unreachable.
    pub on_table_outage: OutagePolicy,
    /// Default call timeout and maximum that a caller may ask for.
    pub timeout: Duration,
    /// Maximum number of attempts after the first.
    pub retries: u8,
    /// Time within which an answer counts as on time.
    pub target: Duration,
    /// Whether calls need no key although the document has accounts.
    pub public: bool,
}

impl Route {
    /// Returns a nonzero key for statistics about the route's callers.
    ///
    /// It is a hash of host, path and target, so it stays the same in later versions that keep
    /// these three.
    pub fn caller_stats_key(&self) -> u32 {
        let mut hasher = goldcresttally_core::Hasher::default();
        (&self.host, &self.path, self.target).hash(&mut hasher);
        (hasher.finish() >> 32) as u32 | 1
    }
}

/// One version of the configuration, validated and indexed.
#[derive(Debug, Default)]
pub struct Snapshot {
    version: Version,
    services: Map<ServiceName, Arc<Service>>,
    ranks: Vec<Arc<Rank>>,
    routes: RouteIndex,
    limits: LimitsSpec,
    accounts: Accounts,
}

impl Snapshot {
    /// Returns the client accounts.
    pub fn accounts(&self) -> &Accounts {
        &self.accounts
    }

    /// Returns the limits on incoming requests.
    pub fn limits(&self) -> LimitsSpec {
        self.limits
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the service `name`, if it is defined.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services, in unspecified order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns the ranks, most urgent first.
    pub fn ranks(&self) -> &[Arc<Rank>] {
        &self.ranks
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Returns the route of a call.
    ///
    /// The longest path wins; among routes with the same path, one with a host goes before one
    /// without, and then one with a method before one without.
    pub fn route(&self, host: &str, method: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.find(host, method, path)
    }
}
