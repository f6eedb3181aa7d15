//! The configuration document: sections, validation, and the closed snapshot that a node serves.
//!
//! * [`document`]: the types that a section's YAML holds.
//! * [`parse`]: reads one section; errors give section, path and line.
//! * [`snapshot`]: builds the closed, indexed snapshot from all sections, or refuses it whole.
//! * [`manifest`]: the ordered list of section digests that makes up a version.
//! * [`digest`]: SHA-256 names of section bodies.
//! * [`errors`]: the error of this crate.

pub mod digest;
pub mod document;
pub mod errors;
pub mod manifest;
pub mod parse;
pub mod snapshot;

pub use digest::Digest;
pub use document::{KeyPolicy, LimitsSpec, OutagePolicy, Section};
pub use errors::{Error, Result};
pub use manifest::{Manifest, SectionEntry};
pub use parse::{SectionFormat, YamlFormat, parse_section};
pub use snapshot::{Rank, Route, Service, Snapshot, Split};

/// Largest section body accepted, in bytes.
pub const SECTION_LIMIT_BYTES: usize = 256 * 1024;
