//! Checks that the headers of accounts cannot be ones that are logged, passed on or set by callers.

use goldcresttallyd::Settings;

fn parse(conventions: &str) -> Result<Settings, (String, String)> {
    let text = format!(
        "\
node: {{control: 10.0.0.1:1, peer: 10.0.0.1:2, calls: 10.0.0.1:3, operator: 10.0.0.1:4, domain: d, region: r}}
conventions: {{{conventions}}}
"
    );
    Settings::parse(&text).map_err(|e| (e.key, e.message))
}

#[test]
fn account_headers_default_to_none() {
    let conventions = parse("").unwrap().conventions();
    assert_eq!((conventions.account_key, conventions.account), (None, None));
    assert_eq!(conventions.account_key_scheme, None);
}

#[test]
fn account_headers_are_set() {
    let text =
        "account_key_header: Authorization, account_key_scheme: Bearer, account_header: Tenant";
    let conventions = parse(text).unwrap().conventions();
    assert_eq!(conventions.account_key.unwrap(), "authorization");
    assert_eq!(conventions.account_key_scheme.as_deref(), Some("Bearer"));
    assert_eq!(conventions.account.unwrap(), "tenant");
}

#[test]
fn ambiguous_header_is_refused() {
    for (conventions, key) in [
        ("account_key_header: X, account_header: x", "account_key_header"),
        // The call's id is logged.
        ("call_id_header: X-Id, account_key_header: x-id", "account_key_header"),
        ("caller_service_header: From, account_header: FROM", "account_header"),
        ("account_key_header: tally-key", "account_key_header"),
        ("account_key_header: Host", "account_key_header"),
        ("account_header: Connection", "account_header"),
        ("account_header: Idempotency-Key", "account_header"),
        ("account_header: Content-Length", "account_header"),
        ("account_header: \"not a name\"", "account_header"),
    ] {
        let (at, message) = parse(conventions).unwrap_err();
        assert_eq!(at, format!("conventions.{key}"), "{conventions}: {message}");
    }
}

#[test]
fn unusable_scheme_is_refused() {
    for conventions in [
        "account_key_header: Authorization, account_key_scheme: \"\"",
        "account_key_header: Authorization, account_key_scheme: \"Bearer \"",
        "account_key_header: Authorization, account_key_scheme: \"a\\nb\"",
        "account_key_scheme: Bearer",
    ] {
        let (at, message) = parse(conventions).unwrap_err();
        assert_eq!(at, "conventions.account_key_scheme", "{conventions}: {message}");
    }
}
