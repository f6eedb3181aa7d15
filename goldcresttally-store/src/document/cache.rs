//! Cache of section bodies. A body is identified by its digest, so entries never become stale.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use goldcresttally_config::Digest;
use goldcresttally_core::Map;

/// Maximum number of cached bodies; beyond it the oldest are evicted.
const ENTRY_LIMIT: usize = 1024;

/// Maximum total size of cached bodies, in bytes; beyond it the oldest are evicted.
const SIZE_LIMIT_BYTES: usize = 4 * 1024 * 1024;

#[derive(Debug, Default)]
struct Inner {
    bodies: Map<Digest, Arc<str>>,
    order: VecDeque<Digest>,
    bytes: usize,
}

/// Section bodies by digest, limited in number and total size; the oldest are evicted first.
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
        while inner.order.len() > ENTRY_LIMIT || inner.bytes > SIZE_LIMIT_BYTES {
            let Some(oldest) = inner.order.pop_front() else { return };
            let length = inner.bodies.remove(&oldest).map_or(0, |b| b.len());
            inner.bytes -= length;
        }
    }
}
