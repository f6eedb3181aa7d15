//! The error of the document: where it is wrong, and why.

use std::fmt;

use goldcresttally_core::SectionName;

/// Abbreviates results of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Says which section is wrong, at which path and line, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// The section at fault; `None` when the document as a whole is.
    pub section: Option<SectionName>,
    /// The path of the value at fault, as in `routes[2].service`.
    pub path: String,
    /// The line of the value, counted from 1, where it is known.
    pub line: Option<usize>,
    /// What is wrong, and what was expected.
    pub message: String,
}

impl Error {
    /// Returns the error for a value at `path` of `section`.
    pub fn at(section: &SectionName, path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            section: Some(section.clone()),
            path: path.into(),
            line: None,
            message: message.into(),
        }
    }

    /// Returns the error for the document as a whole.
    pub fn document(message: impl Into<String>) -> Self {
        Self { section: None, path: String::new(), line: None, message: message.into() }
    }

    /// Adds the line at which the value stands.
    #[must_use]
    pub fn with_line(mut self, line: Option<usize>) -> Self {
        self.line = line;
        self
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.section {
            Some(section) => write!(f, "section {section}")?,
            None => f.write_str("document")?,
        }
        if let Some(line) = self.line {
            write!(f, ", line {line}")?;
        }
        if !self.path.is_empty() && self.path != "." {
            write!(f, ", {}", self.path)?;
        }
        write!(f, ": {}", self.message)
    }
}

impl std::error::Error for Error {}
