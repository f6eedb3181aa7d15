//! In-memory stand-ins for the external parts of the system: the platform and the upstreams.
//!
//! * [`platform`]: an in-memory table service and object store over HTTP, with fault injection.
//! * [`upstream`]: an upstream with slots, service time, cold start, load shedding and draining.
//! * [`tasks`]: an HTTP server task that is awaited on shutdown.

pub mod platform;
pub mod tasks;
pub mod upstream;

pub use platform::Platform;
pub use upstream::Upstream;
