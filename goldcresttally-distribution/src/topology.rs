//! Which nodes poll the configuration table, and to which nodes each one pushes versions.

use std::cmp::Reverse;

use goldcresttally_core::{BitRate, DomainId, Map, NodeId, rendezvous};

/// A live member of the cluster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The node.
    pub id: NodeId,
    /// Its failure domain.
    pub domain: DomainId,
    /// The rate of its link; 0 if unknown.
    pub link: BitRate,
    /// Whether it is expected to stay: it is neither leaving nor suspected to have failed.
    pub stays: bool,
}

impl Peer {
    /// Returns a member that stays, with a link of unknown rate.
    pub fn new(id: NodeId, domain: DomainId) -> Self {
        Self { id, domain, link: BitRate::default(), stays: true }
    }

    /// Returns the sort key that puts the most suitable relays of versions first: members that
    /// stay, then those with faster links, by powers of two, then in rendezvous-hash order.
    fn order(&self) -> impl Ord + use<> {
        let weight = rendezvous::weight(self.id, self.domain.as_str());
        (!self.stays, Reverse(self.link.0.checked_ilog2()), Reverse(weight), self.id)
    }
}

/// The live members by failure domain, each domain in the order of their suitability.
///
/// The first members of a domain poll the table. The members of a domain form a tree in which the
/// member at position `i` pushes versions to those at `fanout * i + 1` to `fanout * i + fanout`.
#[derive(Debug, Clone, Default)]
pub struct Topology {
    own: Option<Peer>,
    domains: Map<DomainId, Vec<NodeId>>,
    domain_of: Map<NodeId, DomainId>,
}

impl Topology {
    /// Builds the topology from this node and the other live members.
    pub fn new(own: &Peer, others: &[Peer]) -> Self {
        let mut members: Vec<&Peer> = others.iter().chain([own]).collect();
        members.sort_by_cached_key(|peer| peer.order());
        members.dedup_by_key(|peer| peer.id);
        let mut domains: Map<DomainId, Vec<NodeId>> = Map::default();
        let mut domain_of = Map::default();
        for peer in members {
            domains.entry(peer.domain.clone()).or_default().push(peer.id);
            domain_of.insert(peer.id, peer.domain.clone());
        }
        Self { own: Some(own.clone()), domains, domain_of }
    }

    /// Returns the members of this node's domain in order, including this node.
    pub fn own_domain(&self) -> &[NodeId] {
        let own = self.own.as_ref().and_then(|own| self.domains.get(&own.domain));
        own.map_or(&[], Vec::as_slice)
    }

    /// Returns the members of every domain in order, ordered by domain.
    pub fn domains(&self) -> Vec<(DomainId, Vec<NodeId>)> {
        let mut domains: Vec<_> =
            self.domains.iter().map(|(domain, ids)| (domain.clone(), ids.clone())).collect();
        domains.sort_unstable();
        domains
    }

    /// Returns this node's position in its domain; 0 is the root of the tree.
    pub fn position(&self) -> usize {
        let own = self.own.as_ref().map(|own| own.id);
        self.own_domain().iter().position(|id| Some(*id) == own).unwrap_or(0)
    }

    /// Returns the members to which the member at `position` pushes versions.
    pub fn children(&self, position: usize, fanout: usize) -> &[NodeId] {
        let members = self.own_domain();
        let first = (fanout * position + 1).min(members.len());
        let last = (first + fanout).min(members.len());
        &members[first..last]
    }

    /// Returns the member that pushes versions to this node; `None` for the root.
    pub fn parent(&self, fanout: usize) -> Option<NodeId> {
        let position = self.position();
        (position > 0).then(|| self.own_domain()[(position - 1) / fanout])
    }

    /// Returns the first `per_domain` members of every other domain, ordered.
    pub fn cross_domain_targets(&self, per_domain: usize) -> Vec<NodeId> {
        let own = self.own.as_ref().map(|own| &own.domain);
        let others = self.domains.iter().filter(|(domain, _)| Some(*domain) != own);
        let mut first: Vec<_> =
            others.flat_map(|(_, members)| members.iter().take(per_domain).copied()).collect();
        first.sort_unstable();
        first
    }

    /// Returns whether `id` is in this node's domain.
    pub fn is_in_own_domain(&self, id: NodeId) -> bool {
        let own = self.own.as_ref().map(|own| &own.domain);
        self.domain_of.get(&id) == own
    }

    /// Returns whether `id` is among the first `count` members of its domain.
    pub fn is_among_first(&self, id: NodeId, count: usize) -> bool {
        let members = self.domain_of.get(&id).and_then(|domain| self.domains.get(domain));
        members.is_some_and(|members| members.iter().take(count).any(|m| *m == id))
    }

    /// Returns all other members of all domains, ordered.
    pub fn other_members(&self) -> Vec<NodeId> {
        let own = self.own.as_ref().map(|own| own.id);
        let mut ids: Vec<_> =
            self.domain_of.keys().copied().filter(|id| Some(*id) != own).collect();
        ids.sort_unstable();
        ids
    }
}
