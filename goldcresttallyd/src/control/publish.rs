//! Publishes membership changes to the request path, to distribution and to other members.

use std::rc::Rc;
use std::sync::Arc;

use goldcresttally_core::{Generation, Map, ServiceName, Set};
use goldcresttally_distribution as distribution;
use goldcresttally_membership::{Event, Record, Status, UpstreamState};
use goldcresttally_proxy::peer::LocalUpstream;
use goldcresttally_proxy::state::EndpointTable;
use goldcresttally_routing::{Endpoint, Locality};

use super::driver::Control;

impl Control {
    /// Publishes the members to distribution, and their upstreams as endpoints to the request path.
    pub(super) fn publish_members(self: &Rc<Self>) {
        let (peers, records) = {
            let machines = self.machines.borrow();
            let members = machines.membership.members();
            let records: Vec<Record> =
                members.chain([machines.membership.own()]).cloned().collect();
            let own = machines.membership.own().id;
            let others = records.iter().filter(|r| r.id != own);
            let peer = |r: &Record| distribution::Peer {
                id: r.id,
                domain: r.domain.clone(),
                link: r.link,
                stays: r.status == Status::Alive && !r.leaving,
            };
            (others.map(peer).collect::<Vec<_>>(), records)
        };
        self.publish_to_exchange(&peers);
        self.on_distribution(distribution::Event::MembersChanged(peers));
        let live: Set<_> = records.iter().map(|r| r.peer).collect();
        self.links.iter().for_each(|links| links.retain(|to| live.contains(to)));
        let state = self.peer.state();
        if self.joined.get() {
            state.record_member_count(records.len().max(self.directory_nodes.borrow().len()));
        }
        let table = self.endpoint_table(&records, &state.endpoints());
        state.set_endpoints(table);
    }

    fn endpoint_table(&self, records: &[Record], current: &EndpointTable) -> EndpointTable {
        let machines = self.machines.borrow();
        let own = machines.membership.own();
        let mut lists: Map<_, Vec<Endpoint>> = Map::default();
        for record in records.iter().filter(|r| !r.leaving) {
            for upstream in &record.upstreams {
                if upstream.state == UpstreamState::Draining {
                    continue;
                }
                let list = lists.entry(upstream.service.clone()).or_default();
                let ready = upstream.state == UpstreamState::Ready;
                // Upstreams of one service on one VM form one endpoint with the sum of their slots.
                if let Some(duplicate) = list.iter_mut().find(|e| e.node == record.id) {
                    duplicate.slots += upstream.slots;
                    duplicate.ready |= ready;
                    duplicate.trial_milli = duplicate.trial_milli.max(upstream.trial_milli);
                    continue;
                }
                let known = current.get(&upstream.service).and_then(|list| {
                    let same =
                        |e: &&Endpoint| e.node == record.id && e.generation == record.generation;
                    list.iter().find(same)
                });
                list.push(Endpoint {
                    node: record.id,
                    generation: record.generation,
                    peer: record.peer,
                    locality: locality(own, record),
                    link: record.link,
                    slots: upstream.slots,
                    trial_milli: upstream.trial_milli,
                    ready,
                    ready_since: known
                        .filter(|e| e.ready)
                        .map_or_else(|| self.now(), |e| e.ready_since),
                    stats: known.map(|e| Arc::clone(&e.stats)).unwrap_or_default(),
                });
            }
        }
        lists.into_iter().map(|(service, list)| (service, Arc::from(list))).collect()
    }

    /// Publishes this node's upstreams to the request path immediately, and to the members by
    /// gossip.
    pub(super) fn publish_upstreams(self: &Rc<Self>) {
        let now = self.now();
        let current = self.machines.borrow().registry.current(now);
        let published = self.update_gate(&current);
        let is_closed = |service: &ServiceName| {
            published.as_ref().is_some_and(|p| !p.is_open && p.service == *service)
        };
        let (local, summary) = {
            let machines = self.machines.borrow();
            let local: Vec<_> = current
                .into_iter()
                .map(|a| LocalUpstream {
                    draining: a.state == UpstreamState::Draining || is_closed(&a.service),
                    service: a.service,
                    address: a.address,
                    slots: a.slots,
                    generation: a.process.as_ref().map_or(Generation(0), |p| p.generation),
                    instance: a.process.map(|p| p.instance),
                })
                .collect();
            let mut summary = machines.registry.summary(now);
            for upstream in summary.iter_mut().filter(|u| is_closed(&u.service)) {
                upstream.state = UpstreamState::Draining;
            }
            if let Some(published) = &published {
                let own = summary.iter_mut().filter(|u| u.service == published.service);
                own.for_each(|upstream| upstream.trial_milli = published.trial_milli);
            }
            (local, summary)
        };
        self.peer.set_upstreams(&local);
        self.on_membership(Event::UpstreamsChanged(summary));
        self.endpoints_stale.set(false);
        self.publish_members();
    }
}

fn locality(own: &Record, other: &Record) -> Locality {
    if own.id == other.id {
        return Locality::Vm;
    }
    match (own.domain == other.domain, own.region == other.region) {
        (true, _) => Locality::Domain,
        (false, true) => Locality::Region,
        (false, false) => Locality::Remote,
    }
}
