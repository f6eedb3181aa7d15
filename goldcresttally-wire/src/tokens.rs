//! Conversion of the messages that move tokens of accounts.

use std::time::Duration;

use goldcresttally_quota::{Amount, Grant, Kind, Request, Response, Tokens};

use crate::errors::Result;
use crate::wire_capnp::{TokenRequestKind, account_tokens, control};

/// Maximum number of accounts in one list of a message; further ones are not read.
const MAX_ACCOUNTS: u32 = 1024;

type Amounts<'a> = capnp::struct_list::Reader<'a, account_tokens::Owned>;
type AmountsBuilder<'a> = capnp::struct_list::Builder<'a, account_tokens::Owned>;

/// Writes a request to a message.
pub fn write_request(request: &Request, mut to: control::exchange_tokens_params::Builder<'_>) {
    to.set_kind(match request.kind {
        Kind::Draw => TokenRequestKind::Draw,
        Kind::Deposit => TokenRequestKind::Deposit,
        Kind::Pool => TokenRequestKind::Pool,
        Kind::Collect => TokenRequestKind::Collect,
    });
    let deposits = to.reborrow().init_deposits(request.deposits.len() as u32);
    write_amounts(&request.deposits, deposits);
    write_amounts(&request.wants, to.init_wants(request.wants.len() as u32));
}

/// Reads a request from a message.
pub fn read_request(from: control::exchange_tokens_params::Reader<'_>) -> Result<Request> {
    let kind = match from.get_kind().map_err(capnp::Error::from)? {
        TokenRequestKind::Draw => Kind::Draw,
        TokenRequestKind::Deposit => Kind::Deposit,
        TokenRequestKind::Pool => Kind::Pool,
        TokenRequestKind::Collect => Kind::Collect,
    };
    let deposits = read_amounts(from.get_deposits()?)?;
    let wants = read_amounts(from.get_wants()?)?;
    Ok(Request { kind, deposits, wants })
}

/// Writes a response to a message.
pub fn write_response(response: &Response, mut to: control::exchange_tokens_results::Builder<'_>) {
    let mut list = to.reborrow().init_grants(response.grants.len() as u32);
    for (grant, i) in response.grants.iter().zip(0..) {
        let mut to = list.reborrow().get(i);
        to.set_account(grant.account.as_str());
        to.set_milli(grant.tokens.0);
        to.set_retry_after_ms(grant.retry_after.as_millis() as u32);
    }
    let mut list = to.init_sought(response.sought.len() as u32);
    for (account, i) in response.sought.iter().zip(0..) {
        list.set(i, account.as_str());
    }
}

/// Reads a response from a message.
pub fn read_response(from: control::exchange_tokens_results::Reader<'_>) -> Result<Response> {
    let mut response = Response::default();
    for grant in from.get_grants()?.iter().take(MAX_ACCOUNTS as usize) {
        response.grants.push(Grant {
            account: grant.get_account()?.to_str()?.parse()?,
            tokens: Tokens(grant.get_milli()),
            retry_after: Duration::from_millis(grant.get_retry_after_ms().into()),
        });
    }
    for account in from.get_sought()?.iter().take(MAX_ACCOUNTS as usize) {
        response.sought.push(account?.to_str()?.parse()?);
    }
    Ok(response)
}

fn write_amounts(amounts: &[Amount], mut to: AmountsBuilder<'_>) {
    for (amount, i) in amounts.iter().zip(0..) {
        let mut to = to.reborrow().get(i);
        to.set_account(amount.account.as_str());
        to.set_milli(amount.tokens.0);
    }
}

fn read_amounts(from: Amounts<'_>) -> Result<Vec<Amount>> {
    let amounts = from.iter().take(MAX_ACCOUNTS as usize).map(|amount| {
        let account = amount.get_account()?.to_str()?.parse()?;
        Ok(Amount { account, tokens: Tokens(amount.get_milli()) })
    });
    amounts.collect()
}
