//! Routing at the entry: which endpoint gets a call, and whether a failed one is tried again.
//!
//! * [`endpoint`]: an endpoint and what this node has observed of it, in atomics.
//! * [`load`]: what a node tells of the load of its upstreams.
//! * [`class_table`]: figures by class of call, in atomics.
//! * [`picker`]: the endpoint at which a call is most likely on time, at the least cost.
//! * [`ejection`]: endpoints that fail are left out for a while, up to a share of them.
//! * [`budget`]: bounds retries to a share of the calls.
//! * [`tries`]: whether a call that failed is tried again.
//! * [`patience`]: tells calls that were refused before from fresh ones.
//! * [`silence`]: when a node is suspected to be silent.
//! * [`throttle`]: refuses early what the upstreams would refuse anyway.

pub mod budget;
pub mod class_table;
pub mod ejection;
pub mod endpoint;
pub mod load;
pub mod patience;
pub mod picker;
pub mod silence;
pub mod throttle;
pub mod tries;

pub use budget::{BudgetOptions, RetryAllowance, RetryBudget};
pub use class_table::{ClassTable, class_key, late_key};
pub use ejection::Ejection;
pub use endpoint::{Endpoint, Locality, Observed};
pub use load::LoadReport;
pub use patience::Patience;
pub use picker::{Asked, Picker};
pub use throttle::{Throttle, Throttles};
pub use tries::{Failure, Tries, TryLimits};
