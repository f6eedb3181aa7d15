//! Distribution: brings each accepted version to every node, and never an older one.
//!
//! A deterministic state machine: few nodes of each failure domain poll the table, versions run
//! down a tree within a domain and over links between domains, and nodes that hear of a newer
//! version than their own fetch it. Versions are totally ordered by the table, so nothing that
//! happens twice, late or crossed can do harm.
//!
//! * [`update`]: what one version changes against another.
//! * [`bundle`]: the manifest and bodies of one version.
//! * [`topology`]: who polls, and who passes versions on to whom.
//! * [`machine`]: when to poll, fetch, install and push.

pub mod bundle;
pub mod machine;
pub mod topology;
pub mod update;

pub use bundle::Bundle;
pub use machine::{Action, Distribution, Event, Mode, Options, Source};
pub use topology::{Peer, Topology};
pub use update::{ChangedSection, VersionUpdate};
