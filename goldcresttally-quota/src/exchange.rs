//! The state machine that moves tokens between a node, its pool and the pools of other domains.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use goldcresttally_core::{AccountName, Deadline, DomainId, Map, MonoTime, NodeId};

use crate::bucket::{Bucket, State, View};
use crate::members::{Members, MembersView, Shares, choose};
use crate::message::{Amount, Grant, Kind, Request, Response};
use crate::meter::Meter;
use crate::quotas::{Limit, Quotas};
use crate::tokens::Tokens;

/// Time after which a node that has not responded is skipped.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which a node that has not responded is skipped.
const SKIP_TIME: Duration = Duration::from_secs(2);

/// A gap between two events longer than this means that this process did not run. Responses may
/// have arrived meanwhile, so the nodes asked get more time.
const STALL_THRESHOLD: Duration = Duration::from_millis(150);

/// Minimum time between two requests of one kind to the same node.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// Time after which a node asks again while its pool collects tokens.
const COLLECTING_RETRY: Duration = Duration::from_millis(15);

/// Calls wait if tokens are expected within this time, and are refused otherwise.
const WORTH_WAITING: Duration = Duration::from_millis(100);

/// Longest time for which a node is told that there are no tokens.
const MAX_EMPTY_TIME: Duration = Duration::from_millis(500);

/// Longest interval between deposits.
const DEPOSIT_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest interval between deposits.
const MIN_DEPOSIT_INTERVAL: Duration = Duration::from_millis(100);

/// Deposits are made when a node has accrued this share of what it may hold.
const DEPOSIT_FILL: f64 = 0.8;

/// Time for which deposits are made after they were last sought.
const SOUGHT_TIME: Duration = Duration::from_secs(2);

/// Time for which a node that was used as a pool keeps a pool's stock.
const POOL_TIME: Duration = Duration::from_secs(2);

/// Minimum interval between collections from the members of the domain.
const COLLECT_INTERVAL: Duration = Duration::from_millis(50);

/// Length of the slots in which tokens that could not be granted are summed, in microseconds.
const UNMET_SLOT_US: u64 = 50_000;

/// Time for which the stock of a pool suffices at the current grants, in seconds.
const POOL_RESERVE_S: f64 = 0.1;

/// Minimum time between two passes over the accounts with demand. What happens meanwhile is left to
/// the next pass, so that the work does not grow with the calls that wait.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(5);

/// Interval at which the number of nodes that accrue is computed without a change of the members.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of accounts in one list of a message.
const MAX_ACCOUNTS_PER_MESSAGE: usize = 512;

/// Identifies a request of this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// An input of the state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed, or a call waits; expected at least every 100 ms.
    Tick,
    /// The members changed.
    Members(MembersView),
    /// The limits of the accounts; accounts that are not listed have none.
    Limits(Vec<(AccountName, Limit)>),
    /// A response to a request was received, in time or late.
    Responded(RequestId, Response),
    /// A request got no response and will not get one.
    Failed(RequestId),
}

/// An output of the state machine, to be carried out by the driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a request once, and report the response or the failure.
    Send {
        /// Identifies the request.
        id: RequestId,
        /// The receiver.
        to: NodeId,
        /// The request.
        request: Request,
    },
    /// The calls that wait must be decided again.
    Granted,
    /// A node did not respond in time and is skipped.
    Skipped(NodeId),
    /// Tokens accrue from now on; the number of nodes that accrue is known.
    Accruing(usize),
}

/// Tokens that were asked of a pool and could not be granted, by slots of time.
#[derive(Debug, Default)]
struct Unmet {
    slot: u64,
    current: f64,
    previous: f64,
}

impl Unmet {
    fn roll(&mut self, now: MonoTime) {
        let slot = now.0 / UNMET_SLOT_US;
        if slot > self.slot {
            self.previous = if slot == self.slot + 1 { self.current } else { 0.0 };
            self.current = 0.0;
            self.slot = slot;
        }
    }

