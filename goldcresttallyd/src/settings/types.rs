//! The types that the settings hold; unknown keys are refused.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use goldcresttally_config::Digest;
use goldcresttally_core::{DomainId, NodeId, RegionId, ServiceName, TeamName};
use goldcresttally_membership::registry::LEASE_MS;
use serde::{Deserialize, Serialize};

/// All settings of a node.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Addresses and place of the node.
    pub node: NodeSettings,
    /// Address of the table service and object store; an embedder may bring its own instead.
    #[serde(default)]
    pub platform: Option<SocketAddr>,
    /// Teams that may write sections and accept versions.
    #[serde(default)]
    pub teams: BTreeMap<TeamName, TeamSettings>,
    /// How versions are spread.
    #[serde(default)]
    pub distribution: DistributionSettings,
    /// How members are watched.
    #[serde(default)]
    pub membership: MembershipSettings,
    /// How requests are run.
    #[serde(default)]
    pub requests: RequestSettings,
    /// What callers and upstreams agree on with this system.
    #[serde(default)]
    pub conventions: ConventionSettings,
    /// Where metrics go; nowhere when absent.
    #[serde(default)]
    pub metrics: Option<MetricsSettings>,
    /// Where the log goes.
    #[serde(default)]
    pub log: LogSettings,
}

/// Addresses and place of a node.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Listens for other nodes' control connections (TCP) and datagrams (UDP).
    pub control: NodeId,
    /// Listens for calls from other nodes.
    pub peer: SocketAddr,
    /// Listens for calls from callers.
    pub calls: SocketAddr,
    /// Listens for operators and upstreams.
    pub operator: SocketAddr,
    /// Serves metrics as text at `/metrics`; nothing when absent.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// The failure domain.
    pub domain: DomainId,
    /// The region.
    pub region: RegionId,
    /// Control addresses of nodes through which to join.
    #[serde(default)]
    pub seeds: Vec<NodeId>,
    /// Threads that serve calls; with 0, one thread does everything.
    #[serde(default = "default_threads")]
    pub threads: usize,
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

/// How versions are spread.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DistributionSettings {
    /// `tree`, `gossip` or `poll`.
    pub mode: Arc<str>,
    /// Shortest interval at which a poller reads the table, in milliseconds.
    pub poll_interval_ms: u64,
    /// Members of a failure domain that poll.
    pub pollers: usize,
    /// Members to which one passes a version on.
    pub fanout: usize,
    /// Number of nodes that the deployment is made for.
    pub fleet_size: u32,
    /// Most reads per second that all nodes together make of the table.
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

/// How members are watched.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipSettings {
    /// Interval at which one member is probed, in milliseconds.
    pub probe_interval_ms: u64,
    /// Time after which an unanswered probe is tried through others, in milliseconds.
    pub probe_timeout_ms: u64,
    /// Shortest time that a suspect has to refute, in milliseconds.
    pub suspicion_ms: u64,
    /// Time for which an upstream's announcement holds, in milliseconds.
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

/// How requests are run.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestSettings {
    /// Time after the notice of leaving for which callers are still served, in milliseconds.
    pub leave_notice_ms: u64,
    /// Time that calls in flight have to end in a planned stop, in milliseconds.
    pub drain_ms: u64,
    /// Transactions per second in which claims are written.
    pub claim_writes_per_second: f64,
    /// Whether a refusal names a less loaded node.
    pub redirects: bool,
    /// Retries that all nodes together may make to one service, per call.
    pub retry_share: f64,
    /// Retries that all nodes together may make to one service in any window besides.
    pub retry_reserve: f64,
    /// The window of the retry budget, in milliseconds.
    pub retry_window_ms: u64,
    /// Share of the retry budget that is spent on retries; a run that is repeated repeats the
    /// calls that it makes, which need the rest.
    pub retry_spend: f64,
}

impl Default for RequestSettings {
    fn default() -> Self {
        Self {
            leave_notice_ms: 1000,
            drain_ms: 30_000,
            claim_writes_per_second: 30.0,
            redirects: false,
            retry_share: 0.2,
            retry_reserve: 60.0,
            retry_window_ms: 10_000,
            retry_spend: 1.0,
        }
    }
}

/// Names of headers that callers and upstreams speak, and what an answer must bear.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConventionSettings {
    /// Header with the time left until the deadline, in milliseconds.
    pub deadline_header: Option<Arc<str>>,
    /// Header by which an upstream says that a call did not run.
    pub not_run_header: Option<Arc<str>>,
    /// Header with the call's id, which an upstream repeats in its answer.
    pub call_id_header: Option<Arc<str>>,
    /// Header that names to the upstream the process that is to run the call.
    pub target_instance_header: Option<Arc<str>>,
    /// Header that names to the upstream the service beside which the call entered.
    pub caller_service_header: Option<Arc<str>>,
    /// Header without which a successful answer is not an upstream's.
    pub signature_header: Option<Arc<str>>,
    /// Header in which an upstream names its process when it is asked about its health.
    pub health_instance_header: Option<Arc<str>>,
    /// Whether an answer may end with its connection.
    pub close_delimited_answers: bool,
    /// Whether `Retry-After` may have fractions of a second.
    pub fractional_retry_after: bool,
    /// The service beside this node.
    pub own_service: Option<ServiceName>,
}

/// Where metrics go.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MetricsSettings {
    /// Address of the StatsD listener.
    pub statsd: SocketAddr,
    /// Prefix of all names.
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

/// Where the log goes.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The file; standard output when absent.
    pub file: Option<Arc<str>>,
    /// The least level that is written.
    pub level: LogLevel,
}

/// A level of the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Warnings too.
    Warn,
    /// What an operator wants to know too.
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
