//! Stand-ins for what surrounds the system: the platform and the upstreams.
//!
//! * [`platform`]: a table service and an object store in memory, over HTTP, with faults.
//! * [`upstream`]: an upstream with slots, service time, cold start, shedding and drain.
//! * [`tasks`]: a server that is joined when it stops.

pub mod platform;
pub mod tasks;
pub mod upstream;

pub use platform::Platform;
pub use upstream::Upstream;