    fn add(&mut self, now: MonoTime, tokens: f64) {
        self.roll(now);
        self.current += tokens;
    }

    fn get(&mut self, now: MonoTime) -> f64 {
        self.roll(now);
        self.current.max(self.previous)
    }
}

/// An account that has demand somewhere.
#[derive(Debug)]
struct Active {
    bucket: Arc<Bucket>,
    /// Time until which this node deposits.
    sought_until: MonoTime,
    /// Last time at which a node of this domain asked this node for tokens.
    wanted_at: Option<MonoTime>,
    /// Last time at which another domain's pool asked this node for tokens.
    wanted_elsewhere_at: Option<MonoTime>,
    /// Time until which this node acts as a pool although it need not be the first in order.
    pool_until: MonoTime,
    /// Whether the members of the domain were told that deposits are sought.
    is_collected: bool,
    unmet: Unmet,
    /// Tokens granted to the nodes of this domain.
    granted: Meter,
    /// Tokens asked of other pools in requests without a response.
    asked: f64,
    /// Times until which other pools have no tokens.
    empty_until: Map<NodeId, MonoTime>,
    /// Earliest time to ask the pool again.
    next_draw: MonoTime,
}

impl Active {
    fn new(bucket: Arc<Bucket>) -> Self {
        Self {
            bucket,
            sought_until: MonoTime(0),
            wanted_at: None,
            wanted_elsewhere_at: None,
            pool_until: MonoTime(0),
            is_collected: false,
            unmet: Unmet::default(),
            granted: Meter::default(),
            asked: 0.0,
            empty_until: Map::default(),
            next_draw: MonoTime(0),
        }
    }

    /// Returns whether deposits are sought from the members of this domain.
    fn is_sought(&self, now: MonoTime, window: Duration, demanded_at: Option<MonoTime>) -> bool {
        let recent = |at: Option<MonoTime>| at.is_some_and(|at| now.since(at) < window);
        recent(self.wanted_at) || recent(self.wanted_elsewhere_at) || recent(demanded_at)
    }

    fn is_idle(&self, now: MonoTime, window: Duration, view: &View) -> bool {
        let asked = self.asked >= 0.001 || view.waiting > 0.0;
        !asked && self.sought_until <= now && !self.is_sought(now, window, view.demanded_at)
    }
}

/// A request without a response.
#[derive(Debug)]
struct InFlight {
    to: NodeId,
    kind: Kind,
    wants: Vec<Amount>,
    respond_by: Deadline,
    timed_out: bool,
}

/// The requests of one kind to one node.
#[derive(Debug, Default)]
struct Link {
    in_flight: Option<RequestId>,
    next_request: MonoTime,
}

/// What a node wants to send to another node.
#[derive(Debug, Default)]
struct Batch {
    wants: Vec<Amount>,
    deposits: Vec<Amount>,
    /// Whether some of what is wanted may be asked for now.
    is_urgent: bool,
    /// Time at which some of what is wanted may be asked for.
    next_draw: Option<MonoTime>,
    deposit_interval: Option<Duration>,
}

/// Moves tokens between this node and the others.
#[derive(Debug)]
pub struct Exchange {
    quotas: Arc<Quotas>,
    own: NodeId,
    members: Members,
    shares: Shares,
    next_refresh: Deadline,
    next_pass: Deadline,
    /// Time of the next event that this node needs, if it is sooner than the next tick.
    due: Option<Deadline>,
    active: BTreeMap<AccountName, Active>,
    in_flight: BTreeMap<RequestId, InFlight>,
    links: Map<(NodeId, Kind), Link>,
    /// Times until which nodes that have not responded are skipped.
    skipped: Map<NodeId, MonoTime>,
    last_request: RequestId,
    last_event: MonoTime,
    /// The pool that was asked last which accounts it seeks deposits for, and when.
    deposited: Option<(NodeId, MonoTime)>,
    /// Accounts to collect from the members of the domain.
    to_collect: BTreeSet<AccountName>,
    next_collect: MonoTime,
}

