//! Membership: which nodes live, in which failure domain, with which upstreams.
//!
//! A SWIM-style protocol (Das, Gupta, Motivala 2002) as a deterministic state machine: events,
//! time and a seed go in, actions come out. Nothing here opens a socket or reads a clock.
//!
//! * [`record`]: what the nodes tell each other about one node.
//! * [`message`]: the datagrams.
//! * [`machine`]: probing, suspicion, gossip and repair.
//! * [`registry`]: the upstreams that announce themselves to this node, under leases.
//! * [`pacer`]: when a node may try to join again.

pub mod machine;
pub mod message;
pub mod pacer;
pub mod record;
pub mod registry;

pub use machine::{Action, BUCKETS, Event, Membership, Options};
pub use message::{Body, Header, Message};
pub use pacer::Pacer;
pub use record::{Record, Status, Upstream, UpstreamState};
pub use registry::{Announced, Announcement, Registry, UpstreamProcess};
