//! Callers, and what became of their calls.

mod caller;
mod tally;

pub use caller::{Caller, Spec};
pub use tally::{Outcome, RankTally, Tally, Violations};
