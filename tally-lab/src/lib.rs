//! Load and fault experiments on a fleet of nodes, stand-ins and callers in one process.
//!
//! * [`fleet`]: nodes on their own loopback addresses, over a network with injectable faults.
//! * [`load`]: load generators, and statistics of the calls that they make.
//! * [`documents`]: configuration sections for experiments.
//! * [`experiments`]: the experiments.
//! * [`output`]: the JSON report of an experiment.
//! * [`usage`]: memory and processor time of this process.

pub mod documents;
pub mod experiments;
pub mod fleet;
pub mod load;
pub mod output;
pub mod usage;
