//! The experiments.

pub mod converge;
pub mod demo;
pub mod faults;
pub mod flood;
pub mod hop;
pub mod scale;
