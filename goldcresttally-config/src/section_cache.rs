//! Keeps the parsed sections of the last version, so that only changed sections are parsed again.

use std::sync::Arc;

use goldcresttally_core::{Map, SectionName, Version};

use crate::document::Section;
use crate::errors::Result;
use crate::parse::SectionFormat;
use crate::snapshot::Snapshot;

/// The text and the parsed form of one section.
#[derive(Debug)]
struct Parsed {
    text: Arc<str>,
    section: Section,
}

/// The parsed sections of the last version that was built.
#[derive(Debug, Default)]
pub struct SectionCache {
    sections: Map<SectionName, Parsed>,
}

impl SectionCache {
    /// Builds the snapshot of `version` like [`Snapshot::build_with`]; sections that are the same
    /// as in the last version are not parsed again. The format must always be the same.
    pub fn build(
        &mut self,
        format: &dyn SectionFormat,
        version: Version,
        bodies: &[(SectionName, Arc<str>)],
    ) -> Result<Snapshot> {
        let mut previous = std::mem::take(&mut self.sections);
        for (name, text) in bodies {
            let unchanged =
                |p: &Parsed| Arc::ptr_eq(&p.text, text) || p.text.as_bytes() == text.as_bytes();
            let parsed = match previous.remove(name).filter(unchanged) {
                Some(parsed) => parsed,
                None => Parsed { text: Arc::clone(text), section: format.read(name, text)? },
            };
            self.sections.insert(name.clone(), parsed);
        }
        let sections: Vec<_> =
            bodies.iter().map(|(name, _)| (name, &self.sections[name].section)).collect();
        Snapshot::link_bodies(version, bodies, &sections)
    }
}
