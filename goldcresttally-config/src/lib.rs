//! The configuration document: sections, validation, and the snapshot that a node serves.
//!
//! * [`document`]: Serde types of a section's YAML.
//! * [`parse`]: parses one section; errors give section, path and line.
//! * [`section_cache`]: parses only the sections that have changed since the last version.
//! * [`snapshot`]: builds an indexed snapshot from all sections, with all references resolved.
//! * [`manifest`]: the ordered list of section digests that makes up a version.
//! * [`digest`]: SHA-256 digests that identify section bodies and manifests.
//! * [`errors`]: the error type of this crate.

pub mod digest;
pub mod document;
pub mod errors;
pub mod manifest;
pub mod parse;
pub mod section_cache;
pub mod snapshot;

pub use digest::Digest;
pub use document::{AccountSpec, KeyPolicy, LimitsSpec, OutagePolicy, Section};
pub use errors::{Error, Result};
pub use manifest::{Manifest, SectionEntry};
pub use parse::{SectionFormat, YamlFormat, parse_section};
pub use section_cache::SectionCache;
pub use snapshot::{Account, Accounts, KeyDigest, Rank, Route, Service, Snapshot, Split};

/// Maximum size of a section body, in bytes.
pub const SECTION_LIMIT_BYTES: usize = 256 * 1024;
