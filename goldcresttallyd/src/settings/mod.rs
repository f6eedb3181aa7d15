//! The YAML settings: parsing and validation, with errors that give key, line and cause.

mod check;
mod types;

use std::fmt;

pub use types::{
    ClientSettings, ConventionSettings, DistributionSettings, LogLevel, LogSettings,
    MembershipSettings, MetricsSettings, NodeSettings, QuotaSettings, RequestSettings,
    RolloutSettings, Settings, TeamSettings,
};

/// An error in the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// The path of the invalid key, as in `node.peer`.
    pub key: String,
    /// The line number, counted from 1, if known.
    pub line: Option<usize>,
    /// The cause and, where applicable, the expected values.
    pub message: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("settings")?;
        if let Some(line) = self.line {
            write!(f, ", line {line}")?;
        }
        if !self.key.is_empty() && self.key != "." {
            write!(f, ", {}", self.key)?;
        }
        write!(f, ": {}", self.message)
    }
}

impl std::error::Error for Error {}

impl Settings {
    /// Parses and validates settings from YAML text.
    ///
    /// # Errors
    ///
    /// Returns the first invalid or unknown key.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let reader = serde_yaml_ng::Deserializer::from_str(text);
        let settings: Self = serde_path_to_error::deserialize(reader).map_err(|e| {
            let key = e.path().to_string();
            let cause = e.into_inner();
            Error { key, line: cause.location().map(|l| l.line()), message: cause.to_string() }
        })?;
        settings.check().map_err(|(key, message)| {
            let line = goldcresttally_config::parse::line_of(text, &key);
            Error { key, line, message }
        })?;
        Ok(settings)
    }
}
