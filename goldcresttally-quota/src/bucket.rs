//! The stock of tokens of one account at one node.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use goldcresttally_core::{AccountName, MonoTime};

use crate::members::Shares;
use crate::meter::Meter;
use crate::quotas::{Decision, Limit, Options};
use crate::tokens::Tokens;

/// Time for which the tokens beyond the cap suffice at the current demand, in seconds.
const REFILL_S: f64 = 0.25;

/// A refill is drawn when the stock falls below this share of it, that is, the demand of 100 ms.
const REFILL_BELOW: f64 = 0.4;

/// Time without demand after which the stock beyond the cap is discarded.
const UNUSED_AFTER: Duration = Duration::from_secs(1);

/// Share of the burst that the nodes may hold; the pools hold the rest.
const NODES_SHARE: f64 = 0.5;

/// Share of the slack that the pools may hold.
const SLACK_SHARE: f64 = 0.5;

/// The caps are at least those of a burst that lasts this long at the rate, in seconds. They would
/// otherwise be too small to hold what accrues between two exchanges.
const MIN_BURST_S: f64 = 0.2;

/// Tokens that a pool may hold while tokens of the account are asked for, so that one whole call
/// can be assembled from fractions.
const MIN_POOL_CAP: f64 = 1.5;

/// Shortest time given to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Tolerance for rounding errors, in tokens.
const EPSILON: f64 = 1e-6;

/// What a node lacks or can spare of an account's tokens.
#[derive(Debug, Clone, Copy)]
pub(crate) struct View {
    pub stock: f64,
    /// Number of calls that wait for a token.
    pub waiting: f64,
    /// Tokens to draw; 0 if the stock suffices.
    pub want: f64,
    /// Tokens that are not needed.
    pub spare: f64,
    /// Tokens that may still be added.
    pub room: f64,
    /// Time of the last call.
    pub demanded_at: Option<MonoTime>,
    pub rate: f64,
}

/// The stock of one account, shared between threads.
#[derive(Debug)]
pub(crate) struct Bucket {
    pub name: AccountName,
    state: Mutex<State>,
}

impl Bucket {
    pub fn new(now: MonoTime, name: AccountName, limit: Limit) -> Self {
        let state = State {
            limit,
            accrual: 0.0,
            node_cap: 0.0,
            pool_cap: 0.0,
            is_pool: false,
            pool_wanted_at: None,
            stock: 0.0,
            accrued_at: now,
            demand: Meter::default(),
            taken: Meter::default(),
            demanded_at: None,
            waiting: 0,
            refuse_until: MonoTime(0),
            next_retry: MonoTime(0),
            active: false,
        };
        Self { name, state: Mutex::new(state) }
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Debug)]
pub(crate) struct State {
    limit: Limit,
    /// Tokens that this node accrues a second.
    accrual: f64,
    node_cap: f64,
    pool_cap: f64,
    is_pool: bool,
    /// Last time at which tokens were asked of this node as a pool.
    pool_wanted_at: Option<MonoTime>,
    stock: f64,
    accrued_at: MonoTime,
    demand: Meter,
    taken: Meter,
    demanded_at: Option<MonoTime>,
    waiting: u32,
    /// Time until which no tokens are expected.
    refuse_until: MonoTime,
    /// Time given to the last refused caller.
    next_retry: MonoTime,
    /// Whether the exchange watches this account.
    pub active: bool,
}

impl State {
    /// Sets the limit and this node's part of it. What exceeds the new caps is discarded at once.
    pub fn set_limit(&mut self, now: MonoTime, limit: Limit, shares: &Shares, options: &Options) {
        self.advance(now);
        self.limit = limit;
        let burst = limit.burst.max(limit.rate.0 * MIN_BURST_S);
        let nodes = shares.nodes.map(|n| n as f64);
        self.accrual = nodes.map_or(0.0, |n| limit.rate.0 / n);
        self.node_cap = nodes.map_or(0.0, |n| burst * NODES_SHARE / n);
        self.pool_cap = burst * (1.0 - NODES_SHARE) * shares.domain.min(1.0)
            + options.slack * SLACK_SHARE / shares.pools.max(1) as f64;
        self.advance(now);
    }

    /// Sets this node's part of the limit.
    pub fn set_shares(&mut self, now: MonoTime, shares: &Shares, options: &Options) {
        self.set_limit(now, self.limit, shares, options);
    }

    /// Sets whether this node is a pool of the account.
    pub fn set_pool(&mut self, now: MonoTime, is_pool: bool) {
        if self.is_pool != is_pool {
            self.advance(now);
            self.is_pool = is_pool;
        }
    }

    /// Records that tokens were asked of this node as a pool.
    pub fn set_pool_wanted(&mut self, now: MonoTime) {
        self.pool_wanted_at = Some(now);
        self.is_pool = true;
    }

    fn is_recent(at: Option<MonoTime>, now: MonoTime) -> bool {
        at.is_some_and(|at| now.since(at) < UNUSED_AFTER)
    }

    /// Returns the demand that can be served, in calls a second.
    fn served_demand(&self, now: MonoTime) -> f64 {
        self.demand.rate(now).min(self.limit.rate.0)
    }

