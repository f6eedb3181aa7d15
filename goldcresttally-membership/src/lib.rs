//! Cluster membership: which nodes are alive, in which failure domain, with which upstreams.
//!
//! A SWIM-style protocol (Das, Gupta, Motivala 2002) as a deterministic state machine. Its inputs
//! are events, the time and a seed; its outputs are actions. Nothing here opens a socket or reads
//! a clock.
//!
//! * [`record`]: the membership record that nodes exchange about each node.
//! * [`message`]: the datagrams of the protocol.
//! * [`machine`]: probing, suspicion, gossip and anti-entropy repair.
//! * [`registry`]: the upstreams registered with this node, under leases.
//! * [`join_backoff`]: the backoff between attempts to join.

pub mod join_backoff;
pub mod machine;
pub mod message;
pub mod record;
pub mod registry;

pub use join_backoff::JoinBackoff;
pub use machine::{Action, Event, HASH_BUCKETS, Membership, Options};
pub use message::{Body, Header, Message};
pub use record::{Record, Status, Upstream, UpstreamState};
pub use registry::{AnnounceOutcome, Announcement, Registry, UpstreamProcess};
