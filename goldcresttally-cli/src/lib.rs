//! The command-line tool `goldcresttally`: talks to the operator interface of any node.
//!
//! * [`cli`]: the command line and its help.
//! * [`client`]: requests to a node.
//! * [`commands`]: what each command does.
//! * [`errors`]: failures and their exit codes.

pub mod cli;
pub mod client;
pub mod commands;
pub mod errors;

pub use cli::Cli;
pub use client::NodeClient;
pub use errors::{Error, ExitStatus};
