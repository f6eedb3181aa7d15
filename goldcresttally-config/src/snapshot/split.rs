//! The services of a route, which share its calls by weight.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use super::Service;

/// The golden ratio's fraction in 32 bits: multiples of it fill a circle evenly at every length.
const GOLDEN_STEP: u32 = 0x9E37_79B9;

/// Services with weights, chosen in turn so that any run of calls is split by weight.
#[derive(Debug)]
pub struct Split {
    /// Each service with the end of its part of the circle.
    parts: Vec<(Arc<Service>, u32)>,
    turn: AtomicU32,
}

impl Split {
    /// Returns the split by `weights`; `None` when they add up to nothing.
    pub fn new(weights: Vec<(Arc<Service>, u32)>) -> Option<Self> {
        let total: u64 = weights.iter().map(|(_, w)| u64::from(*w)).sum();
        if total == 0 {
            return None;
        }
        let mut sum = 0;
        let part = |(service, weight): (Arc<Service>, u32)| {
            sum += u64::from(weight);
            let end = sum * u64::from(u32::MAX) / total;
            (weight > 0).then_some((service, end as u32))
        };
        let parts = weights.into_iter().filter_map(part).collect();
        Some(Self { parts, turn: AtomicU32::new(0) })
    }

    /// Returns the service of the next call; `offset` keeps nodes from taking turns in step.
    pub fn next(&self, offset: u32) -> &Arc<Service> {
        if let [(only, _)] = self.parts.as_slice() {
            return only;
        }
        let turn = self.turn.fetch_add(1, Ordering::Relaxed).wrapping_add(offset);
        let point = turn.wrapping_mul(GOLDEN_STEP);
        let found = self.parts.iter().find(|(_, end)| point <= *end);
        &found.unwrap_or(&self.parts[self.parts.len() - 1]).0
    }

    /// Returns the services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.parts.iter().map(|(service, _)| service)
    }
}
