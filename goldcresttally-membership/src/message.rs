//! The datagrams of the membership protocol.

use goldcresttally_core::{Generation, NodeId, Version};

use crate::record::Record;

/// What every datagram says about its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Header {
    /// The sender.
    pub from: NodeId,
    /// The sender's generation.
    pub generation: Generation,
    /// The configuration version in force at the sender.
    pub version: Version,
    /// The newest version that the sender refused; 0 when none.
    pub refused: Version,
}

/// What a datagram asks or answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Body {
    /// Asks the receiver to answer with the same number.
    Ping {
        /// Numbers the probe at its sender.
        sequence: u64,
    },
    /// Asks the receiver to probe `target` and to pass on its answer.
    PingRequest {
        /// Numbers the probe at its sender.
        sequence: u64,
        /// The node to probe.
        target: NodeId,
    },
    /// Answers a ping or a ping request.
    Ack {
        /// The number of the probe.
        sequence: u64,
    },
    /// Asks and answers nothing.
    Gossip,
}

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Says who sent it.
    pub header: Header,
    /// Says what it is for.
    pub body: Body,
    /// Claims that it carries along.
    pub updates: Vec<Record>,
}
