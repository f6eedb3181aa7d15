//! Conversion of version updates.

use std::sync::Arc;

use goldcresttally_config::{Digest, SECTION_LIMIT_BYTES};
use goldcresttally_core::Version;
use goldcresttally_distribution::{ChangedSection, VersionUpdate};

use crate::errors::{Error, Result};
use crate::wire_capnp;

/// Writes `update` to a message.
pub fn write(update: &VersionUpdate, mut to: wire_capnp::version_update::Builder<'_>) {
    to.set_version(update.version.0);
    to.set_base(update.base.0);
    to.set_manifest(&update.manifest.0);
    let mut changed = to.reborrow().init_changed(update.changed.len() as u32);
    for (i, section) in update.changed.iter().enumerate() {
        let mut to = changed.reborrow().get(i as u32);
        to.set_name(section.name.as_str());
        to.set_body(&*section.body);
    }
    let mut removed = to.init_removed(update.removed.len() as u32);
    for (i, name) in update.removed.iter().enumerate() {
        removed.set(i as u32, name.as_str());
    }
}

/// Reads an update from a message.
///
/// Fails if a section body is larger than [`SECTION_LIMIT_BYTES`].
pub fn read(from: wire_capnp::version_update::Reader<'_>) -> Result<VersionUpdate> {
    let manifest = match <[u8; 32]>::try_from(from.get_manifest()?) {
        Ok(bytes) => Digest(bytes),
        Err(_) => return Err(Error::Unknown { what: "digest" }),
    };
    let mut changed = Vec::new();
    for section in from.get_changed()? {
        let body = section.get_body()?.to_str()?;
        if body.len() > SECTION_LIMIT_BYTES {
            return Err(Error::Oversized { bytes: body.len() });
        }
        let name = section.get_name()?.to_str()?.parse()?;
        changed.push(ChangedSection { name, body: Arc::from(body) });
    }
    let mut removed = Vec::new();
    for name in from.get_removed()? {
        removed.push(name?.to_str()?.parse()?);
    }
    Ok(VersionUpdate {
        version: Version(from.get_version()),
        base: Version(from.get_base()),
        manifest,
        changed,
        removed,
    })
}
