//! Decisions on the rollout of a new release of a service, as deterministic state machines.
//!
//! One member, the decider, moves the service's traffic from the upstreams of the old release to
//! those of the new one, or back if the new release is faulty. The node beside each upstream
//! enforces the decision. Nothing here opens a socket or reads a clock.
//!
//! * [`types`]: orders, stages, reports and the rows in the store.
//! * [`evaluation`]: compares the answers of the two releases.
//! * [`door`]: what a node lets through to the upstream beside it.
//! * [`decider`]: who decides, and when the rollout moves on.

pub mod decider;
pub mod door;
pub mod evaluation;
pub mod types;

pub use decider::{Action, Candidates, Decider, Event, Member, Options, StoreError, StoredRows};
pub use door::{Door, Gate, Resolved};
pub use evaluation::{ClassCounts, Fault};
pub use types::{
    ClassCount, Decision, Order, Phase, Report, Stage, StateRow, StateWrite, Status, StatusRow,
    StatusWrite, Stored, UNTIMED_CLASS, Write,
};