impl Exchange {
    /// Returns the state machine of a node that knows no other members.
    pub fn new(quotas: Arc<Quotas>, own: NodeId, domain: DomainId) -> Self {
        Self {
            quotas,
            own,
            members: Members::new(own, domain),
            shares: Shares::default(),
            next_refresh: Deadline(MonoTime(0)),
            next_pass: Deadline(MonoTime(0)),
            due: None,
            active: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            links: Map::default(),
            skipped: Map::default(),
            last_request: RequestId(0),
            last_event: MonoTime(0),
            deposited: None,
            to_collect: BTreeSet::new(),
            next_collect: MonoTime(0),
        }
    }

    /// Returns the number of nodes that accrue tokens; `None` while it is unknown.
    pub fn accruing_nodes(&self) -> Option<usize> {
        self.shares.nodes
    }

    /// Returns the time at which a tick is needed, if one is needed before the regular one.
    pub fn due(&self) -> Option<Deadline> {
        self.due
    }

    /// Processes an event and appends the resulting actions.
    pub fn on_event(&mut self, now: MonoTime, event: Event, actions: &mut Vec<Action>) {
        if self.last_event != MonoTime(0) && now.since(self.last_event) > STALL_THRESHOLD {
            let deadline = Deadline::after(now, RESPONSE_TIMEOUT);
            let waiting = self.in_flight.values_mut().filter(|request| !request.timed_out);
            waiting.for_each(|request| request.respond_by = deadline);
        }
        self.last_event = now;
        self.due.take_if(|due| due.is_past(now));
        match event {
            Event::Tick => {}
            Event::Members(view) => {
                self.members.update(now, view);
                self.next_refresh = Deadline(now);
            }
            Event::Limits(limits) => self.on_limits(now, &limits),
            Event::Responded(id, response) => self.on_response(now, id, response, actions),
            Event::Failed(id) => self.on_failed(now, id, actions),
        }
        self.refresh_shares(now, actions);
        if !self.quotas.is_empty() {
            self.expire_requests(now, actions);
            if self.next_pass.is_past(now) {
                self.exchange(now, actions);
            } else {
                self.set_due(self.next_pass);
            }
        }
    }

    fn on_limits(&mut self, now: MonoTime, limits: &[(AccountName, Limit)]) {
        self.quotas.set_limits(now, limits, &self.shares);
        self.active.retain(|name, active| {
            let current = self.quotas.bucket(name);
            current.is_some_and(|bucket| Arc::ptr_eq(&bucket, &active.bucket))
        });
    }

    fn refresh_shares(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        if !self.next_refresh.is_past(now) {
            return;
        }
        self.next_refresh = Deadline::after(now, REFRESH_INTERVAL);
        let shares = self.members.shares(now);
        if shares == self.shares {
            return;
        }
        if let (None, Some(nodes)) = (self.shares.nodes, shares.nodes) {
            actions.push(Action::Accruing(nodes));
        }
        self.shares = shares;
        self.quotas.set_shares(now, &shares);
    }

