//! Admission control beside an upstream: which calls run now, which wait, and which are refused
//! without running them.
//!
//! * [`event`]: the inputs, decisions and options of the state machine.
//! * [`limit`]: the limit on concurrent calls, adapted to latency and to shed calls.
//! * [`nested`]: recognition of nested calls, and the slots kept free for them.
//! * [`processor`]: detection of a lack of processor time, and what is refused for it.
//! * [`rate_limit`]: the rate limit that an upstream names, and the pacing of calls to it.
//! * [`queue`]: waiting calls by rank, with floor shares.
//! * [`service_times`]: average service times by call class.
//! * [`transfers`]: schedules the large request bodies that arrive over the VM's link.
//! * [`admission`]: the deterministic state machine that makes the decisions.

pub mod admission;
pub mod event;
pub mod limit;
pub mod nested;
pub mod processor;
pub mod queue;
pub mod rate_limit;
pub mod service_times;
pub mod transfers;

pub use admission::Admission;
pub use event::{Action, CallId, ClassLoad, Event, Load, Options, Policy, Refusal};
pub use limit::{AdaptiveLimit, Outcome};
pub use processor::{CallUrgency, PROBE_INTERVAL, ProcessorLoad};
pub use rate_limit::{NamedLimit, Pacer};
pub use service_times::CallClass;
pub use transfers::{
    TransferAction, TransferEvent, TransferId, TransferLoad, TransferRequest, Transfers,
};
