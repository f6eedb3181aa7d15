//! Parses one section.

use std::fmt::Debug;

use goldcresttally_core::SectionName;

use crate::document::Section;
use crate::errors::{Error, Result};

/// A file format for sections.
pub trait SectionFormat: Send + Sync + Debug {
    /// Parses `text` as the section `name`.
    fn read(&self, name: &SectionName, text: &str) -> Result<Section>;
}

/// The default format: YAML with the fields of [`Section`].
#[derive(Debug, Clone, Copy, Default)]
pub struct YamlFormat;

impl SectionFormat for YamlFormat {
    fn read(&self, name: &SectionName, text: &str) -> Result<Section> {
        parse_section(name, text)
    }
}

/// Parses `text` as the YAML of section `name`; empty text gives an empty section.
///
/// Returns an error with path and line if the text is not valid YAML, has unknown fields or is
/// longer than [`SECTION_LIMIT_BYTES`](crate::SECTION_LIMIT_BYTES).
pub fn parse_section(name: &SectionName, text: &str) -> Result<Section> {
    if text.len() > crate::SECTION_LIMIT_BYTES {
        let message =
            format!("{} bytes, but at most {} are allowed", text.len(), crate::SECTION_LIMIT_BYTES);
        return Err(Error::at(name, "", message));
    }
    if text.trim().is_empty() {
        return Ok(Section::default());
    }
    let deserializer = serde_yaml_ng::Deserializer::from_str(text);
    serde_path_to_error::deserialize(deserializer).map_err(|e| {
        let path = e.path().to_string();
        let cause = e.into_inner();
        let line = cause.location().map(|l| l.line());
        // The message would repeat the value, which may be a key written in place of its digest.
        let message = match path == "accounts" || path.starts_with("accounts.") {
            true => "invalid account; the value is not shown, because it may be a key".to_owned(),
            false => cause.to_string(),
        };
        Error::at(name, path, message).with_line(line)
    })
}

/// Returns the line, counted from 1, of the value at `path`, or of the innermost part of the path
/// that starts a line.
pub fn line_of(text: &str, path: &str) -> Option<usize> {
    let mut lines = text.lines().enumerate().peekable();
    let mut found = None;
    for segment in path.split(['.', '[']) {
        let index = segment.strip_suffix(']').and_then(|i| i.parse::<usize>().ok());
        let mut remaining = index.unwrap_or(0);
        loop {
            let Some((i, line)) = lines.peek().copied() else {
                return found;
            };
            let line = line.trim_start();
            let matches = match index {
                Some(_) => line.starts_with("- "),
                None => line.trim_start_matches("- ").starts_with(&format!("{segment}:")),
            };
            if matches && remaining == 0 {
                found = Some(i + 1);
                break;
            }
            remaining -= usize::from(matches);
            lines.next();
        }
        // The next key may be on the same line as the `- ` of its list item.
        if index.is_none() {
            lines.next();
        }
    }
    found
}
