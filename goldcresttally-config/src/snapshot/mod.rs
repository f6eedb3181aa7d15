//! The closed snapshot that a node serves: every route's service and rank are in it.

mod build;
mod matching;
mod split;

use std::hash::{Hash, Hasher as _};
use std::sync::Arc;
use std::time::Duration;

use goldcresttally_core::{Map, RankName, ServiceName, Share, Version};

use crate::document::{KeyPolicy, LimitsSpec, OutagePolicy};
use matching::RouteIndex;
pub use split::Split;

/// A service with its limits.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// Most calls that run at once at one upstream.
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

/// A rank; ranks compare by `order`.
#[derive(Debug, Clone, PartialEq)]
pub struct Rank {
    /// The rank's name.
    pub name: RankName,
    /// Position among the ranks of the snapshot; 0 is the most urgent.
    pub index: usize,
    /// Time within which an answer counts as on time.
    pub target: Duration,
    /// Relative worth of one answer on time.
    pub worth: u32,
    /// Share of an upstream's capacity that the rank keeps under a more urgent flood.
    pub floor: Share,
}

/// A route with its service and rank resolved.
#[derive(Debug)]
pub struct Route {
    /// The host that calls must name, if any.
    pub host: Option<Arc<str>>,
    /// The prefix that the path must have, without a slash at its end.
    pub path: Arc<str>,
    /// Whether the path must go on with a slash behind the prefix.
    pub subpaths_only: bool,
    /// The method that calls must have, if any.
    pub method: Option<Arc<str>>,
    /// The services that run the calls.
    pub split: Split,
    /// The rank of the call.
    pub rank: Arc<Rank>,
    /// Whether running the call twice has the same effect as once.
    pub idempotent: bool,
    /// What the route makes of an `Idempotency-Key`.
    pub key: KeyPolicy,
    /// What becomes of a keyed call while the table cannot be reached.
    pub on_table_outage: OutagePolicy,
    /// Time within which the call must be answered.
    pub timeout: Duration,
    /// Most attempts after the first.
    pub retries: u8,
    /// Time within which an answer counts as on time.
    pub target: Duration,
}

impl Route {
    /// Returns a key that tells routes with different callers apart over versions, never 0.
    pub fn caller_stats_key(&self) -> u32 {
        let mut hasher = goldcresttally_core::Hasher::default();
        (&self.host, &self.path, self.target).hash(&mut hasher);
        (hasher.finish() >> 32) as u32 | 1
    }
}

/// One version of the configuration, closed and ready to serve.
#[derive(Debug, Default)]
pub struct Snapshot {
    version: Version,
    services: Map<ServiceName, Arc<Service>>,
    ranks: Vec<Arc<Rank>>,
    routes: RouteIndex,
    limits: LimitsSpec,
}

impl Snapshot {
    /// Returns the limits on requests of callers.
    pub fn limits(&self) -> LimitsSpec {
        self.limits
    }

    /// Returns the version that the snapshot was built from.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the service `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services, in no stated order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns the ranks, the most urgent first.
    pub fn ranks(&self) -> &[Arc<Rank>] {
        &self.ranks
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }

    /// Finds the route of a call; the longest path wins, then a named host, then a named method.
    pub fn route(&self, host: &str, method: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.find(host, method, path)
    }
}
