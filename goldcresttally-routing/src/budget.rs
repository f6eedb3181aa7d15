//! Bounds retries to a share of the calls, so that they cannot multiply an overload.

use std::sync::atomic::{AtomicI64, Ordering};

/// Tokens that one retry costs, in thousandths.
const RETRY_COST_MILLI: i64 = 1000;

/// Retries that may be saved up.
const RESERVE: i64 = 20;

/// A token bucket that calls fill and retries empty; shared by the threads that serve calls.
#[derive(Debug)]
pub struct RetryBudget {
    tokens_milli: AtomicI64,
    per_call_milli: i64,
}

impl RetryBudget {
    /// Returns a full budget that allows `share` retries per call.
    pub fn new(share: f64) -> Self {
        Self {
            tokens_milli: AtomicI64::new(RESERVE * RETRY_COST_MILLI),
            per_call_milli: (share * 1000.0) as i64,
        }
    }

    /// Notes a call.
    pub fn on_call(&self) {
        let limit = RESERVE * RETRY_COST_MILLI;
        let tokens = self.tokens_milli.load(Ordering::Relaxed);
        if tokens < limit {
            self.tokens_milli.fetch_add(self.per_call_milli, Ordering::Relaxed);
        }
    }

    /// Takes the cost of one retry; returns whether the budget allows it.
    pub fn take(&self) -> bool {
        let enough = |tokens: i64| (tokens >= RETRY_COST_MILLI).then(|| tokens - RETRY_COST_MILLI);
        self.tokens_milli.fetch_update(Ordering::Relaxed, Ordering::Relaxed, enough).is_ok()
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(0.2)
    }
}