    /// Serves a request of another node. The response must be sent at most once.
    pub fn serve(
        &mut self,
        now: MonoTime,
        request: &Request,
        actions: &mut Vec<Action>,
    ) -> Response {
        let mut response = Response::default();
        for Amount { account, tokens } in &request.deposits {
            // A node that does not have the version with the limit yet drops the tokens.
            if let Some(active) = self.activate(account) {
                active.pool_until = now + POOL_TIME;
                let mut state = active.bucket.lock();
                state.set_pool(now, true);
                state.add(now, *tokens);
            }
        }
        for Amount { account, tokens } in &request.wants {
            let grant = match request.kind {
                Kind::Draw | Kind::Deposit => self.grant_to_node(now, account, *tokens),
                Kind::Pool => self.grant_to_pool(now, account, *tokens),
                Kind::Collect => self.grant_collected(now, account),
            };
            response.grants.extend(grant);
        }
        if request.kind == Kind::Deposit {
            response.sought = self.sought(now);
        }
        // Draws from other pools what is missing; the rest is left to the next tick.
        let mut draws = BTreeMap::new();
        for Amount { account, .. } in &request.wants {
            let Some(active) = self.active.get(account).filter(|a| a.pool_until > now) else {
                continue;
            };
            let view = active.bucket.lock().view(now);
            self.draw_as_pool(now, account, &view, &mut draws);
        }
        self.send_draws(now, draws, actions);
        self.collect(now, actions);
        response
    }

    /// Returns the accounts for which this node seeks deposits.
    fn sought(&mut self, now: MonoTime) -> Vec<AccountName> {
        let window = self.quotas.window();
        let mut sought = Vec::new();
        for (name, active) in &mut self.active {
            let demanded_at = active.bucket.lock().demanded_at();
            if !active.is_sought(now, window, demanded_at) {
                // The members stop their deposits, so they must be told when there is demand again.
                active.is_collected = false;
            } else if sought.len() < MAX_ACCOUNTS_PER_MESSAGE {
                sought.push(name.clone());
            }
        }
        sought
    }

    fn activate(&mut self, account: &AccountName) -> Option<&mut Active> {
        if !self.active.contains_key(account) {
            let bucket = self.quotas.bucket(account)?;
            bucket.lock().active = true;
            self.active.insert(account.clone(), Active::new(bucket));
        }
        self.active.get_mut(account)
    }

    /// Marks an account for collection if the members were not told yet that deposits are sought.
    fn seek(active: &mut Active, to_collect: &mut BTreeSet<AccountName>) {
        if !std::mem::replace(&mut active.is_collected, true) {
            to_collect.insert(active.bucket.name.clone());
        }
    }

    /// Grants tokens to a node of this domain, for which this node is the pool.
    fn grant_to_node(
        &mut self,
        now: MonoTime,
        account: &AccountName,
        want: Tokens,
    ) -> Option<Grant> {
        let shares = self.shares;
        self.activate(account)?;
        let active = self.active.get_mut(account)?;
        Self::seek(active, &mut self.to_collect);
        active.wanted_at = Some(now);
        active.pool_until = now + POOL_TIME;
        let mut state = active.bucket.lock();
        state.set_pool_wanted(now);
        let view = state.view(now);
        let tokens = whole_grant(&mut state, want, (view.stock - view.waiting).max(0.0));
        drop(state);
        active.granted.add(now, tokens.calls());
        let missing = want.calls() - tokens.calls();
        if missing <= 0.0 {
            return Some(grant(account, tokens, Duration::ZERO));
        }
        active.unmet.add(now, missing);
        let is_asking = active.asked >= 0.001;
        let has_sources = is_asking || !self.draw_sources(now, account).is_empty();
        let active = self.active.get_mut(account)?;
        let is_collecting = has_sources || self.to_collect.contains(account);
        let retry_after = if is_collecting {
            COLLECTING_RETRY
        } else {
            time_to_accrue(active.unmet.get(now), view.rate * reachable_share(&shares))
        };
        Some(grant(account, tokens, retry_after))
    }

