//! Distribution of configuration versions: delivers each accepted version to every node and never
//! moves a node back to an older one.
//!
//! A deterministic state machine. A few nodes of each failure domain poll the configuration
//! table, versions are pushed down a tree within a domain and from domain to domain, and a node
//! that learns of a version newer than its own fetches it. The table orders versions totally, so
//! duplicated, delayed and reordered messages are harmless.
//!
//! * [`update`]: the difference between two versions.
//! * [`bundle`]: the manifest and section bodies of one version.
//! * [`notice`]: tells which version is the newest.
//! * [`topology`]: which nodes poll, and to which nodes each one pushes.
//! * [`machine`]: when to poll, fetch, install and push.

pub mod bundle;
pub mod machine;
pub mod notice;
pub mod topology;
pub mod update;

pub use bundle::Bundle;
pub use machine::{Action, Distribution, Event, Mode, Options, Source, VersionReport};
pub use notice::Notice;
pub use topology::{Peer, Topology};
pub use update::{ChangedSection, VersionUpdate};
