//! The number of nodes that accrue tokens, and the choice of pools.

use std::collections::BTreeMap;
use std::time::Duration;

use goldcresttally_core::{AccountName, Deadline, DomainId, MonoTime, NodeId, rendezvous};

/// Time for which a node that left without notice counts as accruing: it may be cut off.
const DEAD_COUNTED: Duration = Duration::from_mins(10);

/// Time for which the number of nodes must not have risen before a process relies on it. A process
/// that joins while the whole fleet starts sees a part of the members at first.
const SETTLING_TIME: Duration = Duration::from_millis(1500);

/// A rise by more than this fraction (1/16) restarts the settling time.
const SETTLED_RISE_DIVISOR: usize = 16;

/// Number of members of a domain for each node that may be chosen as a pool.
const MEMBERS_PER_POOL: usize = 64;

/// A node and its failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The node.
    pub id: NodeId,
    /// Its failure domain.
    pub domain: DomainId,
}

/// What is known of the members at a time.
#[derive(Debug, Clone, Default)]
pub struct MembersView {
    /// The live members of each domain, this node included, in the order in which they are chosen
    /// as readers of the feed.
    pub domains: Vec<(DomainId, Vec<NodeId>)>,
    /// Members that are believed to have failed.
    pub dead: Vec<Member>,
    /// Members that left in an orderly way.
    pub left: Vec<NodeId>,
    /// Number of nodes that are listed outside of the cluster; 0 if unknown.
    pub listed: usize,
    /// Whether this node has joined the members.
    pub joined: bool,
}

/// The part of this node and of its pool in the limits.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Shares {
    /// Number of nodes that accrue; `None` while unknown.
    pub nodes: Option<usize>,
    /// Live members of this node's domain, as a share of the nodes that accrue.
    pub domain: f64,
    /// Number of failure domains, each of which has a pool.
    pub pools: usize,
}

#[derive(Debug)]
struct Counted {
    domain: DomainId,
    dead_since: Option<MonoTime>,
}

/// The members as the exchange of tokens needs them.
#[derive(Debug)]
pub(crate) struct Members {
    own: NodeId,
    own_domain: DomainId,
    domains: Vec<(DomainId, Vec<NodeId>)>,
    counted: BTreeMap<NodeId, Counted>,
    listed: usize,
    joined: bool,
    settled: bool,
    /// The number of nodes at the last considerable rise, and when the settling time ends.
    settling: (usize, Deadline),
}

impl Members {
    pub fn new(own: NodeId, own_domain: DomainId) -> Self {
        Self {
            own,
            domains: vec![(own_domain.clone(), vec![own])],
            own_domain,
            counted: BTreeMap::new(),
            listed: 0,
            joined: false,
            settled: false,
            settling: (0, Deadline(MonoTime(0))),
        }
    }

    /// Replaces what is known of the members.
    pub fn update(&mut self, now: MonoTime, view: MembersView) {
        let MembersView { domains, dead, left, listed, joined } = view;
        for (domain, members) in &domains {
            for id in members {
                self.counted.insert(*id, Counted { domain: domain.clone(), dead_since: None });
            }
        }
        for id in &left {
            self.counted.remove(id);
        }
        let live = |id: &NodeId| domains.iter().any(|(_, members)| members.contains(id));
        for (id, counted) in &mut self.counted {
            if counted.dead_since.is_none() && !live(id) {
                counted.dead_since = Some(now);
            }
        }
        for Member { id, domain } in &dead {
            if !left.contains(id) {
                let first_seen = || Counted { domain: domain.clone(), dead_since: Some(now) };
                self.counted.entry(*id).or_insert_with(first_seen);
            }
        }
        // The record of a dead member may be kept for longer than it is counted.
        self.counted.retain(|id, counted| {
            counts(counted, now) || dead.iter().any(|member| member.id == *id)
        });
        self.domains = domains;
        self.listed = listed;
        self.joined = joined;
    }

    /// Returns the part of this node and its pool in the limits.
    pub fn shares(&mut self, now: MonoTime) -> Shares {
        let counted = self.counted.values().filter(|counted| counts(counted, now));
        let mut domains: Vec<_> = counted.map(|counted| &counted.domain).collect();
        let nodes = domains.len().max(self.listed).max(1);
        domains.sort_unstable();
        domains.dedup();
        let pools = domains.len().max(1);
        let domain = self.own_domain().len() as f64 / nodes as f64;
        Shares { nodes: self.is_settled(now, nodes).then_some(nodes), domain, pools }
    }

    fn is_settled(&mut self, now: MonoTime, nodes: usize) -> bool {
        if self.settled || !self.joined {
            return self.settled;
        }
        let (before, settled_at) = self.settling;
        if nodes > before + before / SETTLED_RISE_DIVISOR {
            self.settling = (nodes, Deadline::after(now, SETTLING_TIME));
        } else {
            self.settled = settled_at.is_past(now);
        }
        self.settled
    }

    /// Returns the live members of this node's domain in order.
    pub fn own_domain(&self) -> &[NodeId] {
        let own = self.domains.iter().find(|(domain, _)| *domain == self.own_domain);
        own.map_or(std::slice::from_ref(&self.own), |(_, members)| members)
    }

    /// Returns the nodes that may be pools in this node's domain, leaving out `skipped` nodes.
    pub fn own_candidates(&self, skipped: impl Fn(NodeId) -> bool) -> Vec<NodeId> {
        candidates(self.own_domain(), |id| id == self.own || !skipped(id)).collect()
    }

    /// Returns the pool of an account in this node's domain, leaving out `skipped` nodes.
    pub fn own_pool(&self, account: &AccountName, skipped: impl Fn(NodeId) -> bool) -> NodeId {
        choose(&self.own_candidates(skipped), account).unwrap_or(self.own)
    }

    /// Returns the pools of an account in the other domains, leaving out `skipped` nodes.
    pub fn other_pools(
        &self,
        account: &AccountName,
        skipped: impl Fn(NodeId) -> bool,
    ) -> Vec<NodeId> {
        let others = self.domains.iter().filter(|(domain, _)| *domain != self.own_domain);
        let pool = |members: &[NodeId]| {
            let candidates: Vec<_> = candidates(members, |id| !skipped(id)).collect();
            choose(&candidates, account)
        };
        others.filter_map(|(_, members)| pool(members)).collect()
    }
}

/// Returns whether a node may still accrue tokens.
fn counts(counted: &Counted, now: MonoTime) -> bool {
    counted.dead_since.is_none_or(|since| now.since(since) < DEAD_COUNTED)
}

/// Returns the usable members from which the pools of a domain are chosen.
fn candidates(members: &[NodeId], usable: impl Fn(NodeId) -> bool) -> impl Iterator<Item = NodeId> {
    let count = members.len().div_ceil(MEMBERS_PER_POOL);
    members.iter().copied().filter(move |id| usable(*id)).take(count)
}

/// Returns the pool of an account among the candidates.
pub(crate) fn choose(candidates: &[NodeId], account: &AccountName) -> Option<NodeId> {
    match candidates {
        [only] => Some(*only),
        _ => rendezvous::choose(candidates.iter().copied(), account.as_str()),
    }
}