    /// Grants tokens to the pool of another domain, beyond what this domain needs.
    fn grant_to_pool(
        &mut self,
        now: MonoTime,
        account: &AccountName,
        want: Tokens,
    ) -> Option<Grant> {
        let shares = self.shares;
        self.activate(account)?;
        let active = self.active.get_mut(account)?;
        Self::seek(active, &mut self.to_collect);
        active.wanted_elsewhere_at = Some(now);
        active.pool_until = now + POOL_TIME;
        let mut state = active.bucket.lock();
        state.set_pool_wanted(now);
        let view = state.view(now);
        let reserved =
            view.waiting + active.unmet.get(now) + active.granted.rate(now) * POOL_RESERVE_S;
        let tokens = state.remove(want.min(Tokens::at_most(view.stock - reserved)));
        let missing = want.calls() - tokens.calls();
        let retry_after = if missing <= 0.0 {
            Duration::ZERO
        } else if self.to_collect.contains(account) {
            COLLECTING_RETRY
        } else {
            time_to_accrue(missing, view.rate * shares.domain)
        };
        Some(grant(account, tokens, retry_after))
    }

    /// Grants all tokens that this node does not need to the pool of its domain.
    fn grant_collected(&mut self, now: MonoTime, account: &AccountName) -> Option<Grant> {
        let active = self.activate(account)?;
        active.sought_until = now + SOUGHT_TIME;
        let mut state = active.bucket.lock();
        let spare = state.view(now).spare;
        let tokens = state.remove(Tokens::at_most(spare));
        (tokens.0 > 0).then(|| grant(account, tokens, Duration::ZERO))
    }

    fn is_skipped(&self, now: MonoTime, id: NodeId) -> bool {
        self.skipped.get(&id).is_some_and(|until| *until > now)
    }

    /// Returns the pools that this node, being a pool, may ask for tokens now.
    fn draw_sources(&self, now: MonoTime, account: &AccountName) -> Vec<NodeId> {
        let skipped = |id| self.is_skipped(now, id);
        let mut sources = self.members.other_pools(account, skipped);
        let own_pool = self.members.own_pool(account, skipped);
        if own_pool != self.own {
            sources.push(own_pool);
        }
        let empty_until = self.active.get(account).map(|active| &active.empty_until);
        sources.retain(|id| {
            empty_until.and_then(|until| until.get(id)).is_none_or(|until| *until <= now)
        });
        sources
    }

    fn on_response(
        &mut self,
        now: MonoTime,
        id: RequestId,
        response: Response,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.end_request(id) else { return };
        // The node responds after all.
        self.skipped.remove(&request.to);
        let Response { grants, sought } = response;
        let mut granted = false;
        for Grant { account, tokens, retry_after } in grants {
            let Some(active) = self.active.get_mut(&account) else { continue };
            let mut state = active.bucket.lock();
            state.add(now, tokens);
            granted |= tokens.0 > 0;
            match request.kind {
                Kind::Draw | Kind::Deposit => {
                    active.next_draw = now + retry_after;
                    if retry_after > WORTH_WAITING {
                        state.set_refuse_until(now + retry_after);
                        granted = true;
                    }
                }
                Kind::Pool if retry_after > Duration::ZERO => {
                    active.empty_until.insert(request.to, now + retry_after);
                }
                Kind::Pool | Kind::Collect => {}
            }
        }
        if request.kind == Kind::Deposit {
            self.on_sought(now, request.to, &sought);
        }
        if granted {
            actions.push(Action::Granted);
        }
    }

    /// Replaces the accounts for which a pool seeks deposits.
    fn on_sought(&mut self, now: MonoTime, pool: NodeId, sought: &[AccountName]) {
        let members = &self.members;
        let of_pool = |name: &AccountName| members.own_pool(name, |_| false) == pool;
        for (_, active) in self.active.iter_mut().filter(|(name, _)| of_pool(name)) {
            active.sought_until = active.sought_until.min(now);
        }
        for account in sought {
            if let Some(active) = self.activate(account) {
                active.sought_until = now + SOUGHT_TIME;
            }
        }
    }

    fn on_failed(&mut self, now: MonoTime, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.end_request(id) else { return };
        if !request.timed_out && request.kind != Kind::Collect {
            self.skip(now, request.to, actions);
        }
    }

