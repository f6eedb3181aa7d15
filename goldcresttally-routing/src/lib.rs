//! Routing at the entry: which endpoint gets a call, and whether a failed one is tried again.
//!
//! * [`endpoint`]: an endpoint and what this node has observed of it, in atomics.
//! * [`picker`]: power of two choices, own failure domain first, with spill.
//! * [`ejection`]: endpoints that fail are left out for a while, up to a share of them.
//! * [`budget`]: bounds retries to a share of the calls.
//! * [`tries`]: whether a call that failed is tried again.
//! * [`throttle`]: refuses early what the upstreams would refuse anyway.

pub mod budget;
pub mod ejection;
pub mod endpoint;
pub mod picker;
pub mod throttle;
pub mod tries;

pub use budget::{BudgetOptions, RetryBudget};
pub use ejection::Ejection;
pub use endpoint::{Endpoint, Locality, Observed};
pub use picker::Picker;
pub use throttle::Throttle;
pub use tries::{Failure, Tries, TryLimits};
