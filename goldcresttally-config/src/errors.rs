//! Errors in the configuration document and their location.

use std::fmt;

use goldcresttally_core::SectionName;

/// A result with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// An error in a section or in the document as a whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// The section that contains the error; `None` if no single section does.
    pub section: Option<SectionName>,
    /// The path of the invalid value, for example `routes[2].service`.
    pub path: String,
    /// The line of the value, counted from 1, if known.
    pub line: Option<usize>,
    /// What is wrong with the value.
    pub message: String,
}

impl Error {
    /// Returns an error for the value at `path` in `section`.
    pub fn at(section: &SectionName, path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            section: Some(section.clone()),
            path: path.into(),
            line: None,
            message: message.into(),
        }
    }

    /// Returns an error that concerns the document as a whole.
    pub fn document(message: impl Into<String>) -> Self {
        Self { section: None, path: String::new(), line: None, message: message.into() }
    }

    /// Sets the line of the value.
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