    fn skip(&mut self, now: MonoTime, id: NodeId, actions: &mut Vec<Action>) {
        self.skipped.retain(|_, until| *until > now);
        self.skipped.insert(id, now + SKIP_TIME);
        actions.push(Action::Skipped(id));
    }

    fn end_request(&mut self, id: RequestId) -> Option<InFlight> {
        let request = self.in_flight.remove(&id)?;
        if !request.timed_out {
            self.release(id, &request);
        }
        Some(request)
    }

    /// Allows the next request after a response or the lack of one.
    fn release(&mut self, id: RequestId, request: &InFlight) {
        if let Some(link) = self.links.get_mut(&(request.to, link_kind(request.kind))) {
            link.in_flight.take_if(|in_flight| *in_flight == id);
        }
        if request.kind == Kind::Pool {
            for Amount { account, tokens } in &request.wants {
                if let Some(active) = self.active.get_mut(account) {
                    active.asked = (active.asked - tokens.calls()).max(0.0);
                }
            }
        }
    }

    fn expire_requests(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        let late = |request: &InFlight| !request.timed_out && request.respond_by.is_past(now);
        let expired: Vec<_> =
            self.in_flight.iter().filter(|(_, r)| late(r)).map(|(id, _)| *id).collect();
        for id in expired {
            let Some(mut request) = self.in_flight.remove(&id) else { continue };
            self.release(id, &request);
            request.timed_out = true;
            if request.kind != Kind::Collect {
                self.skip(now, request.to, actions);
            }
            // The response may still arrive, with tokens.
            self.in_flight.insert(id, request);
        }
    }

    fn set_due(&mut self, at: Deadline) {
        self.due = Some(self.due.map_or(at, |due| due.min(at)));
    }

    /// Draws and deposits what is due.
    fn exchange(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        self.next_pass = Deadline::after(now, MIN_PASS_INTERVAL);
        self.due = None;
        for bucket in self.quotas.take_activated() {
            let name = bucket.name.clone();
            self.active.entry(name).or_insert_with(|| Active::new(bucket));
        }
        let window = self.quotas.window();
        let mut batches: BTreeMap<NodeId, Batch> = BTreeMap::new();
        let mut draws: BTreeMap<NodeId, Vec<Amount>> = BTreeMap::new();
        let mut idle = Vec::new();
        let mut has_tokens_for_waiting = false;
        let mut as_pool = Vec::new();
        let candidates = self.members.own_candidates(|id| self.is_skipped(now, id));
        for (name, active) in &mut self.active {
            let pool = choose(&candidates, name).unwrap_or(self.own);
            let is_pool = pool == self.own || active.pool_until > now;
            let mut state = active.bucket.lock();
            state.set_pool(now, is_pool);
            let view = state.view(now);
            has_tokens_for_waiting |= view.waiting > 0.0 && view.stock >= 1.0;
            if active.is_idle(now, window, &view) {
                state.active = false;
                idle.push(name.clone());
                continue;
            }
            let filling_time = state.filling_time();
            drop(state);
            if is_pool {
                as_pool.push((name.clone(), view));
                continue;
            }
            let batch = batches.entry(pool).or_default();
            if view.want > 0.0 {
                batch.is_urgent |= now >= active.next_draw;
                batch.next_draw = Some(match batch.next_draw {
                    Some(next) => next.min(active.next_draw),
                    None => active.next_draw,
                });
                push(&mut batch.wants, name, Tokens::at_least(view.want));
            }
            if active.sought_until > now && view.spare >= 0.001 {
                push(&mut batch.deposits, name, Tokens::at_most(view.spare));
                let interval = batch.deposit_interval.unwrap_or(DEPOSIT_INTERVAL);
                batch.deposit_interval = Some(interval.min(filling_time.mul_f64(DEPOSIT_FILL)));
            }
        }
        for name in idle {
            self.active.remove(&name);
        }
        for (name, view) in as_pool {
            self.draw_as_pool(now, &name, &view, &mut draws);
        }
        if has_tokens_for_waiting {
            actions.push(Action::Granted);
        }
        self.ask_for_sought(now, &mut batches);
        for (pool, batch) in batches {
            self.send_batch(now, pool, batch, actions);
        }
        self.send_draws(now, draws, actions);
        self.collect(now, actions);
    }

