//! Admission beside an upstream: which call runs now, which waits, and which is refused unrun.
//!
//! * [`limit`]: how many calls run at once, adapted to latency and to shed answers.
//! * [`queue`]: calls that wait, by rank, with floor shares.
//! * [`service_times`]: how long calls take, by class of call.
//! * [`machine`]: the decisions, as a deterministic state machine.

pub mod limit;
pub mod machine;
pub mod queue;
pub mod service_times;

pub use limit::{AdaptiveLimit, Outcome};
pub use machine::{Action, Admission, CallId, Event, Load, Options, Policy, Refusal};
pub use service_times::CallClass;
