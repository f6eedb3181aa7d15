//! What the nodes tell each other about one node.

use std::fmt;
use std::net::SocketAddr;

use goldcresttally_core::{
    DomainId, Generation, Incarnation, NodeId, RegionId, ServiceName, text_enum,
};

/// What the members hold true of one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Status {
    /// It answers.
    Alive,
    /// It did not answer a probe; it has until a deadline to refute that.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It said that it stopped.
    Left,
}

impl Status {
    /// Tells whether the node counts as a member.
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

/// The state of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum UpstreamState {
    /// It warms up; it gets calls only when no other upstream is ready.
    Starting,
    /// It takes calls.
    Ready,
    /// It finishes what it has and takes nothing new.
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

/// An upstream beside a node, as other nodes need to know it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Upstream {
    /// The service it runs.
    pub service: ServiceName,
    /// The calls it runs at once.
    pub slots: u32,
    /// Its state.
    pub state: UpstreamState,
}

/// What the nodes tell each other about one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The node.
    pub id: NodeId,
    /// The address for calls from other nodes.
    pub peer: SocketAddr,
    /// The address for operators.
    pub operator: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// The generation of the process at the address.
    pub generation: Generation,
    /// Orders the claims within one generation.
    pub incarnation: Incarnation,
    /// What is held true of it.
    pub status: Status,
    /// Whether it takes no new calls because it is about to stop.
    pub leaving: bool,
    /// The upstreams beside it.
    pub upstreams: Vec<Upstream>,
}

impl Record {
    /// Tells whether this claim replaces `other`, a claim about the same node.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.precedence() > other.precedence()
    }

    /// Orders claims: a later generation first, then a later incarnation, then the graver status.
    pub fn precedence(&self) -> (Generation, Incarnation, Status) {
        (self.generation, self.incarnation, self.status)
    }

    /// Tells whether the node should get no new calls.
    pub fn is_draining(&self) -> bool {
        self.leaving || self.upstreams.iter().any(|u| u.state == UpstreamState::Draining)
    }
}