    /// Asks a pool once which accounts it seeks deposits for when it is used for the first time.
    fn ask_for_sought(&self, now: MonoTime, batches: &mut BTreeMap<NodeId, Batch>) {
        let Some(first) = self.members.own_domain().iter().find(|id| !self.is_skipped(now, **id))
        else {
            return;
        };
        let asked = self.deposited.is_some_and(|(pool, _)| pool == *first);
        if *first != self.own && !asked && self.shares.nodes.is_some() {
            let batch = batches.entry(*first).or_default();
            batch.deposit_interval = Some(Duration::ZERO);
        }
    }

    fn send_batch(&mut self, now: MonoTime, pool: NodeId, batch: Batch, actions: &mut Vec<Action>) {
        let Batch { wants, deposits, is_urgent, next_draw, deposit_interval } = batch;
        let deposited_at = self.deposited.filter(|(to, _)| *to == pool).map(|(_, at)| at);
        let is_deposit = deposit_interval.is_some_and(|interval| {
            let interval = interval.clamp(MIN_DEPOSIT_INTERVAL, DEPOSIT_INTERVAL);
            deposited_at.is_none_or(|at| now.since(at) >= interval)
        });
        if !is_urgent && !is_deposit {
            if let Some(at) = next_draw {
                self.set_due(Deadline(at));
            }
            return;
        }
        if !self.may_send(now, pool, Kind::Draw) {
            // A response leads to the next pass, too.
            let next = self.links.get(&(pool, Kind::Draw)).map(|link| link.next_request);
            if let Some(at) = next.filter(|at| *at > now) {
                self.set_due(Deadline(at));
            }
            return;
        }
        // A pool tells which accounts it seeks deposits for only in responses to deposits.
        let window = self.quotas.window();
        let is_untold = deposited_at.is_none_or(|at| now.since(at) >= window);
        let kind = if is_deposit || is_untold { Kind::Deposit } else { Kind::Draw };
        if kind == Kind::Deposit {
            self.deposited = Some((pool, now));
        }
        let mut given = Vec::new();
        for Amount { account, tokens } in deposits {
            let Some(active) = self.active.get(&account) else { continue };
            let tokens = active.bucket.lock().remove(tokens);
            if tokens.0 > 0 {
                given.push(Amount { account, tokens });
            }
        }
        self.send(now, pool, Request { kind, deposits: given, wants }, actions);
    }

    /// Notes what this node, being a pool, asks of the other pools.
    fn draw_as_pool(
        &mut self,
        now: MonoTime,
        name: &AccountName,
        view: &View,
        draws: &mut BTreeMap<NodeId, Vec<Amount>>,
    ) {
        let Some(active) = self.active.get_mut(name) else { return };
        let needed = active.unmet.get(now) + view.waiting;
        let reserve = (active.granted.rate(now) * POOL_RESERVE_S).min(view.rate * POOL_RESERVE_S);
        let is_short = needed > view.stock || view.stock < reserve / 2.0 || view.want > 0.0;
        if !is_short {
            return;
        }
        Self::seek(active, &mut self.to_collect);
        let missing = (needed + reserve - view.stock).max(view.want);
        let missing = missing.min(view.room.max(needed - view.stock) - active.asked);
        if missing <= 0.001 {
            return;
        }
        let mut sources = self.draw_sources(now, name);
        sources.retain(|id| self.may_send(now, *id, Kind::Pool));
        let Some(active) = self.active.get_mut(name).filter(|_| !sources.is_empty()) else {
            return;
        };
        // A part from each, but at least one call: fractions do not serve a call.
        let part = (missing / sources.len() as f64).max(missing.min(1.0));
        for id in sources {
            let wants = draws.entry(id).or_default();
            if wants.len() < MAX_ACCOUNTS_PER_MESSAGE {
                let tokens = Tokens::at_least(part);
                active.asked += tokens.calls();
                wants.push(Amount { account: name.clone(), tokens });
            }
        }
    }

