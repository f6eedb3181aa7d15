//! Requests and responses between nodes.

use std::time::Duration;

use goldcresttally_core::AccountName;

use crate::tokens::Tokens;

/// The purpose of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// A node draws tokens from its pool for calls that wait or will come soon.
    Draw,
    /// A node deposits tokens with its pool, and asks which accounts deposits are sought for.
    Deposit,
    /// A pool draws tokens from the pool of another domain.
    Pool,
    /// A pool collects the tokens that the members of its domain do not need, and seeks deposits
    /// from them.
    Collect,
}

/// An amount of tokens of one account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Amount {
    /// The account.
    pub account: AccountName,
    /// The tokens.
    pub tokens: Tokens,
}

/// A request to exchange tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The purpose.
    pub kind: Kind,
    /// Tokens that the sender has given up and that the receiver owns now.
    pub deposits: Vec<Amount>,
    /// Tokens that the sender asks for.
    pub wants: Vec<Amount>,
}

/// Tokens granted to the sender of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The account.
    pub account: AccountName,
    /// Tokens that the receiver of the response owns now.
    pub tokens: Tokens,
    /// Time after which there will be more; zero if all that was asked for was granted.
    pub retry_after: Duration,
}

/// The response to a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Response {
    /// Tokens for the sender of the request.
    pub grants: Vec<Grant>,
    /// Accounts for which deposits are sought; only in responses to [`Kind::Deposit`].
    pub sought: Vec<AccountName>,
}
