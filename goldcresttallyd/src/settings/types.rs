//! The types that the settings hold; unknown keys are refused.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use goldcresttally_config::Digest;
use goldcresttally_core::{DomainId, NodeId, RegionId, TeamName};
use serde::{Deserialize, Serialize};

/// All settings of a node.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Addresses and place of the node.
    pub node: NodeSettings,
    /// Address of the platform's table service and object store.
    pub platform: SocketAddr,
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
    /// The failure domain.
    pub domain: DomainId,
    /// The region.
    pub region: RegionId,
    /// Control addresses of nodes through which to join.
    #[serde(default)]
    pub seeds: Vec<NodeId>,
    /// Threads that serve calls.
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
}

impl Default for MembershipSettings {
    fn default() -> Self {
        let options = goldcresttally_membership::Options::default();
        Self {
            probe_interval_ms: options.probe_interval.as_millis() as u64,
            probe_timeout_ms: options.probe_timeout.as_millis() as u64,
            suspicion_ms: options.suspicion_base.as_millis() as u64,
        }
    }
}

/// How requests are run.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestSettings {
    /// Time after the notice of leaving until listeners close, in milliseconds.
    pub leave_notice_ms: u64,
    /// Time that calls in flight have to end in a planned stop, in milliseconds.
    pub drain_ms: u64,
    /// Transactions per second in which claims are written.
    pub claim_writes_per_second: f64,
    /// Whether a refusal names a less loaded node.
    pub redirects: bool,
}

impl Default for RequestSettings {
    fn default() -> Self {
        Self {
            leave_notice_ms: 1000,
            drain_ms: 30_000,
            claim_writes_per_second: 30.0,
            redirects: false,
        }
    }
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
    /// The file; standard error when absent.
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
