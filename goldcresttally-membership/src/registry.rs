//! The upstreams that announce themselves to this node, under leases.

use std::net::SocketAddr;
use std::time::Duration;

use goldcresttally_core::{Deadline, Map, MonoTime, ServiceName};

use crate::record::{Upstream, UpstreamState};

/// Duration of a lease that is not renewed, in milliseconds.
pub const LEASE_MS: u64 = 3000;

/// What an upstream says of itself, at first and with every renewal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// The service it runs.
    pub service: ServiceName,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// The calls it runs at once.
    pub slots: u32,
    /// Its state.
    pub state: UpstreamState,
}

#[derive(Debug)]
struct Lease {
    announcement: Announcement,
    deadline: Deadline,
}

/// The upstreams beside this node.
///
/// A draining upstream cannot become ready again under the same lease: an announcement that
/// was delayed on its way must not undo the drain.
#[derive(Debug, Default)]
pub struct Registry {
    leases: Map<(ServiceName, SocketAddr), Lease>,
}

impl Registry {
    /// Takes or renews a lease; returns whether the set of upstreams changed.
    pub fn announce(&mut self, now: MonoTime, announcement: Announcement) -> bool {
        let key = (announcement.service.clone(), announcement.address);
        let deadline = Deadline::after(now, Duration::from_millis(LEASE_MS));
        let Some(lease) = self.leases.get_mut(&key) else {
            self.leases.insert(key, Lease { announcement, deadline });
            return true;
        };
        lease.deadline = deadline;
        if lease.announcement.state == UpstreamState::Draining || lease.announcement == announcement
        {
            return false;
        }
        lease.announcement = announcement;
        true
    }

    /// Ends a lease at the upstream's wish; returns whether there was one.
    pub fn withdraw(&mut self, service: &ServiceName, address: SocketAddr) -> bool {
        self.leases.remove(&(service.clone(), address)).is_some()
    }

    /// Ends the leases that lapsed; returns the upstreams that are gone.
    pub fn expire(&mut self, now: MonoTime) -> Vec<Announcement> {
        let mut gone = Vec::new();
        self.leases.retain(|_, lease| {
            let lapsed = lease.deadline.is_past(now);
            if lapsed {
                gone.push(lease.announcement.clone());
            }
            !lapsed
        });
        gone
    }

    /// Returns the upstreams whose lease holds at `now`, ordered.
    pub fn current(&self, now: MonoTime) -> Vec<Announcement> {
        let live = self.leases.values().filter(|l| !l.deadline.is_past(now));
        let mut list: Vec<_> = live.map(|l| l.announcement.clone()).collect();
        list.sort_by(|a, b| (&a.service, a.address).cmp(&(&b.service, b.address)));
        list
    }

    /// Returns the upstreams as other nodes need to know them.
    pub fn summary(&self, now: MonoTime) -> Vec<Upstream> {
        let upstream =
            |a: Announcement| Upstream { service: a.service, slots: a.slots, state: a.state };
        self.current(now).into_iter().map(upstream).collect()
    }
}
