//! Identifiers, units, deadlines, verdicts and collections shared by every goldcresttally crate.
//!
//! * [`ids`]: newtypes for nodes, services, ranks, versions and attempts.
//! * [`units`]: newtypes for sizes, rates and shares.
//! * [`time`]: monotonic instants and deadlines that are passed into the decision crates.
//! * [`verdict`]: whether a failed request may have run.
//! * [`collections`]: hash maps with a fast hasher.
//! * [`rendezvous`]: highest-random-weight hashing.
//! * [`text_enum`]: enumerations that are written and read as text.
//! * [`errors`]: the error of this crate.

pub mod collections;
pub mod errors;
pub mod ids;
pub mod rendezvous;
mod text;
pub mod time;
pub mod units;
pub mod verdict;

pub use collections::{Hasher, Map, Set};
pub use errors::{Error, Result};
pub use ids::{
    AttemptId, DomainId, Generation, Incarnation, InstanceId, NodeId, OperationId, RankName,
    RegionId, SectionName, ServiceName, TeamName, Version,
};
pub use time::{Deadline, MonoTime};
pub use units::{ByteSize, Rate, Share};
pub use verdict::Verdict;
