//! The data path: calls enter at one node, run beside an upstream at another, and are answered.
//!
//! * [`entry`]: routes a call, picks the node that runs it, and settles attempts that broke.
//! * [`peer`]: admits a call beside its upstream, runs it, and remembers what became of it.
//! * [`link`]: HTTP/2 connections between nodes.
//! * [`state`]: what the request path reads: snapshot and endpoints, swapped whole.
//! * [`call_log`]: the border to the log of calls.
//! * [`claims`]: the border to whoever writes claims on idempotency keys.
//! * [`transport`]: the border to the network.
//! * [`server`]: accepts connections and finishes what is in flight when it stops.
//! * [`workers`]: threads that serve calls, each with a runtime of its own.
//! * [`service`]: serves handlers as tower services.
//! * [`conventions`]: what callers and upstreams agree on with this system.
//! * [`headers`], [`body`], [`clock`], [`counters`], [`errors`]: shared parts.

pub mod body;
pub mod call_log;
pub mod claims;
pub mod clock;
pub mod conventions;
pub mod counters;
pub mod entry;
pub mod errors;
pub mod headers;
pub mod link;
pub mod peer;
pub mod server;
pub mod service;
pub mod state;
pub mod transport;
pub mod workers;

pub use body::CallBody;
pub use call_log::{CallEvent, CallInfo, CallLog};
pub use clock::Clock;
pub use conventions::Conventions;
pub use entry::Entry;
pub use errors::{CallError, Reason};
pub use peer::Peer;
pub use state::{Identity, NodeState};
pub use transport::{TcpTransport, Transport};
pub use workers::Workers;

/// A boxed future, as trait objects return it.
pub type BoxFuture<'a, T> = std::pin::Pin<Box<dyn Future<Output = T> + Send + 'a>>;
