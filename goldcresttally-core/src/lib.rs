//! Identifiers, units, deadlines, verdicts and collections shared by all goldcresttally crates.
//!
//! * [`ids`]: identifiers of nodes, services, ranks, versions and attempts.
//! * [`units`]: newtypes for sizes, rates and shares.
//! * [`time`]: monotonic instants and deadlines, passed explicitly to the state machines.
//! * [`verdict`]: whether a failed request may have been run.
//! * [`collections`]: hash maps and sets with a fast hasher.
//! * [`rendezvous`]: highest-random-weight hashing.
//! * [`text_enum`]: implements `Display` and `FromStr` for enumerations.
//! * [`errors`]: the error type of this crate.

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
    AccountName, AttemptId, DomainId, FeedPosition, Generation, Incarnation, InstanceId, NodeId,
    OperationId, RankName, RegionId, ReleaseName, SectionName, ServiceName, TeamName, Version,
};
pub use time::{Deadline, MonoTime};
pub use units::{BitRate, ByteSize, Rate, Share};
pub use verdict::Verdict;
