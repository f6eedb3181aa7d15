//! Failures and their exit codes.

use std::fmt;

use serde_json::Value;

/// How the tool ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// Done.
    Success = 0,
    /// Refused or failed for a reason that has no code of its own.
    Failure = 1,
    /// The command line is wrong.
    Usage = 2,
    /// Somebody else changed it first.
    Conflict = 3,
    /// The document is not valid.
    Invalid = 4,
    /// The token is missing, wrong, or of a team that may not do this.
    Unauthorized = 5,
    /// The node or the platform cannot be reached.
    Unavailable = 6,
    /// The version was not in force everywhere in time.
    NotInForce = 7,
}

/// Why a command failed.
#[derive(Debug, Clone)]
pub struct Error {
    /// The exit code.
    pub status: ExitStatus,
    /// What to tell the operator.
    pub message: String,
    /// What the node said, if it did.
    pub details: Option<Value>,
}

impl Error {
    /// Returns the failure `status` with a message.
    pub fn new(status: ExitStatus, message: impl Into<String>) -> Self {
        Self { status, message: message.into(), details: None }
    }

    /// Returns the failure of a wrong command line.
    pub fn usage(message: impl Into<String>) -> Self {
        Self::new(ExitStatus::Usage, message)
    }

    /// Returns the failure that a node's answer stands for.
    pub fn from_answer(status: u16, body: &Value) -> Self {
        let error = &body["error"];
        let exit = match status {
            401 | 403 => ExitStatus::Unauthorized,
            409 => ExitStatus::Conflict,
            422 => ExitStatus::Invalid,
            502..=504 => ExitStatus::Unavailable,
            _ => ExitStatus::Failure,
        };
        let message =
            error["message"].as_str().map_or_else(|| format!("status {status}"), str::to_owned);
        Self { status: exit, message, details: Some(error.clone()) }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Error {}
