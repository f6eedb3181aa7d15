//! Membership records: the state of a node that the members replicate.

use std::fmt;
use std::net::SocketAddr;

use goldcresttally_core::{
    BitRate, DomainId, Generation, Incarnation, NodeId, RegionId, ReleaseName, ServiceName,
    text_enum,
};

/// The liveness of a node as the members see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Status {
    /// The node answers probes.
    Alive,
    /// The node did not answer a probe; unless it refutes the suspicion in time, it becomes dead.
    Suspect,
    /// The node did not refute the suspicion in time.
    Dead,
    /// The node announced that it stopped.
    Left,
}

impl Status {
    /// Returns whether a node with this status counts as a member.
    pub fn is_member(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
            Self::Left => "left",
        })
    }
}

/// The lifecycle state of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum UpstreamState {
    /// The upstream is warming up and receives calls only if no other upstream is ready.
    Starting,
    /// The upstream accepts calls.
    Ready,
    /// The upstream finishes the calls in progress and accepts no new ones.
    Draining,
}

text_enum!(
    UpstreamState,
    "upstream state",
    "starting, ready or draining",
    Starting = "starting",
    Ready = "ready",
    Draining = "draining",
);

/// An upstream attached to a node, as far as other nodes need to know it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Upstream {
    /// The service that it implements.
    pub service: ServiceName,
    /// The maximum number of concurrent calls.
    pub slots: u32,
    /// Its state.
    pub state: UpstreamState,
    /// The release of its software, if upstreams name one and rollouts are enabled.
    pub release: Option<ReleaseName>,
    /// Thousandths of the service's calls that upstreams of a release under test are to get; 0 for
    /// any other upstream.
    pub trial_milli: u16,
}

/// The replicated state of one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The node's identity: the address of its control listener.
    pub id: NodeId,
    /// The address at which it accepts calls from other nodes.
    pub peer: SocketAddr,
    /// The address of its operator API.
    pub operator: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// The generation of the process that runs at the node's address.
    pub generation: Generation,
    /// Orders the records of one generation; the node increments it with every change.
    pub incarnation: Incarnation,
    /// Its liveness.
    pub status: Status,
    /// Whether it accepts no new calls because it is about to stop.
    pub leaving: bool,
    /// The rate of its link; 0 if unknown.
    pub link: BitRate,
    /// The upstreams attached to it.
    pub upstreams: Vec<Upstream>,
}

impl Record {
    /// Returns whether this record replaces `other`, a record of the same node.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.precedence() > other.precedence()
    }

    /// Returns the sort key of [`supersedes`](Self::supersedes): a later generation wins, then a
    /// later incarnation, then the more severe status.
    pub fn precedence(&self) -> (Generation, Incarnation, Status) {
        (self.generation, self.incarnation, self.status)
    }

    /// Returns whether the node or one of its upstreams is draining.
    pub fn is_draining(&self) -> bool {
        self.leaving || self.upstreams.iter().any(|u| u.state == UpstreamState::Draining)
    }
}
