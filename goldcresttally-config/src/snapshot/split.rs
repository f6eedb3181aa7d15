//! Weighted split of a route's calls among services.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use super::Service;

/// Fractional part of the golden ratio times 2^32: its multiples modulo 2^32 form a
/// low-discrepancy sequence, which is spread evenly at any length.
const GOLDEN_STEP: u32 = 0x9E37_79B9;

/// Services with weights, chosen so that even short runs of calls are split close to the weights.
#[derive(Debug)]
pub struct Split {
    /// Each service with the inclusive upper end of its range; the ranges cover `0..=u32::MAX`.
    ranges: Vec<(Arc<Service>, u32)>,
    call_index: AtomicU32,
}

impl Split {
    /// Creates a split by `weights`; returns `None` if they add up to zero.
    pub fn new(weights: Vec<(Arc<Service>, u32)>) -> Option<Self> {
        let total: u64 = weights.iter().map(|(_, w)| u64::from(*w)).sum();
        if total == 0 {
            return None;
        }
        let mut sum = 0;
        let range_end = |(service, weight): (Arc<Service>, u32)| {
            sum += u64::from(weight);
            let end = sum * u64::from(u32::MAX) / total;
            (weight > 0).then_some((service, end as u32))
        };
        let ranges = weights.into_iter().filter_map(range_end).collect();
        Some(Self { ranges, call_index: AtomicU32::new(0) })
    }

    /// Returns the service of the next call.
    ///
    /// `offset` differs from node to node, so that nodes do not choose the same service in step.
    pub fn next(&self, offset: u32) -> &Arc<Service> {
        if let [(only, _)] = self.ranges.as_slice() {
            return only;
        }
        let call_index = self.call_index.fetch_add(1, Ordering::Relaxed).wrapping_add(offset);
        let point = call_index.wrapping_mul(GOLDEN_STEP);
        let found = self.ranges.iter().find(|(_, end)| point <= *end);
        &found.unwrap_or(&self.ranges[self.ranges.len() - 1]).0
    }

    /// Returns the services with a nonzero weight.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.ranges.iter().map(|(service, _)| service)
    }
}
