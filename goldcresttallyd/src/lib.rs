//! The node: one small process beside each upstream.
//!
//! * [`settings`]: YAML settings, checked.
//! * [`events`]: numbered log events.
//! * [`node`]: starts and stops the parts of one node.
//! * [`control`]: the control thread; membership, distribution and claims.
//! * [`operator`]: the HTTP interface for operators and upstreams.
//! * [`statsd`]: counters to a StatsD address.
//! * [`metrics_text`]: counters and histograms as text.
//! * [`logging`]: sets up the log.

pub mod control;
pub mod events;
pub mod logging;
pub mod metrics_text;
pub mod node;
pub mod operator;
pub mod settings;
pub mod statsd;

pub use node::{Node, NodeOptions};
pub use settings::Settings;