    fn send_draws(
        &mut self,
        now: MonoTime,
        draws: BTreeMap<NodeId, Vec<Amount>>,
        actions: &mut Vec<Action>,
    ) {
        for (pool, wants) in draws {
            let request = Request { kind: Kind::Pool, deposits: Vec::new(), wants };
            self.send(now, pool, request, actions);
        }
    }

    /// Collects the tokens of accounts that have demand anew from the members of this domain.
    fn collect(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        if self.to_collect.is_empty() || now < self.next_collect {
            return;
        }
        self.next_collect = now + COLLECT_INTERVAL;
        let mut wants = Vec::new();
        for account in std::mem::take(&mut self.to_collect) {
            push(&mut wants, &account, Tokens(u64::MAX));
        }
        for id in self.members.own_domain().to_vec() {
            if id != self.own && !self.is_skipped(now, id) {
                let wants = wants.clone();
                let request = Request { kind: Kind::Collect, deposits: Vec::new(), wants };
                self.send(now, id, request, actions);
            }
        }
    }

    fn may_send(&self, now: MonoTime, to: NodeId, kind: Kind) -> bool {
        let link = self.links.get(&(to, kind));
        link.is_none_or(|link| link.in_flight.is_none() && now >= link.next_request)
    }

    fn send(&mut self, now: MonoTime, to: NodeId, request: Request, actions: &mut Vec<Action>) {
        let id = RequestId(self.last_request.0 + 1);
        self.last_request = id;
        let link = self.links.entry((to, link_kind(request.kind))).or_default();
        link.in_flight = Some(id);
        link.next_request = now + MIN_REQUEST_INTERVAL;
        let in_flight = InFlight {
            to,
            kind: request.kind,
            wants: request.wants.clone(),
            respond_by: Deadline::after(now, RESPONSE_TIMEOUT),
            timed_out: false,
        };
        self.in_flight.insert(id, in_flight);
        actions.push(Action::Send { id, to, request });
    }
}

/// Returns the kind whose link a request uses: draws and deposits share one, so that one of them is
/// in flight at a time.
fn link_kind(kind: Kind) -> Kind {
    if kind == Kind::Deposit { Kind::Draw } else { kind }
}

fn push(list: &mut Vec<Amount>, account: &AccountName, tokens: Tokens) {
    if list.len() < MAX_ACCOUNTS_PER_MESSAGE && tokens.0 > 0 {
        list.push(Amount { account: account.clone(), tokens });
    }
}

fn grant(account: &AccountName, tokens: Tokens, retry_after: Duration) -> Grant {
    Grant { account: account.clone(), tokens, retry_after }
}

/// Removes what is wanted from a stock, or as many whole calls as are available: a fraction would
/// not serve a call at the other node.
fn whole_grant(state: &mut State, want: Tokens, available: f64) -> Tokens {
    let available = Tokens::at_most(available);
    if want <= available {
        state.remove(want)
    } else {
        state.remove(Tokens(available.0 / 1000 * 1000))
    }
}

/// Returns the time in which `tokens` accrue at a rate.
fn time_to_accrue(tokens: f64, rate: f64) -> Duration {
    let max = MAX_EMPTY_TIME.as_secs_f64();
    Duration::from_secs_f64((tokens / rate.max(1e-9)).min(max)).max(COLLECTING_RETRY)
}

/// Returns the share of the limit that reaches this node's pool.
fn reachable_share(shares: &Shares) -> f64 {
    (shares.domain * shares.pools as f64).clamp(shares.domain, 1.0)
}
