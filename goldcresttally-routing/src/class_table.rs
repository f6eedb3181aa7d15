//! Fixed-size concurrent tables that hold one value per call class.

use std::sync::atomic::{AtomicU64, Ordering};

/// Default number of slots: twice the number of classes that a service usually has, so that few
/// collide on their first slot.
pub const CLASS_SLOTS: usize = 32;

/// Length of a probe sequence. When all slots in it are occupied, the first one is overwritten.
const MAX_PROBES: usize = 8;

/// A new sample has a weight of one over this in the moving average.
const SAMPLE_WEIGHT_DIVISOR: u64 = 8;

/// A lock-free hash table with one `u32` per call class; a class is a rank and a target.
///
/// Each slot packs the key with its value. Concurrent writers may overwrite each other, so a sample
/// can be lost; later samples make up for it.
#[derive(Debug)]
pub struct ClassTable<const SLOTS: usize = CLASS_SLOTS> {
    slots: [AtomicU64; SLOTS],
}

impl<const SLOTS: usize> Default for ClassTable<SLOTS> {
    fn default() -> Self {
        Self { slots: std::array::from_fn(|_| AtomicU64::default()) }
    }
}

/// Key bit of the calls of a class that are already late on arrival.
const LATE_BIT: u32 = 1 << 31;

/// Returns the key of those calls of a class that are already late on arrival.
pub fn late_key(key: u32) -> u32 {
    key | LATE_BIT
}

/// Returns the key of a class; it is never 0, which marks an empty slot.
pub fn class_key(rank: usize, target_ms: u64) -> u32 {
    ((rank.min(15) as u32 + 1) << 24) | (target_ms.min(0x00FF_FFFF) as u32)
}

impl<const SLOTS: usize> ClassTable<SLOTS> {
    /// Returns the value of a class, or `None` if it has none or was evicted.
    pub fn get(&self, key: u32) -> Option<u32> {
        let load = |slot: &AtomicU64| slot.load(Ordering::Relaxed);
        let packed = self.probe(key).map(load).find(|packed| key_of(*packed) == key)?;
        Some(packed as u32)
    }

    /// Sets the value of a class, evicting another class if its probe sequence is full.
    pub fn set(&self, key: u32, value: u32) {
        let packed = u64::from(key) << 32 | u64::from(value);
        let usable = |slot: &&AtomicU64| matches!(key_of(slot.load(Ordering::Relaxed)), stored if stored == key || stored == 0);
        let slot = self.probe(key).find(usable).or_else(|| self.probe(key).next());
        if let Some(slot) = slot {
            slot.store(packed, Ordering::Relaxed);
        }
    }

    /// Returns the probe sequence of a key.
    fn probe(&self, key: u32) -> impl Iterator<Item = &AtomicU64> {
        let first = slot_hash(key) as usize;
        (0..MAX_PROBES).map(move |i| &self.slots[(first + i) % SLOTS])
    }

    /// Adds a sample to the moving average of a class.
    pub fn record_sample(&self, key: u32, sample: u32) {
        let previous = self.get(key).map_or(u64::from(sample), u64::from);
        let mean =
            (previous * (SAMPLE_WEIGHT_DIVISOR - 1) + u64::from(sample)) / SAMPLE_WEIGHT_DIVISOR;
        self.set(key, mean as u32);
    }
}

fn key_of(packed: u64) -> u32 {
    (packed >> 32) as u32
}

/// Returns an 8-bit Fibonacci hash of a key, which separates neighbouring targets.
pub(crate) fn slot_hash(key: u32) -> u32 {
    key.wrapping_mul(0x9E37_79B9) >> 24
}
