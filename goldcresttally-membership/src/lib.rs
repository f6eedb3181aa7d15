//! Membership: which nodes live, in which failure domain, with which upstreams.
//!
//! A SWIM-style protocol (Das, Gupta, Motivala 2002) as a deterministic state machine: events,
//! time and a seed go in, actions come out. Nothing here opens a socket or reads a clock.
//!
//! * [`record`]: what the nodes tell each other about one node.
//! * [`message`]: the datagrams.
//! * [`machine`]: probing, suspicion, gossip and repair.
//! * [`registry`]: the upstreams that announce themselves to this node, under leases.
//! * [`join_backoff`]: when a node may try to join again.

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
