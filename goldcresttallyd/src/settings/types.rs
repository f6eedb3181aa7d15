//! The types of the settings; unknown keys are refused.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use goldcresttally_config::Digest;
use goldcresttally_core::{BitRate, ByteSize, DomainId, NodeId, RegionId, ServiceName, TeamName};
use goldcresttally_membership::registry::LEASE_MS;
use goldcresttally_proxy::clients::ClientOptions;
use serde::{Deserialize, Deserializer, Serialize};

/// All settings of a node.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Addresses and location of the node.
    pub node: NodeSettings,
    /// Address of the table service and object store; an embedder may provide its own instead.
    #[serde(default)]
    pub platform: Option<SocketAddr>,
    /// Teams that may write sections and accept versions.
    #[serde(default)]
    pub teams: BTreeMap<TeamName, TeamSettings>,
    /// Distribution of configuration versions.
    #[serde(default)]
    pub distribution: DistributionSettings,
    /// Failure detection among members.
    #[serde(default)]
    pub membership: MembershipSettings,
    /// Shutdown, claims and retries of requests.
    #[serde(default)]
    pub requests: RequestSettings,
    /// Limits of accounts over all nodes.
    #[serde(default)]
    pub quotas: QuotaSettings,
    /// Limits on clients.
    #[serde(default)]
    pub clients: ClientSettings,
    /// HTTP conventions shared with callers and upstreams.
    #[serde(default)]
    pub conventions: ConventionSettings,
    /// Rollouts of new releases of a service.
    #[serde(default)]
    pub rollouts: RolloutSettings,
    /// StatsD metrics; not sent if absent.
    #[serde(default)]
    pub metrics: Option<MetricsSettings>,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
}

/// Addresses and location of a node.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Listen address for other nodes' control connections (TCP) and datagrams (UDP).
    pub control: NodeId,
    /// Listen address for calls from other nodes.
    pub peer: SocketAddr,
    /// Listen address for calls from callers.
    pub calls: SocketAddr,
    /// Listen address of the HTTP API for operators and upstreams.
    pub operator: SocketAddr,
    /// Listen address of metrics as text at `/metrics`; not served if absent.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// The failure domain.
    pub domain: DomainId,
    /// The region.
    pub region: RegionId,
    /// The rate of the VM's link, as in `14Mbit/s`; unknown if absent.
    #[serde(default)]
    pub link: BitRate,
    /// Control addresses of nodes through which to join.
    #[serde(default)]
    pub seeds: Vec<NodeId>,
    /// Number of threads that serve calls; with 0, one thread does everything.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Memory of the VM or of the process's limit; unknown if absent.
    #[serde(default)]
    pub memory: Option<ByteSize>,
    /// Number of descriptors that the process may open; unknown if absent.
    #[serde(default, deserialize_with = "descriptors")]
    pub descriptors: Option<u64>,
}

/// Reads a count that a deploy template may render with a fraction.
fn descriptors<'de, D: Deserializer<'de>>(from: D) -> Result<Option<u64>, D::Error> {
    let count = Option::<f64>::deserialize(from)?;
    match count {
        Some(count) if !(count.is_finite() && count >= 0.0) => {
            Err(serde::de::Error::custom("expected a number of descriptors"))
        }
        count => Ok(count.map(|count| count as u64)),
    }
}

fn default_threads() -> usize {
    2
}

/// A team that may write its sections.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSettings {
    /// The SHA-256 digest of the team's bearer token, in hexadecimal.
    pub token_sha256: Digest,
}

/// Distribution of configuration versions.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DistributionSettings {
    /// `tree`, `gossip` or `poll`.
    pub mode: Arc<str>,
    /// Minimum interval at which a poller reads the table, in milliseconds.
    pub poll_interval_ms: u64,
    /// Number of members of each failure domain that poll the table.
    pub pollers: usize,
    /// Number of members to which each member forwards a version.
    pub fanout: usize,
    /// Number of nodes for which the deployment is sized.
    pub fleet_size: u32,
    /// Maximum number of table reads per second by all nodes together.
    pub reads_per_second: u32,
}

