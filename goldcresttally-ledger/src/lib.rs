//! The attempt ledger beside an upstream, which records the outcome of each attempt to run a call.
//!
//! An entry node that loses its connection asks the ledger for the outcome on a new connection;
//! this is called settlement. An attempt that has not arrived yet or that is still waiting is
//! fenced: the ledger answers that it did not run, and makes sure that it never will.
//!
//! * [`ledger`]: the deterministic state machine that records outcomes.
//! * [`answer`]: stored answers, for callers whose connection broke.
//! * [`batch`]: grouping of claim writes into transactions.
//! * [`claim`]: claims on idempotency keys, and their text form in the table.

pub mod answer;
pub mod batch;
pub mod claim;
pub mod ledger;

pub use answer::Answer;
pub use batch::{ClaimBatcher, ClaimWrite, WriteOutcome};
pub use claim::{Claim, ClaimState, Fingerprint};
pub use ledger::{Ledger, Options, Refusal, Settlement};
