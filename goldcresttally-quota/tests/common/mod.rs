//! A simulated fleet whose nodes exchange tokens over a network with small random delays.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use goldcresttally_core::{AccountName, DomainId, MonoTime, NodeId, Rate};
use goldcresttally_quota::{
    Action, Decision, Event, Exchange, Limit, Member, MembersView, Options, Quotas, Request,
    RequestId, Response,
};

/// Interval of ticks, in microseconds.
const TICK_US: u64 = 50_000;

/// Time after which members learn of a change, in microseconds.
const GOSSIP_US: u64 = 1_500_000;

/// Time after which a killed node is believed to be dead, in microseconds.
const DEATH_NOTICED_US: u64 = 5_000_000;

/// Time for which a call waits for a token, in microseconds.
const MAX_WAIT_US: u64 = 150_000;

/// Time after which a request without a response fails, in microseconds.
const REQUEST_FAILS_US: u64 = 1_500_000;

pub const SLACK: f64 = 20.0;
pub const OVERAGE: f64 = 0.1;
pub const WINDOW_US: u64 = 5_000_000;

pub fn node(n: usize) -> NodeId {
    NodeId(format!("127.0.{}.{}:7400", n / 200, n % 200 + 1).parse().unwrap())
}

pub fn name(text: &str) -> AccountName {
    text.parse().unwrap()
}

pub fn limit(rate: f64, burst: f64) -> Limit {
    Limit { rate: Rate(rate), burst }
}

/// Returns accounts with a Zipf-like distribution of usual rates that sum up to `total`, and their
/// limits: 1.6 times the usual rate, and a burst of a second of that.
pub fn zipf_accounts(count: usize, total: f64) -> Vec<(AccountName, f64, Limit)> {
    let weight = |k: usize| 1.0 / (k as f64).powf(1.2);
    let sum: f64 = (1..=count).map(weight).sum();
    let account = |k: usize| {
        let usual = total * weight(k) / sum;
        (name(&format!("account-{k}")), usual, limit(usual * 1.6, usual * 1.6))
    };
    (1..=count).map(account).collect()
}

#[derive(Debug, Clone)]
enum Delivery {
    Tick,
    Request { from: usize, process: u32, id: RequestId, request: Request },
    Response { process: u32, id: RequestId, response: Response },
    Fails { process: u32, id: RequestId },
    Members,
    WaitEnds,
    Due,
}

struct Waiting {
    account: AccountName,
    until_us: u64,
}

struct Node {
    quotas: Arc<Quotas>,
    exchange: Exchange,
    /// Number of the process; a restart starts the next one.
    process: u32,
    is_up: bool,
    has_left: bool,
    paused_until_us: u64,
    /// Time of the next event that the exchange has asked for.
    due_us: u64,
    waiting: VecDeque<Waiting>,
}

/// What callers of an account got.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub served: u64,
    pub refused: u64,
}

pub struct Fleet {
    pub now_us: u64,
    domains: usize,
    nodes: Vec<Node>,
    index: BTreeMap<NodeId, usize>,
    limits: Vec<(AccountName, Limit)>,
    events: BTreeMap<(u64, u64), (usize, Delivery)>,
    serial: u64,
    pub rng: fastrand::Rng,
    /// Share of the messages that are lost.
    pub loss: f64,
    /// Nodes that reach only each other.
    pub cut_off: BTreeSet<usize>,
    /// Times at which calls of each account were served.
    pub served_at: BTreeMap<AccountName, Vec<u64>>,
    pub outcomes: BTreeMap<AccountName, Outcome>,
    pub messages: u64,
    pub waits_us: Vec<u64>,
    /// Times since which members believe that a node is dead.
    dead_since: BTreeMap<usize, u64>,
}

