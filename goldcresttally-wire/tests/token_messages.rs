//! Guards against tokens that change on their way, and against names that are no accounts.

use std::time::Duration;

use capnp::message::Builder;
use goldcresttally_quota::{Amount, Grant, Kind, Request, Response, Tokens};
use goldcresttally_wire::tokens;
use goldcresttally_wire::wire_capnp::control::{exchange_tokens_params, exchange_tokens_results};

fn amount(account: &str, milli: u64) -> Amount {
    Amount { account: account.parse().unwrap(), tokens: Tokens(milli) }
}

#[test]
fn request_is_read_as_written() {
    for kind in [Kind::Draw, Kind::Deposit, Kind::Pool, Kind::Collect] {
        let request = Request {
            kind,
            deposits: vec![amount("acme", 1), amount("other", 2500)],
            wants: vec![amount("third", u64::MAX)],
        };
        let mut message = Builder::new_default();
        tokens::write_request(&request, message.init_root());
        let reader = message.get_root_as_reader::<exchange_tokens_params::Reader<'_>>().unwrap();
        assert_eq!(tokens::read_request(reader).unwrap(), request);
    }
}

#[test]
fn response_is_read_as_written() {
    let grant = Grant {
        account: "acme".parse().unwrap(),
        tokens: Tokens(1250),
        retry_after: Duration::from_millis(15),
    };
    let response = Response { grants: vec![grant], sought: vec!["acme".parse().unwrap()] };
    let mut message = Builder::new_default();
    tokens::write_response(&response, message.init_root());
    let reader = message.get_root_as_reader::<exchange_tokens_results::Reader<'_>>().unwrap();
    assert_eq!(tokens::read_response(reader).unwrap(), response);
}

#[test]
fn invalid_account_name_is_an_error() {
    let mut message = Builder::new_default();
    let params = message.init_root::<exchange_tokens_params::Builder<'_>>();
    params.init_wants(1).get(0).set_account("no name");
    let reader = message.get_root_as_reader::<exchange_tokens_params::Reader<'_>>().unwrap();
    tokens::read_request(reader).unwrap_err();
}