    /// Returns the tokens to hold for the calls that will come soon. A fraction of a call is of no
    /// use here, and is left to the pool.
    fn refill(&self, now: MonoTime) -> f64 {
        let refill = self.served_demand(now) * REFILL_S;
        if refill >= 1.0 { refill } else { 0.0 }
    }

    /// Returns the most tokens that may be held.
    fn cap(&self, now: MonoTime) -> f64 {
        let mut cap = self.node_cap + f64::from(self.waiting);
        if self.is_pool {
            let min = if Self::is_recent(self.pool_wanted_at, now) { MIN_POOL_CAP } else { 0.0 };
            cap += self.pool_cap.max(min);
        }
        if Self::is_recent(self.demanded_at, now) {
            // A token that is put back must fit.
            cap += (self.served_demand(now) * REFILL_S).max(1.0);
        }
        cap
    }

    /// Accrues tokens up to `now`, and discards what exceeds the cap.
    fn advance(&mut self, now: MonoTime) {
        let elapsed = now.since(self.accrued_at).as_secs_f64();
        self.accrued_at = self.accrued_at.max(now);
        self.stock = (self.stock + elapsed * self.accrual).min(self.cap(now));
    }

    pub fn take(&mut self, now: MonoTime, options: &Options) -> Decision {
        self.demand.add(now, 1.0);
        self.advance(now);
        self.demanded_at = Some(now);
        if self.spend(now) {
            return Decision::Taken;
        }
        if now < self.refuse_until || f64::from(self.waiting) >= self.max_waiting() {
            return Decision::Refused(self.refusal(now, options));
        }
        self.waiting += 1;
        Decision::Wait
    }

    /// Decides again on a call that waits.
    pub fn take_waiting(&mut self, now: MonoTime, options: &Options) -> Decision {
        self.advance(now);
        if self.spend(now) {
            self.waiting = self.waiting.saturating_sub(1);
            return Decision::Taken;
        }
        if now < self.refuse_until {
            return Decision::Refused(self.end_wait(now, options));
        }
        Decision::Wait
    }

    /// Ends the wait of a call without a token; returns the time after which to try again.
    pub fn end_wait(&mut self, now: MonoTime, options: &Options) -> Duration {
        self.waiting = self.waiting.saturating_sub(1);
        self.refusal(now, options)
    }

    fn spend(&mut self, now: MonoTime) -> bool {
        if self.stock < 1.0 - EPSILON {
            return false;
        }
        self.stock = (self.stock - 1.0).max(0.0);
        self.taken.add(now, 1.0);
        true
    }

    /// Returns the number of calls that may wait: more than could get a token in time are refused.
    fn max_waiting(&self) -> f64 {
        self.limit.rate.0 * REFILL_S + self.limit.burst + 1.0
    }

    /// Returns the time after which a refused call will find a token, given the calls refused
    /// before it.
    fn refusal(&mut self, now: MonoTime, options: &Options) -> Duration {
        let rate = self.taken.rate(now).max(self.accrual).max(EPSILON);
        let interval = Duration::from_secs_f64((1.0 / rate).min(options.window.as_secs_f64()));
        let first = self.refuse_until.max(now + MIN_RETRY_AFTER);
        let next = self.next_retry.max(now) + interval;
        self.next_retry = next.max(first).min(now + options.window);
        self.next_retry.since(now)
    }

    /// Adds tokens up to the cap.
    pub fn add(&mut self, now: MonoTime, tokens: Tokens) {
        self.advance(now);
        self.stock = (self.stock + tokens.calls()).min(self.cap(now).max(self.stock));
    }

    /// Returns the token of a call.
    pub fn put_back(&mut self, now: MonoTime) {
        self.demanded_at = Some(now);
        self.add(now, Tokens(1000));
    }

    /// Removes up to `tokens` and returns what was removed.
    pub fn remove(&mut self, tokens: Tokens) -> Tokens {
        let removed = tokens.min(Tokens::at_most(self.stock));
        self.stock = (self.stock - removed.calls()).max(0.0);
        removed
    }

    /// Refuses calls at once until a time at which tokens are expected.
    pub fn set_refuse_until(&mut self, until: MonoTime) {
        self.refuse_until = until;
    }

    /// Returns the time of the last call.
    pub fn demanded_at(&self) -> Option<MonoTime> {
        self.demanded_at
    }

    pub fn view(&mut self, now: MonoTime) -> View {
        self.advance(now);
        let waiting = f64::from(self.waiting);
        let refill = self.refill(now);
        let is_short = self.stock < waiting || self.stock < refill * REFILL_BELOW;
        let needed = waiting + refill;
        View {
            stock: self.stock,
            waiting,
            want: if is_short { (needed - self.stock).max(0.0) } else { 0.0 },
            spare: (self.stock - needed).max(0.0),
            room: (self.cap(now) - self.stock).max(0.0),
            demanded_at: self.demanded_at,
            rate: self.limit.rate.0,
        }
    }

    /// Returns the time in which this node accrues what it may hold.
    pub fn filling_time(&self) -> Duration {
        let time = self.node_cap / self.accrual.max(EPSILON);
        Duration::from_secs_f64(time.min(UNUSED_AFTER.as_secs_f64()))
    }
}
