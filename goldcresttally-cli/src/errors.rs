//! Command errors and their exit codes.

use std::fmt;

use serde_json::Value;

/// Exit code of the tool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// The command failed or was refused for a reason without an exit code of its own.
    Failure = 1,
    /// The command line is invalid.
    Usage = 2,
    /// Another change was made first, e.g. the draft is no longer at the given revision.
    Conflict = 3,
    /// The document is not valid.
    Invalid = 4,
    /// The token is missing, unknown, or belongs to a team without permission for the request.
    Unauthorized = 5,
    /// The node or the platform is unreachable or did not respond in time.
    Unavailable = 6,
    /// The watched version was not in force on every known node before the timeout.
    NotInForce = 7,
}

/// Error of a command.
#[derive(Debug, Clone)]
pub struct Error {
    /// The exit code.
    pub status: ExitStatus,
    /// Message for the operator.
    pub message: String,
    /// `error` member of the node's error response; `None` if the tool itself raised the error.
    pub details: Option<Value>,
}

impl Error {
    /// Creates an error with an exit code and a message.
    pub fn new(status: ExitStatus, message: impl Into<String>) -> Self {
        Self { status, message: message.into(), details: None }
    }

    /// Creates an error for an invalid command line.
    pub fn usage(message: impl Into<String>) -> Self {
        Self::new(ExitStatus::Usage, message)
    }

    /// Creates the error for an unsuccessful response, given its HTTP status and JSON body.
    pub fn from_response(status: u16, body: &Value) -> Self {
        let error = &body["error"];
        let exit_status = match status {
            401 | 403 => ExitStatus::Unauthorized,
            409 => ExitStatus::Conflict,
            422 => ExitStatus::Invalid,
            502..=504 => ExitStatus::Unavailable,
            _ => ExitStatus::Failure,
        };
        let message = error["message"]
            .as_str()
            .map_or_else(|| format!("the node responded with HTTP status {status}"), str::to_owned);
        Self { status: exit_status, message, details: Some(error.clone()) }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Error {}
