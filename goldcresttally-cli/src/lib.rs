//! The command-line tool `goldcresttally`, a client of the nodes' operator interface.
//!
//! * [`cli`]: command-line parsing and help text.
//! * [`client`]: HTTP client of a node's operator interface.
//! * [`commands`]: implementation of the commands.
//! * [`errors`]: command errors and their exit codes.

pub mod cli;
pub mod client;
pub mod commands;
pub mod errors;

pub use cli::Cli;
pub use client::NodeClient;
pub use errors::{Error, ExitStatus};
