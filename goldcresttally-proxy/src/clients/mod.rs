//! Limits on what the clients of a process may hold: bytes of all their connections together, and
//! connections of each listener. Clients that make no progress are disconnected.
//!
//! * [`ByteBudget`]: the limit on bytes.
//! * [`Watch`]: decides which connections have made no progress.
//! * [`ClientPort`]: the connections of one listener.

mod budget;
mod connection;
mod port;
mod request;
mod watch;

use std::sync::Arc;
use std::time::Duration;

use crate::counters::Counter;

pub use budget::{ByteBudget, ByteShare, Use};
pub use port::ClientPort;
pub use watch::{Cause, TimeLimits, View, Watch, connections_to_evict};

pub(crate) use connection::Connection;
pub(crate) use port::Registration;
pub(crate) use request::ClientAdapter;

/// Memory of the process that is assumed when it is not known, in bytes.
const ASSUMED_MEMORY_BYTES: usize = 512 << 20;

/// Descriptors of the process that are assumed when their number is not known.
const ASSUMED_DESCRIPTORS: usize = 8192;

/// The budget is this fraction (1/4) of the memory.
const BUDGET_DIVISOR: usize = 4;

/// Memory for each connection of a caller, in bytes. An idle connection uses about 20 KiB; the rest of the
/// memory is left for the process itself and for the budget.
const MEMORY_PER_CONNECTION: usize = 80 * 1024;

/// Callers get at most this fraction (1/2) of the descriptors: the rest is for nodes, upstreams, the store
/// and the other listeners.
const DESCRIPTOR_DIVISOR: usize = 2;

/// Each listener for tools gets this fraction (1/16) of the connections of callers.
const TOOLS_DIVISOR: usize = 16;

/// Header fields of one HTTP/1.1 request that the HTTP library parses on the stack. With any other limit it
/// allocates memory for each request.
pub(crate) const DEFAULT_HEADER_FIELDS: usize = 100;

/// Minimum number of connections of any listener.
const MIN_CONNECTIONS: usize = 16;

/// The limits on clients.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientOptions {
    /// Bytes that all connections together may hold.
    pub budget_bytes: usize,
    /// Connections of the listener for callers.
    pub call_connections: usize,
    /// Connections of each listener for tools: readiness, control, operators and metrics.
    pub tool_connections: usize,
    /// Header fields of one HTTP/1.1 request. Those of HTTP/2 are bounded by the size of the head, to which
    /// each adds 32 bytes.
    pub max_header_fields: usize,
    /// Requests in flight on one HTTP/2 connection.
    pub max_streams: u32,
    /// Time without progress after which the sender of a body or the reader of a response is
    /// disconnected.
    pub stall_timeout: Duration,
}

impl ClientOptions {
    /// Derives the limits from the memory, in bytes, and the number of descriptors of the process,
    /// where they are known.
    pub fn derive(memory: Option<usize>, descriptors: Option<usize>) -> Self {
        let memory = memory.unwrap_or(ASSUMED_MEMORY_BYTES);
        let descriptors = descriptors.unwrap_or(ASSUMED_DESCRIPTORS);
        let connections = (memory / MEMORY_PER_CONNECTION).min(descriptors / DESCRIPTOR_DIVISOR);
        let call_connections = connections.max(MIN_CONNECTIONS);
        Self {
            budget_bytes: memory / BUDGET_DIVISOR,
            call_connections,
            tool_connections: (call_connections / TOOLS_DIVISOR).max(MIN_CONNECTIONS),
            max_header_fields: DEFAULT_HEADER_FIELDS,
            max_streams: 128,
            stall_timeout: Duration::from_secs(15),
        }
    }
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self::derive(None, None)
    }
}

macro_rules! client_counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// Counters of the limits on clients.
        #[derive(Debug, Default)]
        pub struct ClientCounters {
            $($(#[$doc])* pub $name: Counter,)*
        }

        impl ClientCounters {
            /// Returns the name and value of each counter.
            pub fn read(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name.get()),)*]
            }
        }
    };
}

client_counters! {
    /// Requests refused because the byte budget is used up.
    clients_over_budget,
    /// Connections closed on arrival because the listener has too many.
    clients_not_accepted,
    /// Idle connections closed in favour of new ones.
    clients_evicted,
    /// Connections closed because they carried no request for too long.
    clients_idle,
    /// Connections closed because the head of a request did not arrive in time.
    clients_slow_head,
    /// Connections closed because the body of a request made no progress.
    clients_slow_body,
    /// Connections closed because the client did not read its responses.
    clients_slow_reader,
}

impl ClientCounters {
    pub(crate) fn closed(&self, cause: Cause) -> &Counter {
        match cause {
            Cause::Idle => &self.clients_idle,
            Cause::SlowHead => &self.clients_slow_head,
            Cause::SlowBody => &self.clients_slow_body,
            Cause::SlowReader => &self.clients_slow_reader,
        }
    }
}

/// The limits on the clients of a process, shared by its listeners.
#[derive(Debug)]
pub struct Clients {
    /// The limits.
    pub options: ClientOptions,
    /// The bytes that all connections together hold.
    pub budget: Arc<ByteBudget>,
    /// How often the limits took effect.
    pub counters: ClientCounters,
}

impl Clients {
    /// Returns these limits, with nothing in use.
    pub fn new(options: ClientOptions) -> Self {
        let budget = Arc::new(ByteBudget::new(options.budget_bytes));
        Self { options, budget, counters: ClientCounters::default() }
    }
}

impl Default for Clients {
    fn default() -> Self {
        Self::new(ClientOptions::default())
    }
}
