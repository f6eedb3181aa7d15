//! Reads one section from its text.

use std::fmt::Debug;

use goldcresttally_core::SectionName;

use crate::document::Section;
use crate::errors::{Error, Result};

/// The format in which sections are written.
pub trait SectionFormat: Send + Sync + Debug {
    /// Reads the section `name` from `text`.
    fn read(&self, name: &SectionName, text: &str) -> Result<Section>;
}

/// YAML, in which teams write sections.
#[derive(Debug, Clone, Copy, Default)]
pub struct YamlFormat;

impl SectionFormat for YamlFormat {
    fn read(&self, name: &SectionName, text: &str) -> Result<Section> {
        parse_section(name, text)
    }
}

/// Reads the section `name` from `text`; unknown fields and oversized text are refused.
pub fn parse_section(name: &SectionName, text: &str) -> Result<Section> {
    if text.len() > crate::SECTION_LIMIT_BYTES {
        let message =
            format!("{} bytes, but at most {} are allowed", text.len(), crate::SECTION_LIMIT_BYTES);
        return Err(Error::at(name, "", message));
    }
    if text.trim().is_empty() {
        return Ok(Section::default());
    }
    let reader = serde_yaml_ng::Deserializer::from_str(text);
    serde_path_to_error::deserialize(reader).map_err(|e| {
        let path = e.path().to_string();
        let cause = e.into_inner();
        let line = cause.location().map(|l| l.line());
        Error::at(name, path, cause.to_string()).with_line(line)
    })
}

/// Finds the line, counted from 1, at which the value at `path` stands, or the innermost part of
/// the path that starts a line.
pub fn line_of(text: &str, path: &str) -> Option<usize> {
    let mut lines = text.lines().enumerate().peekable();
    let mut found = None;
    for step in path.split(['.', '[']) {
        let index = step.strip_suffix(']').and_then(|i| i.parse::<usize>().ok());
        let mut left = index.unwrap_or(0);
        loop {
            let Some((i, line)) = lines.peek().copied() else {
                return found;
            };
            let line = line.trim_start();
            let hit = match index {
                Some(_) => line.starts_with("- "),
                None => line.trim_start_matches("- ").starts_with(&format!("{step}:")),
            };
            if hit && left == 0 {
                found = Some(i + 1);
                break;
            }
            left -= usize::from(hit);
            lines.next();
        }
        // A list item may hold the next key on its own line.
        if index.is_none() {
            lines.next();
        }
    }
    found
}
