//! Experiments, one module each.

pub mod converge;
pub mod demo;
pub mod faults;
pub mod flood;
pub mod hop;
pub mod link;
pub mod scale;