impl Default for DistributionSettings {
    fn default() -> Self {
        let options = goldcresttally_distribution::Options::default();
        Self {
            mode: Arc::from("tree"),
            poll_interval_ms: options.poll_interval.as_millis() as u64,
            pollers: options.pollers,
            fanout: options.fanout,
            fleet_size: options.fleet_size,
            reads_per_second: options.reads_per_second,
        }
    }
}

/// Failure detection among members and leases of upstreams.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipSettings {
    /// Interval between probes, each of one member, in milliseconds.
    pub probe_interval_ms: u64,
    /// Time after which an unanswered probe is repeated through other members, in milliseconds.
    pub probe_timeout_ms: u64,
    /// Minimum time that a suspected member has to refute the suspicion, in milliseconds.
    pub suspicion_ms: u64,
    /// Lease of an upstream's announcement, in milliseconds.
    pub lease_ms: u64,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        let options = goldcresttally_membership::Options::default();
        Self {
            probe_interval_ms: options.probe_interval.as_millis() as u64,
            probe_timeout_ms: options.probe_timeout.as_millis() as u64,
            suspicion_ms: options.suspicion_base.as_millis() as u64,
            lease_ms: LEASE_MS,
        }
    }
}

/// Shutdown, claims and retries of requests.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestSettings {
    /// Time for which callers are still served after a node starts to leave, in milliseconds.
    pub leave_notice_ms: u64,
    /// Time that calls in flight have to finish in a graceful shutdown, in milliseconds.
    pub drain_ms: u64,
    /// Time after the drain time in which responses are still delivered to slow readers, in
    /// milliseconds.
    pub flush_ms: u64,
    /// Maximum number of transactions per second that write claims.
    pub claim_writes_per_second: f64,
    /// Whether a refusal redirects to a less loaded node.
    pub redirects: bool,
    /// Retries to a service that all nodes together may make, per call.
    pub retry_share: f64,
    /// Additional retries to a service that all nodes together may make in each window.
    pub retry_reserve: f64,
    /// Window of the retry budget, in milliseconds.
    pub retry_window_ms: u64,
    /// Share of the retry budget that may be spent on retries. The rest is left for nested calls,
    /// which a repeated run makes again.
    pub retry_spend: f64,
    /// Whether calls that cannot be answered in time are refused at once, and nested calls are
    /// preferred, under an overload.
    pub overload_control: bool,
    /// Whether calls are refused before any work is done for them while this node is short of
    /// processor time; needs `overload_control`.
    pub processor_control: bool,
    /// Whether old load reports give way to the mean of all, so that upstreams are loaded evenly.
    pub even_load: bool,
}

impl Default for RequestSettings {
    fn default() -> Self {
        Self {
            leave_notice_ms: 1000,
            drain_ms: 30_000,
            flush_ms: 1000,
            claim_writes_per_second: 30.0,
            redirects: false,
            retry_share: 0.2,
            retry_reserve: 60.0,
            retry_window_ms: 10_000,
            retry_spend: 1.0,
            overload_control: false,
            processor_control: false,
            even_load: false,
        }
    }
}

/// Limits of accounts over all nodes.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QuotaSettings {
    /// Whether the limits are enforced.
    pub enabled: bool,
    /// Calls of an account that all nodes together may run beyond its rate and burst in a window.
    pub slack: f64,
    /// Window over which the limits hold, in milliseconds.
    pub window_ms: u64,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self { enabled: false, slack: 0.0, window_ms: 5000 }
    }
}

/// Limits on what clients of all listeners may hold. Those that are absent derive from `node.memory` and
/// `node.descriptors`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClientSettings {
    /// Bytes that the requests and unread responses of all connections together may take.
    pub budget: Option<ByteSize>,
    /// Maximum number of connections of callers.
    pub call_connections: Option<usize>,
    /// Maximum number of connections of each other listener for clients.
    pub tool_connections: Option<usize>,
    /// Maximum number of header fields of one HTTP/1.1 request.
    pub max_header_fields: usize,
    /// Maximum number of requests in flight on one HTTP/2 connection.
    pub max_streams: u32,
    /// Time without progress after which the sender of a body or the reader of a response is
    /// disconnected, in milliseconds.
    pub stall_ms: u64,
}

