//! Load generators, and statistics of the calls that they make.

mod arrivals;
mod caller;
mod stats;

pub use arrivals::{CallStream, PoissonLoad};
pub use caller::{CallSpec, Caller};
pub use stats::{CallStats, Outcome, RankStats, Violations};
