//! The stocks of tokens of all accounts with a limit at one node.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use goldcresttally_core::{AccountName, Map, MonoTime, Rate};

use crate::bucket::Bucket;
use crate::members::Shares;

/// Parameters of the limits.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Calls that all nodes together may run beyond rate and burst in a window.
    pub slack: f64,
    /// The window over which the limits hold.
    pub window: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { slack: 0.0, window: Duration::from_secs(5) }
    }
}

/// The limit of an account over all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Calls per second.
    pub rate: Rate,
    /// Calls beyond the rate that may come at once.
    pub burst: f64,
}

/// The decision on a call of an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The call may run: it got a token, or the account has no limit.
    Taken,
    /// The call may wait for a token. The caller must decide again with [`Quotas::take_waiting`]
    /// until it returns another decision, or call [`Quotas::end_wait`].
    Wait,
    /// The call exceeds the limit. There will be capacity after this time.
    Refused(Duration),
}

/// The tokens of an account at this node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Usage {
    /// Tokens held.
    pub stock: f64,
    /// Number of calls that wait for a token.
    pub waiting: f64,
}

/// The stocks of tokens of all accounts with a limit, shared by the threads of a node.
///
/// A process starts without tokens.
#[derive(Debug, Default)]
pub struct Quotas {
    options: Options,
    buckets: ArcSwap<Map<AccountName, Arc<Bucket>>>,
    /// Accounts whose calls began after a time without demand, for the exchange.
    activated: Mutex<Vec<Arc<Bucket>>>,
}

impl Quotas {
    /// Returns the stocks of a node without accounts.
    pub fn new(options: Options) -> Self {
        Self { options, ..Self::default() }
    }

    /// Returns whether no account has a limit.
    pub fn is_empty(&self) -> bool {
        self.buckets.load().is_empty()
    }

    /// Takes a token for a call of an account.
    pub fn take(&self, now: MonoTime, account: &AccountName) -> Decision {
        let buckets = self.buckets.load();
        let Some(bucket) = buckets.get(account) else { return Decision::Taken };
        let mut state = bucket.lock();
        let decision = state.take(now, &self.options);
        let activated = !std::mem::replace(&mut state.active, true);
        drop(state);
        if activated {
            self.activated.lock().unwrap_or_else(PoisonError::into_inner).push(Arc::clone(bucket));
        }
        decision
    }

    /// Decides again on a call that waits.
    pub fn take_waiting(&self, now: MonoTime, account: &AccountName) -> Decision {
        let buckets = self.buckets.load();
        let Some(bucket) = buckets.get(account) else { return Decision::Taken };
        bucket.lock().take_waiting(now, &self.options)
    }

    /// Ends the wait of a call without a token; returns the time after which there will be capacity.
    pub fn end_wait(&self, now: MonoTime, account: &AccountName) -> Duration {
        let buckets = self.buckets.load();
        let bucket = buckets.get(account);
        bucket.map_or(Duration::ZERO, |bucket| bucket.lock().end_wait(now, &self.options))
    }

    /// Returns the token of a call that reached no upstream.
    pub fn put_back(&self, now: MonoTime, account: &AccountName) {
        if let Some(bucket) = self.buckets.load().get(account) {
            bucket.lock().put_back(now);
        }
    }

    /// Returns the tokens held by each account that had calls lately, ordered by name.
    pub fn usage(&self, now: MonoTime) -> Vec<(AccountName, Usage)> {
        let buckets = self.buckets.load();
        let mut usage: Vec<_> = buckets
            .values()
            .filter_map(|bucket| {
                let mut state = bucket.lock();
                let view = state.active.then(|| state.view(now))?;
                let usage = Usage { stock: view.stock, waiting: view.waiting };
                Some((bucket.name.clone(), usage))
            })
            .collect();
        usage.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        usage
    }

    pub(crate) fn window(&self) -> Duration {
        self.options.window
    }

    pub(crate) fn bucket(&self, account: &AccountName) -> Option<Arc<Bucket>> {
        self.buckets.load().get(account).cloned()
    }

    /// Returns the accounts whose calls have begun since the last call of this function.
    pub(crate) fn take_activated(&self) -> Vec<Arc<Bucket>> {
        std::mem::take(&mut *self.activated.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the limits; accounts that are not listed have none.
    pub(crate) fn set_limits(
        &self,
        now: MonoTime,
        limits: &[(AccountName, Limit)],
        shares: &Shares,
    ) {
        let before = self.buckets.load_full();
        let mut buckets = Map::default();
        for (name, limit) in limits {
            let bucket = before.get(name).cloned();
            let bucket = bucket.unwrap_or_else(|| Arc::new(Bucket::new(now, name.clone(), *limit)));
            bucket.lock().set_limit(now, *limit, shares, &self.options);
            buckets.insert(name.clone(), bucket);
        }
        self.buckets.store(Arc::new(buckets));
    }

    /// Changes this node's part of all limits.
    pub(crate) fn set_shares(&self, now: MonoTime, shares: &Shares) {
        for bucket in self.buckets.load().values() {
            bucket.lock().set_shares(now, shares, &self.options);
        }
    }
}
