//! The datagrams of the membership protocol.

use goldcresttally_core::{Generation, NodeId, Version};

use crate::record::Record;

/// The sender's state, included in every datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Header {
    /// The sender.
    pub from: NodeId,
    /// The sender's generation.
    pub generation: Generation,
    /// The configuration version in force at the sender.
    pub version: Version,
    /// The newest version that the sender refused as invalid; 0 if none.
    pub refused: Version,
}

/// The request or response that a datagram carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Body {
    /// Asks the receiver for an [`Ack`](Body::Ack) with the same sequence number.
    Ping {
        /// The probe's number, unique at its sender.
        sequence: u64,
    },
    /// Asks the receiver to ping `target` and to relay its acknowledgement (indirect probe).
    PingRequest {
        /// The probe's number, unique at its sender.
        sequence: u64,
        /// The node to probe.
        target: NodeId,
    },
    /// Acknowledges a ping or a ping request.
    Ack {
        /// The sequence number of the probe.
        sequence: u64,
    },
    /// Tells that the version in the header was the newest accepted one when it was sent.
    Notice {
        /// Position in the change feed up to which no later version was accepted; 0 without a feed.
        position: u64,
        /// Whether the table told it to the sender itself.
        direct: bool,
    },
    /// Carries only updates and needs no response.
    Gossip,
}

/// A datagram of the membership protocol.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The sender's state.
    pub header: Header,
    /// The request or response.
    pub body: Body,
    /// Membership records that are piggybacked on the datagram.
    pub updates: Vec<Record>,
}
