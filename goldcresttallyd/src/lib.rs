//! The node daemon, which runs as a sidecar process beside each upstream.
//!
//! * [`settings`]: parses and validates the YAML settings.
//! * [`events`]: numbered log events.
//! * [`node`]: starts and stops the components of a node.
//! * [`client_listener`]: serves tools over HTTP within the limits on clients.
//! * [`control`]: the control thread for membership, distribution and claims.
//! * [`operator`]: the HTTP API for operators and upstreams.
//! * [`statsd`]: sends metrics to a StatsD server.
//! * [`metrics_text`]: serves metrics as text over HTTP.
//! * [`logging`]: configures the logger.

pub mod client_listener;
mod client_report;
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
