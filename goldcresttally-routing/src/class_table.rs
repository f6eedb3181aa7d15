//! Figures by class of call, in atomics.

use std::sync::atomic::{AtomicU64, Ordering};

/// Classes for which a figure is kept; a further one takes the place of another.
const SLOTS: usize = 16;

/// Weight of one sample in an average, as a divisor.
const WEIGHT_DIVISOR: u64 = 8;

/// A figure for each class of call; classes are told apart by rank and target.
///
/// Each slot packs the class beside its figure. Two threads may overwrite each other's figure,
/// which the next sample mends.
#[derive(Debug, Default)]
pub struct ClassTable {
    slots: [AtomicU64; SLOTS],
}

/// Returns the key of a class, never 0.
pub fn class_key(rank: usize, target_ms: u64) -> u32 {
    ((rank.min(15) as u32 + 1) << 24) | (target_ms.min(0x00FF_FFFF) as u32)
}

impl ClassTable {
    /// Returns the figure of a class.
    pub fn get(&self, key: u32) -> Option<u32> {
        let packed = self.slots[slot(key)].load(Ordering::Relaxed);
        ((packed >> 32) as u32 == key).then_some(packed as u32)
    }

    /// Sets the figure of a class.
    pub fn set(&self, key: u32, figure: u32) {
        let packed = u64::from(key) << 32 | u64::from(figure);
        self.slots[slot(key)].store(packed, Ordering::Relaxed);
    }

    /// Takes a sample into the average of a class.
    pub fn average(&self, key: u32, sample: u32) {
        let held = self.get(key).map_or(u64::from(sample), u64::from);
        let mean = (held * (WEIGHT_DIVISOR - 1) + u64::from(sample)) / WEIGHT_DIVISOR;
        self.set(key, mean as u32);
    }
}

fn slot(key: u32) -> usize {
    // The golden ratio's fraction spreads neighbouring targets.
    (key.wrapping_mul(0x9E37_79B9) >> 28) as usize % SLOTS
}
