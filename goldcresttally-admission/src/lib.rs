//! Admission beside an upstream: which call runs now, which waits, and which is refused unrun.
//!
//! * [`event`]: what happens to the machine, what it decides, and its options.
//! * [`limit`]: how many calls run at once, adapted to latency and to shed answers.
//! * [`queue`]: calls that wait, by rank, with floor shares.
//! * [`service_times`]: how long calls take, by class of call.
//! * [`admission`]: the decisions, as a deterministic state machine.

pub mod admission;
pub mod event;
pub mod limit;
pub mod queue;
pub mod service_times;

pub use admission::Admission;
pub use event::{Action, CallId, Event, Load, Options, Policy, Refusal};
pub use limit::{AdaptiveLimit, Outcome};
pub use service_times::CallClass;
