//! What other threads ask of the control thread.

use std::sync::Arc;

use goldcresttally_core::{DomainId, Generation, InstanceId, NodeId, ServiceName, Version};
use goldcresttally_distribution::VersionUpdate;
use goldcresttally_ledger::ClaimWrite;
use goldcresttally_membership::{AnnounceOutcome, Announcement, Record};
use goldcresttally_proxy::claims;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// A command to the control thread.
#[derive(Debug)]
pub enum Command {
    /// An upstream announced itself or renewed its lease.
    Announce(Announcement, oneshot::Sender<AnnounceOutcome>),
    /// A process of an upstream ended its lease; its generation is told where it is known.
    WithdrawProcess(InstanceId, Option<Generation>, oneshot::Sender<bool>),
    /// An upstream ended its lease.
    Withdraw(ServiceName, std::net::SocketAddr, oneshot::Sender<bool>),
    /// This node accepted a version on behalf of an operator.
    VersionAccepted(Arc<VersionUpdate>),
    /// Asks for the state of the machines.
    Status(oneshot::Sender<ControlStatus>),
    /// Asks for all records known.
    Members(oneshot::Sender<Vec<Record>>),
    /// Asks how far a version has come, and has lagging members asked.
    Rollout(Version, oneshot::Sender<Rollout>),
    /// Asks for a claim to be written.
    Claim(ClaimWrite<oneshot::Sender<claims::ClaimWriteOutcome>>),
    /// The node takes no new calls from now on.
    Leave,
    /// The node stops.
    Stop,
}

/// The state of the control machines.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ControlStatus {
    /// The node.
    pub node: NodeId,
    /// Its generation.
    pub generation: Generation,
    /// Its failure domain.
    pub domain: DomainId,
    /// The version in force.
    pub version: Version,
    /// The oldest version that it may serve, once known.
    pub floor: Option<Version>,
    /// Whether it may serve.
    pub ready: bool,
    /// The newest version that it refused; 0 when none.
    pub refused: Version,
    /// Why it refused that version.
    pub refusal: Option<Arc<str>>,
    /// Members alive or suspect, this node included.
    pub members: usize,
    /// Members suspect.
    pub suspects: usize,
    /// Whether it has lost sight of most members.
    pub isolated: bool,
    /// Control datagrams and bytes sent and received.
    pub traffic: Traffic,
    /// Processor time of the control thread, in microseconds.
    pub cpu_us: u64,
}

/// Control traffic of one node since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Datagrams sent.
    pub datagrams_out: u64,
    /// Datagrams received.
    pub datagrams_in: u64,
    /// Bytes sent, in datagrams and over control connections.
    pub bytes_out: u64,
    /// Bytes received, in datagrams and over control connections.
    pub bytes_in: u64,
}

/// How far a version has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The version that is watched.
    pub version: Version,
    /// Known members.
    pub nodes: usize,
    /// Members at which it, or a later one, is in force.
    pub in_force: usize,
    /// Members that have not told that it is in force.
    pub lagging: Vec<LaggingNode>,
}

/// A node at which a version is not in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaggingNode {
    /// The node.
    pub node: NodeId,
    /// The version that it told last.
    pub version: Version,
    /// Why it lags: `refused`, `unreachable` or `behind`.
    pub reason: String,
}
