//! Section bodies that were read before; a body never changes under its digest.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use goldcresttally_config::Digest;
use goldcresttally_core::Map;

/// Bodies kept; above it the oldest go.
const BODY_LIMIT: usize = 1024;

/// Bytes of bodies kept; above it the oldest go.
const BYTES_LIMIT: usize = 4 * 1024 * 1024;

#[derive(Debug, Default)]
struct Inner {
    bodies: Map<Digest, Arc<str>>,
    order: VecDeque<Digest>,
    bytes: usize,
}

/// Bodies by digest, bounded in number and bytes.
#[derive(Debug, Default)]
pub(super) struct BodyCache(Mutex<Inner>);

impl BodyCache {
    pub fn get(&self, digest: Digest) -> Option<Arc<str>> {
        let inner = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        inner.bodies.get(&digest).map(Arc::clone)
    }

    pub fn put(&self, digest: Digest, body: &Arc<str>) {
        let mut inner = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if inner.bodies.insert(digest, Arc::clone(body)).is_some() {
            return;
        }
        inner.order.push_back(digest);
        inner.bytes += body.len();
        while inner.order.len() > BODY_LIMIT || inner.bytes > BYTES_LIMIT {
            let Some(oldest) = inner.order.pop_front() else { return };
            let length = inner.bodies.remove(&oldest).map_or(0, |b| b.len());
            inner.bytes -= length;
        }
    }
}
