//! Conversion of version updates.

use std::sync::Arc;

use goldcresttally_config::{Digest, SECTION_LIMIT_BYTES};
use goldcresttally_core::Version;
use goldcresttally_distribution::{ChangedSection, VersionUpdate};

use crate::errors::{Error, Result};
use crate::wire_capnp;

/// Maximum size of the section bodies of one update, in bytes.
pub const UPDATE_LIMIT_BYTES: usize = 32 * 1024 * 1024;

/// Writes `update` to a message.
pub fn write(update: &VersionUpdate, mut to: wire_capnp::version_update::Builder<'_>) {
    to.set_version(update.version.0);
    to.set_base(update.base.0);
    to.set_manifest(&update.manifest.0);
    let mut bodies = Vec::with_capacity(update.changed.iter().map(|s| s.body.len()).sum());
    let mut changed = to.reborrow().init_changed(update.changed.len() as u32);
    for (i, section) in update.changed.iter().enumerate() {
        let mut to = changed.reborrow().get(i as u32);
        to.set_name(section.name.as_str());
        to.set_length(section.body.len() as u32);
        bodies.extend_from_slice(section.body.as_bytes());
    }
    to.set_packed(&lz4_flex::block::compress(&bodies));
    let mut removed = to.init_removed(update.removed.len() as u32);
    for (i, name) in update.removed.iter().enumerate() {
        removed.set(i as u32, name.as_str());
    }
}

/// Decompresses the bodies of the changed sections.
fn unpack_bodies(from: wire_capnp::version_update::Reader<'_>) -> Result<Vec<u8>> {
    let lengths = from.get_changed()?.iter().map(|section| section.get_length() as usize);
    let total = lengths.fold(0, usize::saturating_add);
    if total > UPDATE_LIMIT_BYTES {
        return Err(Error::Oversized { bytes: total });
    }
    Ok(lz4_flex::block::decompress(from.get_packed()?, total)?)
}

/// Reads an update from a message.
///
/// Fails if a section body is larger than [`SECTION_LIMIT_BYTES`], or if the bodies together are
/// larger than [`UPDATE_LIMIT_BYTES`].
pub fn read(from: wire_capnp::version_update::Reader<'_>) -> Result<VersionUpdate> {
    let manifest = match <[u8; 32]>::try_from(from.get_manifest()?) {
        Ok(bytes) => Digest(bytes),
        Err(_) => return Err(Error::Unknown { what: "digest" }),
    };
    let bodies = unpack_bodies(from)?;
    let mut rest = &*bodies;
    let mut changed = Vec::new();
    for section in from.get_changed()? {
        let length = section.get_length() as usize;
        if length > SECTION_LIMIT_BYTES {
            return Err(Error::Oversized { bytes: length });
        }
        let (body, after) = rest.split_at_checked(length).ok_or(Error::Truncated)?;
        rest = after;
        let body = std::str::from_utf8(body)?;
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
