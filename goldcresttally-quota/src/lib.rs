//! Limits on the calls of an account over all nodes together: a distributed token bucket.
//!
//! Every node accrues its part of each account's rate. Tokens are moved between nodes and never
//! copied: an amount is subtracted at the sender before it is sent, and a lost message loses it.
//! So the tokens spent never exceed the tokens accrued, whichever nodes or links fail.
//!
//! * [`quotas`]: the stocks of tokens, shared by the threads that serve calls and the control thread.
//! * [`exchange`]: the deterministic state machine that moves tokens between nodes.
//! * [`members`]: the number of nodes that accrue, and the choice of pools.
//! * [`message`]: requests and responses between nodes.
//! * [`tokens`]: amounts of tokens.

mod bucket;
pub mod exchange;
pub mod members;
pub mod message;
mod meter;
pub mod quotas;
pub mod tokens;

pub use exchange::{Action, Event, Exchange, RequestId};
pub use members::{Member, MembersView};
pub use message::{Amount, Grant, Kind, Request, Response};
pub use quotas::{Decision, Limit, Options, Quotas, Usage};
pub use tokens::Tokens;
