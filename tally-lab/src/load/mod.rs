//! Callers, and what became of their calls.

mod arrivals;
mod caller;
mod tally;

pub use arrivals::{Arrivals, Source};
pub use caller::{Caller, Spec};
pub use tally::{Outcome, RankTally, Tally, Violations};
