//! The data path of the service mesh. A call enters at one node, runs at an upstream beside another
//! node (or the same one), and its response returns to the caller.
//!
//! The entry makes one or more attempts to run a call, each at one node. A failed attempt has a
//! verdict: it ran, did not run, or may have run. After a connection breaks, settlement asks the
//! attempt's node for the outcome. An attempt is suspected while its link is silent or broken, and
//! another one may then be started alongside it.
//!
//! * [`entry`]: ingress side; routes a call, picks the node that runs it, retries and settles.
//! * [`peer`]: upstream side; admits a call, runs it at a local upstream and stores its outcome.
//! * [`link`]: HTTP/2 connections between nodes.
//! * [`state`]: the node state that the request path reads: active configuration and endpoints.
//! * [`call_log`]: interface to the call log.
//! * [`claims`]: interface to the store of claims on idempotency keys.
//! * [`transport`]: interface to the network.
//! * [`server`]: HTTP server with graceful shutdown.
//! * [`workers`]: worker threads that serve calls, each with its own runtime.
//! * [`clients`]: limits on what the clients of a process may hold.
//! * [`service`]: request handlers as tower services.
//! * [`conventions`]: headers and rules towards callers and upstreams.
//! * [`headers`], [`body`], [`clock`], [`counters`], [`errors`]: shared parts.

mod activity;
pub mod body;
pub mod call_log;
pub mod claims;
pub mod clients;
pub mod clock;
pub mod conventions;
pub mod counters;
pub mod entry;
pub mod errors;
pub mod headers;
pub mod link;
pub mod peer;
pub mod processor;
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

/// A boxed future, returned by the methods of object-safe traits.
pub type BoxFuture<'a, T> = std::pin::Pin<Box<dyn Future<Output = T> + Send + 'a>>;
