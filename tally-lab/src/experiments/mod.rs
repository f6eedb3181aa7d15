//! The experiments.

pub mod demo;
