//! The attempt ledger beside an upstream: what became of each attempt to run a call.
//!
//! An entry node whose connection broke asks the ledger on a new connection. An attempt that
//! was not seen, or that waits, is fenced: it then surely did not run and never will.
//!
//! * [`ledger`]: the decisions, deterministic.
//! * [`answer`]: answers that are kept for a while.
//! * [`batch`]: groups writes of claims into transactions.
//! * [`claim`]: claims on idempotency keys, as they stand in the table.

pub mod answer;
pub mod batch;
pub mod claim;
pub mod ledger;

pub use answer::Answer;
pub use batch::{ClaimBatcher, ClaimWrite, WriteOutcome};
pub use claim::{Claim, ClaimState, Fingerprint};
pub use ledger::{Ledger, Options, Refusal, Settlement};
