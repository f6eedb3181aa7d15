//! The experiments.

pub mod converge;
pub mod demo;
