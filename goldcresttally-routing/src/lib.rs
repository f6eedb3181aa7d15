//! Routing at the entry: which endpoint gets a call, and whether a failed one is tried again.
//!
//! * [`endpoint`]: an endpoint and what this node has observed of it, in atomics.
//! * [`load`]: what a node tells of the load of its upstreams.
//! * [`class_table`]: figures by class of call, in atomics.
//! * [`picker`]: the endpoint at which a call is most likely on time, at the least cost.
//! * [`ejection`]: endpoints that fail are left out for a while, up to a share of them.
//! * [`budget`]: bounds retries to a share of the calls.
//! * [`attempts`]: whether a call that failed is tried again.
//! * [`caller_timeouts`]: tells calls that were refused before from fresh ones.
//! * [`link_probe`]: when a node is suspected to be silent.
//! * [`throttle`]: refuses early what the upstreams would refuse anyway.

pub mod attempts;
pub mod budget;
pub mod caller_timeouts;
pub mod class_table;
pub mod ejection;
pub mod endpoint;
pub mod link_probe;
pub mod load;
pub mod picker;
pub mod throttle;

pub use attempts::{AttemptFailure, AttemptLimits, CallAttempts};
pub use budget::{BudgetOptions, RetryAllowance, RetryBudget};
pub use caller_timeouts::CallerTimeouts;
pub use class_table::{ClassTable, class_key, late_key};
pub use ejection::Ejection;
pub use endpoint::{Endpoint, EndpointStats, Locality};
pub use load::LoadReport;
pub use picker::{PickRequest, Picker};
pub use throttle::{Throttle, Throttles};
