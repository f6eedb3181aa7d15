//! Identifies the client account of a call by the key in its headers.

use std::sync::Arc;

use goldcresttally_config::{Account, KeyDigest, Route};
use http::HeaderMap;
use http::header::{HeaderValue, WWW_AUTHENTICATE};

use crate::conventions::Conventions;
use crate::errors::{CallError, Reason};
use crate::headers;
use crate::state::{ActiveConfig, NodeState};

/// Authentication scheme that a refusal names when the settings name none.
const DEFAULT_SCHEME: &str = "Bearer";

/// Returns the account of a call.
///
/// Fails with the verdict `NotRun` if the route needs a known key and the call has none: with
/// `UnknownKey` if the configuration is known to be the newest, and with `NotReady` otherwise,
/// because a later version may have the key or make the route public.
pub(super) fn identify(
    state: &NodeState,
    config: &ActiveConfig,
    route: &Route,
    map: &HeaderMap,
) -> Result<Option<Arc<Account>>, CallError> {
    let accounts = config.snapshot.accounts();
    if !accounts.require_keys() {
        return Ok(None);
    }
    let key = key_of(&state.conventions, map);
    let account = key.and_then(|key| accounts.find(&KeyDigest::of(key)));
    if account.is_some() || route.public {
        return Ok(account.map(Arc::clone));
    }
    if !state.is_fresh() {
        return Err(CallError::not_run(Reason::NotReady));
    }
    state.counters.unknown_keys.increment();
    Err(CallError::not_run(Reason::UnknownKey))
}

/// Removes the key, if the configuration has accounts, and replaces the account's name that the
/// caller sent.
///
/// To be called after the hop-by-hop headers are removed: a caller could otherwise have the name
/// removed by listing it in `Connection`.
pub(super) fn replace_headers(
    conventions: &Conventions,
    config: &ActiveConfig,
    account: Option<&Account>,
    map: &mut HeaderMap,
) {
    if let Some(name) = &conventions.account_key
        && config.snapshot.accounts().require_keys()
    {
        map.remove(name);
    }
    if let Some(name) = &conventions.account {
        map.remove(name);
        if let Some(account) = account {
            headers::set(map, name.clone(), &account.name);
        }
    }
}

/// Tells the caller that a key is needed (RFC 9110, section 11.6.1).
pub(super) fn set_challenge(conventions: &Conventions, map: &mut HeaderMap) {
    let scheme = conventions.account_key_scheme.as_deref().unwrap_or(DEFAULT_SCHEME);
    if let Ok(scheme) = HeaderValue::try_from(scheme) {
        map.insert(WWW_AUTHENTICATE, scheme);
    }
}

/// Returns the key that a call presents; `None` if there is none, more than one, or another
/// authentication scheme.
fn key_of<'a>(conventions: &Conventions, map: &'a HeaderMap) -> Option<&'a [u8]> {
    let mut values = map.get_all(conventions.account_key.as_ref()?).iter();
    let (Some(value), None) = (values.next(), values.next()) else { return None };
    let value = value.as_bytes();
    let key = match &conventions.account_key_scheme {
        None => value,
        Some(scheme) => {
            let (name, key) = value.split_at_checked(scheme.len())?;
            let matches = name.eq_ignore_ascii_case(scheme.as_bytes()) && key.starts_with(b" ");
            matches.then_some(key)?
        }
    };
    Some(key.trim_ascii()).filter(|key| !key.is_empty())
}
