//! Figures by class of call, in atomics.

use std::sync::atomic::{AtomicU64, Ordering};

/// Slots of a table unless it says otherwise: twice the classes that a service usually has, so that
/// few share a first slot.
pub const CLASS_SLOTS: usize = 32;

/// Slots in which a class may stand; once all are taken, it takes the place of the first.
const PROBES: usize = 8;

/// Weight of one sample in an average, as a divisor.
const WEIGHT_DIVISOR: u64 = 8;

/// A figure for each class of call; classes are told apart by rank and target.
///
/// Each slot packs the class beside its figure. Two threads may overwrite each other's figure,
/// which the next sample mends.
#[derive(Debug)]
pub struct ClassTable<const SLOTS: usize = CLASS_SLOTS> {
    slots: [AtomicU64; SLOTS],
}

impl<const SLOTS: usize> Default for ClassTable<SLOTS> {
    fn default() -> Self {
        Self { slots: std::array::from_fn(|_| AtomicU64::default()) }
    }
}

/// Marks the key of those calls of a class that are late before they have run.
const LATE_BIT: u32 = 1 << 31;

/// Returns the key for those calls of a class that are late before they have run.
pub fn late_key(key: u32) -> u32 {
    key | LATE_BIT
}

/// Returns the key of a class, never 0.
pub fn class_key(rank: usize, target_ms: u64) -> u32 {
    ((rank.min(15) as u32 + 1) << 24) | (target_ms.min(0x00FF_FFFF) as u32)
}

impl<const SLOTS: usize> ClassTable<SLOTS> {
    /// Returns the figure of a class.
    pub fn get(&self, key: u32) -> Option<u32> {
        let load = |slot: &AtomicU64| slot.load(Ordering::Relaxed);
        let packed = self.probe(key).map(load).find(|packed| key_of(*packed) == key)?;
        Some(packed as u32)
    }

    /// Sets the figure of a class.
    pub fn set(&self, key: u32, figure: u32) {
        let packed = u64::from(key) << 32 | u64::from(figure);
        let own = |slot: &&AtomicU64| matches!(key_of(slot.load(Ordering::Relaxed)), held if held == key || held == 0);
        let slot = self.probe(key).find(own).or_else(|| self.probe(key).next());
        if let Some(slot) = slot {
            slot.store(packed, Ordering::Relaxed);
        }
    }

    /// Returns the slots in which a class may stand.
    fn probe(&self, key: u32) -> impl Iterator<Item = &AtomicU64> {
        let first = slot_hash(key) as usize;
        (0..PROBES).map(move |i| &self.slots[(first + i) % SLOTS])
    }

    /// Takes a sample into the average of a class.
    pub fn record_sample(&self, key: u32, sample: u32) {
        let held = self.get(key).map_or(u64::from(sample), u64::from);
        let mean = (held * (WEIGHT_DIVISOR - 1) + u64::from(sample)) / WEIGHT_DIVISOR;
        self.set(key, mean as u32);
    }
}

fn key_of(packed: u64) -> u32 {
    (packed >> 32) as u32
}

/// Spreads keys over slots: the golden ratio's fraction keeps neighbouring targets apart.
pub(crate) fn slot_hash(key: u32) -> u32 {
    key.wrapping_mul(0x9E37_79B9) >> 24
}