impl Default for ClientSettings {
    fn default() -> Self {
        let options = ClientOptions::default();
        Self {
            budget: None,
            call_connections: None,
            tool_connections: None,
            max_header_fields: options.max_header_fields,
            max_streams: options.max_streams,
            stall_ms: options.stall_timeout.as_millis() as u64,
        }
    }
}

/// Rollouts of new releases of a service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RolloutSettings {
    /// Whether the upstream beside this node takes part in rollouts.
    pub enabled: bool,
    /// Share of the service's calls that a faulty release may get.
    pub expose_share: f64,
    /// Calls that it may get besides.
    pub expose_calls: u64,
    /// Time within which a release must get no more calls after it has shown to be faulty, in
    /// milliseconds.
    pub rollback_ms: u64,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self { enabled: false, expose_share: 0.1, expose_calls: 50, rollback_ms: 5000 }
    }
}

/// HTTP conventions: names of headers, and requirements on an upstream's answer.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConventionSettings {
    /// Header with the time left until the deadline, in milliseconds.
    pub deadline_header: Option<Arc<str>>,
    /// Header with which an upstream states that a call was not run.
    pub not_run_header: Option<Arc<str>>,
    /// Header with the call's id, which an upstream echoes in its answer.
    pub call_id_header: Option<Arc<str>>,
    /// Request header that names the upstream process that is to run the call.
    pub target_instance_header: Option<Arc<str>>,
    /// Request header that names the service beside which the call entered.
    pub caller_service_header: Option<Arc<str>>,
    /// Request header with the key of the caller's account, which is not passed on.
    pub account_key_header: Option<Arc<str>>,
    /// Authentication scheme before the key, as in `Bearer KEY`; the whole header is the key if
    /// absent.
    pub account_key_scheme: Option<Arc<str>>,
    /// Request header that names to the upstream the caller's account.
    pub account_header: Option<Arc<str>>,
    /// Header that a successful answer must have to count as the upstream's.
    pub signature_header: Option<Arc<str>>,
    /// Header with which an upstream names its process in answers to health checks.
    pub health_instance_header: Option<Arc<str>>,
    /// Header with which an upstream names the calls per second that it takes from all nodes.
    pub rate_limit_header: Option<Arc<str>>,
    /// Header with which an upstream says that it is leaving.
    pub leaving_header: Option<Arc<str>>,
    /// Whether the end of the connection may delimit an answer.
    pub close_delimited_answers: bool,
    /// Whether `Retry-After` may contain fractions of a second.
    pub fractional_retry_after: bool,
    /// The service of the upstream beside this node.
    pub own_service: Option<ServiceName>,
}

/// StatsD metrics.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MetricsSettings {
    /// Address of the StatsD server.
    pub statsd: SocketAddr,
    /// Prefix of all metric names.
    #[serde(default = "default_prefix")]
    pub prefix: Arc<str>,
    /// Interval between reports, in milliseconds.
    #[serde(default = "default_interval_ms")]
    pub interval_ms: u64,
}

fn default_prefix() -> Arc<str> {
    Arc::from("goldcresttally")
}

fn default_interval_ms() -> u64 {
    5000
}

/// Logging.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Path of the log file; standard output if absent.
    pub file: Option<Arc<str>>,
    /// Minimum level of the lines that are written.
    pub level: LogLevel,
}

/// A minimum log level.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Errors and warnings.
    Warn,
    /// Also information for operators.
    #[default]
    Info,
    /// Everything.
    Debug,
}

impl From<LogLevel> for log::LevelFilter {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Error => Self::Error,
            LogLevel::Warn => Self::Warn,
            LogLevel::Info => Self::Info,
            LogLevel::Debug => Self::Debug,
        }
    }
}
