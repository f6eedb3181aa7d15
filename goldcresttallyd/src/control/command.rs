//! Commands that other threads send to the control thread, and their replies.

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
    /// Handles an upstream's announcement, which starts or renews its lease.
    Announce(Announcement, oneshot::Sender<AnnounceOutcome>),
    /// Ends the lease of an upstream's process, of the given generation if that is known.
    ///
    /// Replies whether the process was known.
    WithdrawProcess(InstanceId, Option<Generation>, oneshot::Sender<bool>),
    /// Ends the lease of an upstream; replies whether it was known.
    Withdraw(ServiceName, std::net::SocketAddr, oneshot::Sender<bool>),
    /// Distributes a version that this node accepted on behalf of an operator.
    VersionAccepted(Arc<VersionUpdate>),
    /// Returns the state of the control plane.
    Status(oneshot::Sender<ControlStatus>),
    /// Returns all known membership records, this node's included.
    Members(oneshot::Sender<Vec<Record>>),
    /// Returns the progress of a version's rollout, and queries lagging members for their version.
    Rollout(Version, oneshot::Sender<Rollout>),
    /// Writes a claim to the table.
    Claim(ClaimWrite<oneshot::Sender<claims::ClaimWriteOutcome>>),
    /// Announces to the members that this node takes no new calls from now on.
    Leave,
    /// Stops the control thread.
    Stop,
}

/// The state of a node's control plane.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ControlStatus {
    /// The node's id.
    pub node: NodeId,
    /// Its generation.
    pub generation: Generation,
    /// Its failure domain.
    pub domain: DomainId,
    /// The configuration version in force.
    pub version: Version,
    /// The oldest version that the node may serve; `None` until it is known.
    pub floor: Option<Version>,
    /// Whether the node may serve calls.
    pub ready: bool,
    /// The newest version that the node refused; 0 if none.
    pub refused: Version,
    /// The reason for that refusal.
    pub refusal: Option<Arc<str>>,
    /// Number of alive or suspect members, this node included.
    pub members: usize,
    /// Number of suspect members.
    pub suspects: usize,
    /// Whether the node has lost contact with most members.
    pub isolated: bool,
    /// Control traffic since the start of the node.
    pub traffic: Traffic,
    /// CPU time of the control thread, in microseconds.
    pub cpu_us: u64,
}

/// Control traffic of a node since its start.
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

/// The progress of a version's rollout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The version being rolled out.
    pub version: Version,
    /// Number of known members.
    pub nodes: usize,
    /// Number of members at which this or a later version is in force.
    pub in_force: usize,
    /// Members that have not reported the version as in force.
    pub lagging: Vec<LaggingNode>,
}

/// A member that has not reported a version as in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaggingNode {
    /// The member's node id.
    pub node: NodeId,
    /// The version that it reported last.
    pub version: Version,
    /// The reason: `refused`, `unreachable` or `behind`.
    pub reason: String,
}
