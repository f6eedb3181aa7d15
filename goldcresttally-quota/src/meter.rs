//! Measurement of a rate over the last second.

use goldcresttally_core::MonoTime;

/// Length of a slot, in microseconds.
const SLOT_US: u64 = 500_000;

/// Counts events in two slots of half a second.
#[derive(Debug, Clone, Default)]
pub(crate) struct Meter {
    slot: u64,
    current: f64,
    previous: f64,
}

impl Meter {
    fn roll(&mut self, now: MonoTime) {
        let slot = now.0 / SLOT_US;
        if slot > self.slot {
            self.previous = if slot == self.slot + 1 { self.current } else { 0.0 };
            self.current = 0.0;
            self.slot = slot;
        }
    }

    /// Adds an amount at `now`.
    pub fn add(&mut self, now: MonoTime, amount: f64) {
        self.roll(now);
        self.current += amount;
    }

    /// Returns the amount per second over the last half to whole second.
    pub fn rate(&self, now: MonoTime) -> f64 {
        let mut meter = self.clone();
        meter.roll(now);
        let elapsed_us = now.0.saturating_sub(meter.slot * SLOT_US).min(SLOT_US) + SLOT_US;
        (meter.current + meter.previous) * 1e6 / elapsed_us as f64
    }
}
