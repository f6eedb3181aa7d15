//! Bounds retries to a share of the calls, so that they cannot multiply an overload.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use goldcresttally_core::MonoTime;

/// Buckets into which the window is divided; the oldest one is counted whole.
const BUCKETS: usize = 20;

/// Bits of a packed bucket that count calls, and those that count retries.
const COUNT_BITS: u32 = 20;

const COUNT_MASK: u64 = (1 << COUNT_BITS) - 1;

/// Share of its part of the reserve that a process has in its first window: with the usual spend
/// of 0.42, all nodes may start twice in one window and keep within the whole.
const YOUNG_SHARE: f64 = 0.5;

/// What retries are bounded to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetOptions {
    /// Retries allowed per call.
    pub share: f64,
    /// Retries allowed in any window besides.
    pub reserve: f64,
    /// The span that is looked at.
    pub window: Duration,
}

impl Default for BudgetOptions {
    fn default() -> Self {
        Self { share: 0.2, reserve: 20.0, window: Duration::from_secs(10) }
    }
}

/// Retries that all nodes together may make to one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    /// What all nodes together may spend.
    pub total: BudgetOptions,
    /// Share of it that is spent; the rest is left for the runs that a repeated run causes.
    pub spend: f64,
}

impl Default for RetryAllowance {
    fn default() -> Self {
        Self { total: BudgetOptions::default(), spend: 1.0 }
    }
}

impl RetryAllowance {
    /// Returns the part of one node that runs for `age` and of which at most `members` were ever
    /// seen, 0 when it does not know yet.
    ///
    /// Calls are counted where they enter, so the share of them needs no division. The reserve is
    /// divided by the most members ever seen, as those out of sight may still spend theirs. A node
    /// that does not know the others has none of it, and a process in its first window a part of
    /// its own, since the one before it may have spent the whole.
    pub fn node_budget(&self, members: usize, age: Duration) -> BudgetOptions {
        let own = |members: usize| self.total.reserve * self.spend / members as f64;
        let reserve = match members {
            0 => 0.0,
            n if age < self.total.window => own(n) * YOUNG_SHARE,
            n => own(n),
        };
        BudgetOptions { share: self.total.share * self.spend, reserve, window: self.total.window }
    }
}

/// Counts calls and retries over a sliding window; shared by the threads that serve calls.
///
/// Each bucket packs the period that it counts, so that an old one is told from the current one
/// without a lock.
#[derive(Debug, Default)]
pub struct RetryBudget {
    buckets: [AtomicU64; BUCKETS + 1],
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    period: u64,
    calls: u64,
    retries: u64,
}

impl Bucket {
    fn unpack(packed: u64) -> Self {
        Self {
            period: packed >> (2 * COUNT_BITS),
            calls: (packed >> COUNT_BITS) & COUNT_MASK,
            retries: packed & COUNT_MASK,
        }
    }

    fn pack(self) -> u64 {
        let calls = self.calls.min(COUNT_MASK) << COUNT_BITS;
        self.period << (2 * COUNT_BITS) | calls | self.retries.min(COUNT_MASK)
    }
}

impl RetryBudget {
    /// Notes a call.
    pub fn on_call(&self, now: MonoTime, options: &BudgetOptions) {
        self.add(period_of(now, options), 1, 0);
    }

    /// Takes one retry; returns whether the budget allows it.
    pub fn try_take(&self, now: MonoTime, options: &BudgetOptions) -> bool {
        let period = period_of(now, options);
        let (calls, retries) = self.counts(period);
        let allowed = options.share * calls as f64 + options.reserve;
        if retries as f64 + 1.0 > allowed {
            return false;
        }
        self.add(period, 0, 1);
        true
    }

    /// Sums up the window; of the oldest bucket, only the retries may still lie within it.
    fn counts(&self, period: u64) -> (u64, u64) {
        let mut sums = (0, 0);
        for bucket in &self.buckets {
            let bucket = Bucket::unpack(bucket.load(Ordering::Relaxed));
            let age = period.saturating_sub(bucket.period) as usize;
            if age < BUCKETS {
                sums.0 += bucket.calls;
            }
            if age <= BUCKETS {
                sums.1 += bucket.retries;
            }
        }
        sums
    }

    fn add(&self, period: u64, calls: u64, retries: u64) {
        let slot = &self.buckets[period as usize % (BUCKETS + 1)];
        let change = |packed: u64| {
            let held = Bucket::unpack(packed);
            let (c, r) = if held.period == period { (held.calls, held.retries) } else { (0, 0) };
            Some(Bucket { period, calls: c + calls, retries: r + retries }.pack())
        };
        // The update always has a value to store.
        let _ = slot.fetch_update(Ordering::Relaxed, Ordering::Relaxed, change);
    }
}

/// Returns the number of the bucket's period that `now` lies in, from 1 on.
fn period_of(now: MonoTime, options: &BudgetOptions) -> u64 {
    let length = (options.window.as_micros() as u64 / BUCKETS as u64).max(1);
    let period = now.0 / length + 1;
    period & ((1 << (64 - 2 * COUNT_BITS)) - 1)
}
