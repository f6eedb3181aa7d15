//! A limit on the bytes that all connections of clients hold together.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Share of the budget that bodies may use (3/4), so that stalled bodies leave room for the heads of
/// other requests.
const BODY_SHARE: (usize, usize) = (3, 4);

/// What bytes are used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Use {
    /// The head of a request.
    Head,
    /// The body of a request.
    Body,
}

/// A limit on bytes, and those in use.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    used: AtomicUsize,
}

impl ByteBudget {
    /// Returns a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, used: AtomicUsize::new(0) }
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns whether more than half of the budget is in use.
    pub fn is_tight(&self) -> bool {
        self.used() > self.limit / 2
    }

    /// Takes `bytes` for a use; `None` if they exceed the limit.
    pub fn try_take(self: &Arc<Self>, bytes: usize, purpose: Use) -> Option<ByteShare> {
        let mut share = ByteShare { budget: Arc::clone(self), bytes: 0 };
        share.try_grow(bytes, purpose).then_some(share)
    }

    /// Takes `bytes` even if they exceed the limit, for a response that must be delivered.
    pub fn take(self: &Arc<Self>, bytes: usize) -> ByteShare {
        self.used.fetch_add(bytes, Ordering::Relaxed);
        ByteShare { budget: Arc::clone(self), bytes }
    }
}

/// Bytes taken from a budget, which are returned on drop.
#[derive(Debug)]
pub struct ByteShare {
    budget: Arc<ByteBudget>,
    bytes: usize,
}

impl ByteShare {
    /// Takes `bytes` more; returns `false` and takes none if they exceed the limit.
    pub fn try_grow(&mut self, bytes: usize, purpose: Use) -> bool {
        let limit = match purpose {
            Use::Head => self.budget.limit,
            Use::Body => self.budget.limit / BODY_SHARE.1 * BODY_SHARE.0,
        };
        let grown = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= limit);
        let used = &self.budget.used;
        let taken = used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, grown).is_ok();
        if taken {
            self.bytes += bytes;
        }
        taken
    }
}

impl Drop for ByteShare {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
