//! Retry budgets: limit retries to a share of the calls, so that retries cannot amplify an
//! overload.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use goldcresttally_core::MonoTime;

/// Number of buckets in the sliding window. Retries in the oldest, partly expired bucket still
/// count in full.
const BUCKET_COUNT: usize = 20;

/// Width in bits of each of the two counters in a packed bucket.
const COUNT_BITS: u32 = 20;

const COUNT_MASK: u64 = (1 << COUNT_BITS) - 1;

/// Share of its reserve that a process may use in its first window. With the usual `spend` of 0.42,
/// every node can restart twice within one window and the total reserve still holds.
const FIRST_WINDOW_SHARE: f64 = 0.5;

/// Limits on the retries within a sliding window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetOptions {
    /// Retries allowed per call.
    pub share: f64,
    /// Retries allowed per window in addition, regardless of the number of calls.
    pub reserve: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl Default for BudgetOptions {
    fn default() -> Self {
        Self { share: 0.2, reserve: 20.0, window: Duration::from_secs(10) }
    }
}

/// Limits on the retries that all nodes together make to one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAllowance {
    /// Limits for all nodes together.
    pub total: BudgetOptions,
    /// Share of `total` that the nodes use. The rest is left for the nested calls that a retried
    /// call causes.
    pub spend: f64,
}

impl Default for RetryAllowance {
    fn default() -> Self {
        Self { total: BudgetOptions::default(), spend: 1.0 }
    }
}

impl RetryAllowance {
    /// Returns the limits of one node whose process has run for `age` and whose highest observed
    /// member count is `members`, or 0 if the membership is still unknown.
    ///
    /// Each call is counted at its entry node, so `share` is not divided. The reserve is divided by
    /// the highest member count ever observed, because unreachable members may still use theirs. A
    /// node that does not know the membership gets no reserve. A process in its first window gets a
    /// fraction of its reserve, because the previous process may have used all of it.
    pub fn node_budget(&self, members: usize, age: Duration) -> BudgetOptions {
        let node_reserve = |members: usize| self.total.reserve * self.spend / members as f64;
        let reserve = match members {
            0 => 0.0,
            n if age < self.total.window => node_reserve(n) * FIRST_WINDOW_SHARE,
            n => node_reserve(n),
        };
        BudgetOptions { share: self.total.share * self.spend, reserve, window: self.total.window }
    }
}

/// Counts calls and retries over a sliding window. Shared by the threads that serve calls.
///
/// Each bucket packs its period number with its counters, so that a stale bucket is recognized and
/// reset without a lock.
#[derive(Debug, Default)]
pub struct RetryBudget {
    buckets: [AtomicU64; BUCKET_COUNT + 1],
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
    /// Records a call.
    pub fn on_call(&self, now: MonoTime, options: &BudgetOptions) {
        self.add(period_of(now, options), 1, 0);
    }

    /// Charges one retry and returns `true`, or returns `false` if the budget is exhausted.
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

    /// Returns the calls and retries in the window. The oldest, partly expired bucket counts only
    /// towards the retries, which keeps the limit on the safe side.
    fn counts(&self, period: u64) -> (u64, u64) {
        let mut sums = (0, 0);
        for bucket in &self.buckets {
            let bucket = Bucket::unpack(bucket.load(Ordering::Relaxed));
            let age = period.saturating_sub(bucket.period) as usize;
            if age < BUCKET_COUNT {
                sums.0 += bucket.calls;
            }
            if age <= BUCKET_COUNT {
                sums.1 += bucket.retries;
            }
        }
        sums
    }

    fn add(&self, period: u64, calls: u64, retries: u64) {
        let slot = &self.buckets[period as usize % (BUCKET_COUNT + 1)];
        let update = |packed: u64| {
            let stored = Bucket::unpack(packed);
            let (c, r) =
                if stored.period == period { (stored.calls, stored.retries) } else { (0, 0) };
            Some(Bucket { period, calls: c + calls, retries: r + retries }.pack())
        };
        // `update` always returns `Some`, so this cannot fail.
        let _ = slot.fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
    }
}

/// Returns the number of the bucket period that contains `now`, starting at 1 and truncated to the
/// bits that a packed bucket has for it.
fn period_of(now: MonoTime, options: &BudgetOptions) -> u64 {
    let length = (options.window.as_micros() as u64 / BUCKET_COUNT as u64).max(1);
    let period = now.0 / length + 1;
    period & ((1 << (64 - 2 * COUNT_BITS)) - 1)
}
