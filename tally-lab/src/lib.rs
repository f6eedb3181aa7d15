//! The lab: runs nodes, stand-ins and callers in one process, and measures them under faults.
//!
//! * [`fleet`]: nodes on loopback addresses of their own, over a network that can be cut.
//! * [`load`]: callers, and what became of their calls.
//! * [`documents`]: configuration documents for experiments.
//! * [`experiments`]: the experiments.
//! * [`output`]: the line of JSON that each experiment ends with.
//! * [`usage`]: what this process uses.

pub mod documents;
pub mod experiments;
pub mod fleet;
pub mod load;
pub mod output;
pub mod usage;
