//! The connections of one listener for clients.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use goldcresttally_config::LimitsSpec;
use tokio::time::Instant;

use super::{Clients, Connection, TimeLimits, Watch, connections_to_evict};
use crate::activity::Activity;
use crate::body::MAX_BUFFERED_BODY_BYTES;

/// Interval at which connections are checked for progress, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 500;

/// Connections beyond the limit for which evicted ones are still closing, as a fraction (1/16) of it.
const CLOSING_DIVISOR: usize = 16;

/// The connections of one listener, and the limits on them.
#[derive(Debug)]
pub struct ClientPort {
    clients: Arc<Clients>,
    max_connections: usize,
    max_buffered_body: usize,
    tells_address: bool,
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    next_id: u64,
    /// Connections by id, which grows with time.
    connections: BTreeMap<u64, (Arc<Connection>, Watch)>,
}

impl ClientPort {
    /// Returns the port of callers.
    pub fn for_callers(clients: Arc<Clients>) -> Self {
        let max_connections = clients.options.call_connections;
        let max_buffered_body = MAX_BUFFERED_BODY_BYTES;
        let table = Mutex::default();
        Self { clients, max_connections, max_buffered_body, tells_address: false, table }
    }

    /// Returns a port of tools, which buffers at most `max_buffered_body` bytes of a request's body and
    /// gives handlers the client's address as an extension of the request, a `SocketAddr`.
    pub fn for_tools(clients: Arc<Clients>, max_buffered_body: usize) -> Self {
        let max_connections = clients.options.tool_connections;
        let table = Mutex::default();
        Self { clients, max_connections, max_buffered_body, tells_address: true, table }
    }

    /// Returns the limits that all ports share.
    pub fn clients(&self) -> &Arc<Clients> {
        &self.clients
    }

    /// Returns whether a new connection may be accepted; closes idle ones if there are too many.
    pub(crate) fn makes_room(&self) -> bool {
        let table = self.table();
        let connections = &table.connections;
        if connections.len() < self.max_connections {
            return true;
        }
        let counters = &self.clients.counters;
        if connections.len() < self.max_connections + self.max_connections / CLOSING_DIVISOR {
            let now = Instant::now();
            let open = connections.iter().filter(|(_, (c, _))| !c.is_closing());
            let closing = connections.len() - open.clone().count();
            // Those that are closing make room already.
            if connections.len() - closing < self.max_connections {
                return true;
            }
            let views = open.map(|(id, (c, watch))| (*id, c.view(now), watch.is_stalled(now)));
            let evicted = connections_to_evict(views, self.max_connections);
            for id in &evicted {
                if connections.get(id).is_some_and(|(c, _)| c.close()) {
                    counters.clients_evicted.increment();
                }
            }
            if !evicted.is_empty() {
                return true;
            }
        }
        counters.clients_not_accepted.increment();
        false
    }

    /// Registers a connection until the registration is dropped.
    pub(crate) fn register(
        self: &Arc<Self>,
        limits: &LimitsSpec,
        address: SocketAddr,
        activity: Arc<Activity>,
    ) -> Registration {
        let limits = TimeLimits {
            head: Duration::from_millis(limits.header_timeout_ms.into()),
            idle: Duration::from_millis(
                limits.idle_timeout_ms.max(limits.header_timeout_ms).into(),
            ),
            stall: self.clients.options.stall_timeout,
        };
        let connection = Arc::new(Connection::new(
            Arc::clone(&self.clients),
            limits,
            self.max_buffered_body,
            self.tells_address.then_some(address),
            activity,
        ));
        let mut table = self.table();
        let id = table.next_id;
        table.next_id += 1;
        table.connections.insert(id, (Arc::clone(&connection), Watch::default()));
        Registration { port: Arc::clone(self), id, connection }
    }

    /// Closes connections without progress at regular intervals; does not return.
    pub(crate) async fn check(&self) {
        let mut interval = tokio::time::interval(Duration::from_millis(CHECK_INTERVAL_MS));
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            let now = Instant::now();
            let tight = self.clients.budget.is_tight();
            for (connection, watch) in self.table().connections.values_mut() {
                let view = connection.view(now);
                if let Some(cause) = watch.judge(now, &view, &connection.limits, tight)
                    && connection.close()
                {
                    self.clients.counters.closed(cause).increment();
                }
            }
        }
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A registered connection.
#[derive(Debug)]
pub(crate) struct Registration {
    port: Arc<ClientPort>,
    id: u64,
    pub connection: Arc<Connection>,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.port.table().connections.remove(&self.id);
    }
}