impl Fleet {
    pub fn start(count: usize, domains: usize, limits: &[(AccountName, Limit)], seed: u64) -> Self {
        let mut fleet = Self {
            now_us: 1_000_000,
            domains,
            nodes: Vec::new(),
            index: BTreeMap::new(),
            limits: limits.to_vec(),
            events: BTreeMap::new(),
            serial: 0,
            rng: fastrand::Rng::with_seed(seed),
            loss: 0.0,
            cut_off: BTreeSet::new(),
            served_at: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            messages: 0,
            waits_us: Vec::new(),
            dead_since: BTreeMap::new(),
        };
        for _ in 0..count {
            fleet.add_node();
        }
        fleet.announce_members(0);
        fleet
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    pub fn domain(&self, n: usize) -> usize {
        n % self.domains
    }

    fn domain_id(&self, n: usize) -> DomainId {
        format!("d{}", self.domain(n)).parse().unwrap()
    }

    fn fresh(&self, n: usize) -> (Arc<Quotas>, Exchange) {
        let options = Options { slack: SLACK, window: Duration::from_micros(WINDOW_US) };
        let quotas = Arc::new(Quotas::new(options));
        let mut exchange = Exchange::new(Arc::clone(&quotas), node(n), self.domain_id(n));
        let limits = Event::Limits(self.limits.clone());
        exchange.on_event(MonoTime(self.now_us), limits, &mut Vec::new());
        (quotas, exchange)
    }

    /// Adds a node; the others learn of it by gossip.
    pub fn add_node(&mut self) -> usize {
        let n = self.nodes.len();
        let (quotas, exchange) = self.fresh(n);
        self.index.insert(node(n), n);
        self.nodes.push(Node {
            quotas,
            exchange,
            process: 0,
            is_up: true,
            has_left: false,
            paused_until_us: 0,
            due_us: u64::MAX,
            waiting: VecDeque::new(),
        });
        let offset = self.rng.u64(0..TICK_US);
        self.schedule(offset, n, Delivery::Tick);
        n
    }

    /// Lets all nodes learn the current members within `delay_us`.
    pub fn announce_members(&mut self, delay_us: u64) {
        for n in 0..self.nodes.len() {
            let delay = if delay_us == 0 { 0 } else { self.rng.u64(0..delay_us) };
            self.schedule(delay, n, Delivery::Members);
        }
    }

    pub fn join(&mut self) -> usize {
        let n = self.add_node();
        self.schedule(0, n, Delivery::Members);
        self.announce_members(GOSSIP_US);
        n
    }

    pub fn leave(&mut self, n: usize) {
        self.nodes[n].is_up = false;
        self.nodes[n].has_left = true;
        self.announce_members(GOSSIP_US);
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n].is_up = false;
        self.nodes[n].waiting.clear();
        let noticed = self.now_us + DEATH_NOTICED_US;
        self.dead_since.insert(n, noticed);
        for m in 0..self.nodes.len() {
            let delay = DEATH_NOTICED_US + self.rng.u64(0..GOSSIP_US);
            self.schedule(delay, m, Delivery::Members);
        }
    }

    /// Starts a new process of a killed node.
    pub fn restart(&mut self, n: usize) {
        let (quotas, exchange) = self.fresh(n);
        let node = &mut self.nodes[n];
        (node.quotas, node.exchange) = (quotas, exchange);
        node.process += 1;
        node.is_up = true;
        node.due_us = u64::MAX;
        node.waiting.clear();
        self.dead_since.remove(&n);
        self.schedule(300_000, n, Delivery::Members);
        self.schedule(0, n, Delivery::Tick);
        self.announce_members(GOSSIP_US);
    }

    pub fn pause(&mut self, n: usize, time_us: u64) {
        self.nodes[n].paused_until_us = self.now_us + time_us;
    }

    /// Cuts a set of nodes off from the others; members notice it after some seconds.
    pub fn cut(&mut self, nodes: impl IntoIterator<Item = usize>) {
        self.cut_off = nodes.into_iter().collect();
        for m in 0..self.nodes.len() {
            let delay = DEATH_NOTICED_US + self.rng.u64(0..GOSSIP_US);
            self.schedule(delay, m, Delivery::Members);
        }
    }

    pub fn heal(&mut self) {
        self.cut_off.clear();
        self.announce_members(GOSSIP_US);
    }

    pub fn set_limits(&mut self, limits: &[(AccountName, Limit)]) {
        self.limits = limits.to_vec();
        for n in 0..self.nodes.len() {
            if self.nodes[n].is_up {
                self.feed(n, Event::Limits(limits.to_vec()));
            }
        }
    }

    /// Returns the number of nodes that the exchange at node `n` counts.
    pub fn accruing(&self, n: usize) -> Option<usize> {
        self.nodes[n].exchange.accruing_nodes()
    }

    pub fn is_up(&self, n: usize) -> bool {
        self.nodes[n].is_up
    }

