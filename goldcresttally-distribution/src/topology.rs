//! Who polls the table, and who passes versions on to whom.

use goldcresttally_core::{DomainId, Map, NodeId, rendezvous};

/// A live member, as far as distribution needs to know it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The node.
    pub id: NodeId,
    /// Its failure domain.
    pub domain: DomainId,
}

/// The members by failure domain, each domain in rendezvous order.
///
/// The first members of a domain poll the table; all of them form a tree in which the member at
/// position `i` passes versions on to those at `fanout * i + 1` to `fanout * i + fanout`.
#[derive(Debug, Clone, Default)]
pub struct Topology {
    own: Option<Peer>,
    domains: Map<DomainId, Vec<NodeId>>,
    domain_of: Map<NodeId, DomainId>,
}

impl Topology {
    /// Builds the topology from this node and the other live members.
    pub fn new(own: &Peer, others: &[Peer]) -> Self {
        let mut domains: Map<DomainId, Vec<NodeId>> = Map::default();
        let mut domain_of = Map::default();
        for peer in others.iter().chain([own]) {
            domains.entry(peer.domain.clone()).or_default().push(peer.id);
            domain_of.insert(peer.id, peer.domain.clone());
        }
        for (domain, members) in &mut domains {
            members.sort_by_cached_key(|id| {
                (std::cmp::Reverse(rendezvous::weight(id, domain.as_str())), *id)
            });
            members.dedup();
        }
        Self { own: Some(own.clone()), domains, domain_of }
    }

    /// Returns the members of this node's domain, this node included, in order.
    pub fn own_domain(&self) -> &[NodeId] {
        let own = self.own.as_ref().and_then(|own| self.domains.get(&own.domain));
        own.map_or(&[], Vec::as_slice)
    }

    /// Returns this node's position in its domain.
    pub fn position(&self) -> usize {
        let own = self.own.as_ref().map(|own| own.id);
        self.own_domain().iter().position(|id| Some(*id) == own).unwrap_or(0)
    }

    /// Returns the members to which the member at `position` passes versions on.
    pub fn children(&self, position: usize, fanout: usize) -> &[NodeId] {
        let members = self.own_domain();
        let first = (fanout * position + 1).min(members.len());
        let last = (first + fanout).min(members.len());
        &members[first..last]
    }

    /// Returns the member from which this node should get versions; `None` at the root.
    pub fn parent(&self, fanout: usize) -> Option<NodeId> {
        let position = self.position();
        (position > 0).then(|| self.own_domain()[(position - 1) / fanout])
    }

    /// Returns the first `links` members of every other domain, ordered.
    pub fn cross_domain_targets(&self, fanout: usize) -> Vec<NodeId> {
        let own = self.own.as_ref().map(|own| &own.domain);
        let others = self.domains.iter().filter(|(domain, _)| Some(*domain) != own);
        let mut first: Vec<_> =
            others.flat_map(|(_, members)| members.iter().take(fanout).copied()).collect();
        first.sort_unstable();
        first
    }

    /// Tells whether `id` is in this node's domain.
    pub fn is_in_own_domain(&self, id: NodeId) -> bool {
        let own = self.own.as_ref().map(|own| &own.domain);
        self.domain_of.get(&id) == own
    }

    /// Tells whether `id` is among the first `count` members of its domain.
    pub fn is_among_first(&self, id: NodeId, count: usize) -> bool {
        let members = self.domain_of.get(&id).and_then(|domain| self.domains.get(domain));
        members.is_some_and(|members| members.iter().take(count).any(|m| *m == id))
    }

    /// Returns all other members, ordered.
    pub fn other_members(&self) -> Vec<NodeId> {
        let own = self.own.as_ref().map(|own| own.id);
        let mut ids: Vec<_> =
            self.domain_of.keys().copied().filter(|id| Some(*id) != own).collect();
        ids.sort_unstable();
        ids
    }
}
