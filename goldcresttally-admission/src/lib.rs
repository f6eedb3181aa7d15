//! Admission control beside an upstream: which calls run now, which wait, and which are refused
//! without running them.
//!
//! * [`event`]: the inputs, decisions and options of the state machine.
//! * [`limit`]: the limit on concurrent calls, adapted to latency and to shed calls.
//! * [`queue`]: waiting calls by rank, with floor shares.
//! * [`service_times`]: average service times by call class.
//! * [`admission`]: the deterministic state machine that makes the decisions.

pub mod admission;
pub mod event;
pub mod limit;
pub mod queue;
pub mod service_times;

pub use admission::Admission;
pub use event::{Action, CallId, Event, Load, Options, Policy, Refusal};
pub use limit::{AdaptiveLimit, Outcome};
pub use service_times::CallClass;