    fn schedule(&mut self, delay_us: u64, to: usize, delivery: Delivery) {
        self.serial += 1;
        self.events.insert((self.now_us + delay_us, self.serial), (to, delivery));
    }

    fn view(&self, n: usize) -> MembersView {
        let same_side = |m: usize| self.cut_off.contains(&m) == self.cut_off.contains(&n);
        let mut domains: BTreeMap<DomainId, Vec<NodeId>> = BTreeMap::new();
        let (mut dead, mut left) = (Vec::new(), Vec::new());
        for (m, other) in self.nodes.iter().enumerate() {
            let noticed = self.dead_since.get(&m).is_some_and(|since| *since <= self.now_us);
            let member = Member { id: node(m), domain: self.domain_id(m) };
            if other.has_left {
                left.push(member.id);
            } else if (noticed || !same_side(m)) && m != n {
                dead.push(member);
            } else {
                domains.entry(member.domain).or_default().push(member.id);
            }
        }
        MembersView { domains: domains.into_iter().collect(), dead, left, listed: 0, joined: true }
    }

    fn feed(&mut self, n: usize, event: Event) {
        let mut actions = Vec::new();
        let now = MonoTime(self.now_us);
        self.nodes[n].exchange.on_event(now, event, &mut actions);
        self.perform(n, actions);
    }

    fn perform(&mut self, n: usize, actions: Vec<Action>) {
        let due_us = self.nodes[n].exchange.due().map_or(u64::MAX, |due| due.0.0);
        if due_us < self.nodes[n].due_us {
            self.nodes[n].due_us = due_us;
            self.schedule(due_us.saturating_sub(self.now_us), n, Delivery::Due);
        }
        for action in actions {
            match action {
                Action::Send { id, to, request } => {
                    let process = self.nodes[n].process;
                    self.schedule(REQUEST_FAILS_US, n, Delivery::Fails { process, id });
                    let to = self.index[&to];
                    self.transmit(n, to, Delivery::Request { from: n, process, id, request });
                }
                Action::Granted => self.decide_waiting(n),
                Action::Skipped(_) | Action::Accruing(_) => {}
            }
        }
    }

    fn transmit(&mut self, from: usize, to: usize, delivery: Delivery) {
        self.messages += 1;
        let is_cut = self.cut_off.contains(&from) != self.cut_off.contains(&to);
        if is_cut || self.rng.f64() < self.loss {
            return;
        }
        let delay = self.rng.u64(300..3000);
        self.schedule(delay, to, delivery);
    }

