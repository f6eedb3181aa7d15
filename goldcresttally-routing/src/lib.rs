//! Routing at the entry node: endpoint selection, retries, ejection and client-side throttling.
//!
//! * [`endpoint`]: an endpoint and this node's statistics about it, kept in atomics.
//! * [`load_estimate`]: the expected load at endpoints whose reports are old.
//! * [`load`]: the load that a node reports for its upstreams.
//! * [`class_table`]: fixed-size concurrent tables of values per call class.
//! * [`picker`]: selection of the endpoint with the lowest expected cost.
//! * [`room`]: whether a call finds room in time, and when a refused caller may come back.
//! * [`ejection`]: temporary exclusion of failing endpoints.
//! * [`budget`]: limits retries to a share of the calls.
//! * [`attempts`]: the attempts of one call, and whether a failed call is retried.
//! * [`caller_timeouts`]: detection of callers that retry, by their remaining timeout.
//! * [`link_probe`]: when the link of an unanswered attempt is probed.
//! * [`notice`]: what upstreams have said about themselves in their answers.
//! * [`throttle`]: client-side throttling of calls that upstreams would refuse.

pub mod attempts;
pub mod budget;
pub mod caller_timeouts;
pub mod class_table;
pub mod ejection;
pub mod endpoint;
pub mod link_probe;
pub mod load;
pub mod load_estimate;
pub mod notice;
pub mod picker;
pub mod room;
pub mod throttle;

pub use attempts::{AttemptFailure, AttemptLimits, CallAttempts};
pub use budget::{BudgetOptions, RetryAllowance, RetryBudget};
pub use caller_timeouts::CallerTimeouts;
pub use class_table::{ClassTable, class_key, late_key};
pub use ejection::Ejection;
pub use endpoint::{Endpoint, EndpointStats, Locality};
pub use load::LoadReport;
pub use load_estimate::MeanLoad;
pub use notice::{Notices, UpstreamNotice};
pub use picker::{PickRequest, Picker};
pub use room::Room;
pub use throttle::{Throttle, Throttles};