    /// Advances the time, processing all that happens meanwhile.
    pub fn run_until(&mut self, until_us: u64) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > until_us {
                break;
            }
            let ((at, _), (to, delivery)) = entry.remove_entry();
            self.now_us = self.now_us.max(at);
            self.deliver(to, delivery);
        }
        self.now_us = until_us;
    }

    fn deliver(&mut self, to: usize, delivery: Delivery) {
        let paused_until_us = self.nodes[to].paused_until_us;
        if paused_until_us > self.now_us {
            // What arrives at a paused process is processed when it resumes.
            let delay = paused_until_us - self.now_us;
            return self.schedule(delay, to, delivery);
        }
        if !self.nodes[to].is_up {
            return;
        }
        match delivery {
            Delivery::Tick => {
                self.schedule(TICK_US, to, Delivery::Tick);
                self.feed(to, Event::Tick);
            }
            Delivery::Due => {
                self.nodes[to].due_us = u64::MAX;
                self.feed(to, Event::Tick);
            }
            Delivery::WaitEnds => self.expire_waiting(to),
            Delivery::Members => {
                let view = self.view(to);
                self.feed(to, Event::Members(view));
            }
            Delivery::Request { from, process, id, request } => {
                let mut actions = Vec::new();
                let now = MonoTime(self.now_us);
                let response = self.nodes[to].exchange.serve(now, &request, &mut actions);
                self.transmit(to, from, Delivery::Response { process, id, response });
                self.perform(to, actions);
            }
            Delivery::Response { process, id, response } => {
                if self.nodes[to].process == process {
                    self.feed(to, Event::Responded(id, response));
                }
            }
            Delivery::Fails { process, id } => {
                if self.nodes[to].process == process {
                    self.feed(to, Event::Failed(id));
                }
            }
        }
    }

    /// A call of an account arrives at node `n`.
    pub fn call(&mut self, n: usize, account: &AccountName) {
        let node = &self.nodes[n];
        if !node.is_up || node.paused_until_us > self.now_us {
            return;
        }
        match node.quotas.take(MonoTime(self.now_us), account) {
            Decision::Taken => self.served(account),
            Decision::Refused(after) => {
                assert!(after > Duration::ZERO);
                self.outcomes.entry(account.clone()).or_default().refused += 1;
            }
            Decision::Wait => {
                let until_us = self.now_us + MAX_WAIT_US;
                self.nodes[n].waiting.push_back(Waiting { account: account.clone(), until_us });
                self.schedule(MAX_WAIT_US, n, Delivery::WaitEnds);
                self.feed(n, Event::Tick);
            }
        }
    }

    fn served(&mut self, account: &AccountName) {
        self.served_at.entry(account.clone()).or_default().push(self.now_us);
        self.outcomes.entry(account.clone()).or_default().served += 1;
    }

    fn decide_waiting(&mut self, n: usize) {
        let now = MonoTime(self.now_us);
        self.expire_waiting(n);
        for waiting in std::mem::take(&mut self.nodes[n].waiting) {
            match self.nodes[n].quotas.take_waiting(now, &waiting.account) {
                Decision::Taken => {
                    self.waits_us.push(self.now_us + MAX_WAIT_US - waiting.until_us);
                    self.served(&waiting.account);
                }
                Decision::Wait => self.nodes[n].waiting.push_back(waiting),
                Decision::Refused(_) => {
                    self.outcomes.entry(waiting.account).or_default().refused += 1;
                }
            }
        }
    }

    fn expire_waiting(&mut self, n: usize) {
        let now = MonoTime(self.now_us);
        for waiting in std::mem::take(&mut self.nodes[n].waiting) {
            if waiting.until_us > self.now_us {
                self.nodes[n].waiting.push_back(waiting);
                continue;
            }
            assert!(self.nodes[n].quotas.end_wait(now, &waiting.account) > Duration::ZERO);
            self.outcomes.entry(waiting.account).or_default().refused += 1;
        }
    }

    /// Checks the rule over every window of an account whose calls began at `from_us` or later.
    pub fn check_rule(&self, account: &AccountName, limit: Limit, from_us: u64) {
        let Some(times) = self.served_at.get(account) else { return };
        let window_s = WINDOW_US as f64 / 1e6;
        let max = (limit.rate.0 * window_s + limit.burst) * (1.0 + OVERAGE) + SLACK;
        let mut first = 0;
        for (last, at) in times.iter().enumerate() {
            while times[first] < from_us.max(at.saturating_sub(WINDOW_US)) && first < last {
                first += 1;
            }
            let count = (last - first + 1) as f64;
            assert!(count <= max, "{account}: {count} calls in the window up to {at}, max {max}");
        }
    }

    pub fn check_all(&self, from_us: u64) {
        for (account, limit) in &self.limits {
            self.check_rule(account, *limit, from_us);
        }
    }

    pub fn take_outcomes(&mut self) -> BTreeMap<AccountName, Outcome> {
        std::mem::take(&mut self.outcomes)
    }
}

/// Calls of one account: Poisson arrivals at nodes for which `at` holds.
pub struct Load {
    pub account: AccountName,
    pub rate: f64,
    pub nodes: Vec<usize>,
}

impl Fleet {
    /// Runs the fleet under a load for a time.
    pub fn run_load(&mut self, loads: &[Load], time_us: u64) {
        let end = self.now_us + time_us;
        let mut next: Vec<u64> = loads.iter().map(|load| self.arrival(load.rate)).collect();
        loop {
            let soonest = (0..loads.len()).min_by_key(|i| next[*i]);
            let Some(i) = soonest.filter(|i| next[*i] <= end) else { break };
            self.run_until(next[i]);
            let load = &loads[i];
            let n = load.nodes[self.rng.usize(..load.nodes.len())];
            self.call(n, &load.account);
            next[i] = self.arrival(load.rate);
        }
        self.run_until(end);
    }

    fn arrival(&mut self, rate: f64) -> u64 {
        self.now_us + (-(1.0 - self.rng.f64()).ln() / rate * 1e6) as u64
    }
}
