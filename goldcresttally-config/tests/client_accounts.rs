//! Client accounts: a document with an ambiguous or unusable account is rejected whole, a key finds
//! its own account only, and neither keys nor digests appear in errors or debug output.

use std::fmt::Write as _;
use std::sync::Arc;

use goldcresttally_config::{Error, KeyDigest, Snapshot};
use goldcresttally_core::Version;

const BASE: &str = "\
ranks:
  urgent: {order: 0, target_ms: 250}
  least: {order: 1, target_ms: 5000}
services:
  booking: {}
routes:
- {path: /a, service: booking, rank: least, idempotent: true}
- {path: /open, service: booking, rank: least, idempotent: true, public: true}
";

fn build(accounts: &[&str]) -> Result<Snapshot, Error> {
    let mut bodies = vec![("base".parse().unwrap(), Arc::from(BASE))];
    for (n, text) in accounts.iter().enumerate() {
        bodies.push((format!("accounts-{n}").parse().unwrap(), Arc::from(*text)));
    }
    Snapshot::build(Version(1), &bodies)
}

fn digest(key: &str) -> String {
    KeyDigest::of(key.as_bytes()).into()
}

/// Builds a document with one account that has this field; returns the path and text of the error.
fn rejected_field(field: &str) -> (String, String) {
    let error = build(&[&format!("accounts:\n  acme: {{{field}}}\n")]).unwrap_err();
    (error.path.clone(), error.to_string())
}

#[test]
fn digest_is_the_sha256_of_the_key() {
    let expected = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";
    assert_eq!(digest("secret"), expected);
    assert_eq!(expected.to_uppercase().parse::<KeyDigest>(), Ok(KeyDigest::of(b"secret")));
}

#[test]
fn account_has_its_rank_and_limits() {
    let text = format!(
        "accounts:\n  acme: {{key_sha256: [{}, {}], rank: urgent, rate_per_s: 40.5, burst: 7}}\n  \
         plain: {{key_sha256: [{}], rate_per_s: 0}}\n  keyless: {{}}\n",
        digest("one"),
        digest("two"),
        digest("three")
    );
    let snapshot = build(&[&text]).unwrap();
    let accounts = snapshot.accounts();
    assert!(!accounts.is_empty() && accounts.require_keys());
    let acme = accounts.find(&KeyDigest::of(b"one")).unwrap();
    assert!(Arc::ptr_eq(acme, accounts.find(&KeyDigest::of(b"two")).unwrap()));
    assert_eq!(acme.name.as_str(), "acme");
    assert!(Arc::ptr_eq(acme.rank.as_ref().unwrap(), &snapshot.ranks()[0]));
    assert_eq!((acme.rate.unwrap().0, acme.burst), (40.5, 7.0));
    let plain = accounts.find(&KeyDigest::of(b"three")).unwrap();
    assert_eq!((plain.name.as_str(), plain.rate, plain.burst), ("plain", None, 0.0));
    assert!(plain.rank.is_none());
    assert!(accounts.find(&KeyDigest::of(b"four")).is_none());
    assert!(accounts.find(&KeyDigest::of(b"")).is_none());
    let names: Vec<_> = accounts.iter().map(|a| a.name.as_str()).collect();
    assert_eq!(names, ["acme", "keyless", "plain"]);
    assert!(snapshot.route("h", "GET", "/open").unwrap().public);
    assert!(!snapshot.route("h", "GET", "/a").unwrap().public);
}

#[test]
fn document_without_accounts_needs_no_keys() {
    let snapshot = build(&[]).unwrap();
    assert!(snapshot.accounts().is_empty() && !snapshot.accounts().require_keys());
    assert!(snapshot.accounts().find(&KeyDigest::of(b"one")).is_none());
    let snapshot = build(&["require_keys: true\n"]).unwrap();
    assert!(snapshot.accounts().is_empty() && snapshot.accounts().require_keys());
}

#[test]
fn key_listed_twice_is_rejected() {
    let key = digest("one");
    let account = |name: &str| format!("accounts:\n  {name}: {{key_sha256: [{key}]}}\n");
    let twice = format!("accounts:\n  acme: {{key_sha256: [{key}, {key}]}}\n");
    let upper = format!("accounts:\n  acme: {{key_sha256: [{key}, {}]}}\n", key.to_uppercase());
    let two = format!("{}  other: {{key_sha256: [{key}]}}\n", account("acme"));
    for sections in [
        vec![twice.as_str()],
        vec![upper.as_str()],
        vec![two.as_str()],
        vec![account("acme").as_str(), account("other").as_str()],
    ] {
        let error = build(&sections).unwrap_err();
        assert!(error.section.is_some() && error.path.ends_with("key_sha256"), "{error}");
        assert!(error.message.contains("listed twice"), "{error}");
        assert!(!error.to_string().contains(&key), "{error}");
    }
}

#[test]
fn account_in_two_sections_is_rejected() {
    let error = build(&["accounts:\n  acme: {}\n", "accounts:\n  acme: {}\n"]).unwrap_err();
    assert_eq!(error.path, "accounts.acme");
    assert!(error.message.contains("another section"), "{error}");
}

#[test]
fn unusable_limit_or_rank_is_rejected() {
    for field in ["rate_per_s", "burst"] {
        for value in ["-1", "-0.001", ".nan", ".inf", "-.inf"] {
            let (path, text) = rejected_field(&format!("{field}: {value}"));
            assert_eq!(path, format!("accounts.acme.{field}"), "{text}");
        }
    }
    let (path, text) = rejected_field("rank: ghost");
    assert_eq!(path, "accounts.acme.rank");
    assert!(text.contains("`ghost`"), "{text}");
}

#[test]
fn empty_name_is_rejected() {
    let error = build(&["accounts:\n  \"\": {}\n"]).unwrap_err();
    assert!(error.path.starts_with("accounts"), "{error}");
}

/// An operator may write a key where its digest belongs. The error must not carry the key on, to
/// the log and to the tool.
#[test]
fn misplaced_key_is_rejected_but_not_shown() {
    for text in [
        "accounts:\n  acme: {key_sha256: [my-secret]}\n",
        "accounts:\n  acme: {key_sha256: my-secret}\n",
        "accounts:\n  acme: {key_sha256: {my-secret: 1}}\n",
        "accounts:\n  acme: {rate_per_s: my-secret}\n",
        "accounts:\n  acme: {rank: [my-secret]}\n",
        "accounts:\n  acme: {rank: \"my-secret!\"}\n",
        "accounts:\n  acme: my-secret\n",
        "accounts: my-secret\n",
        "accounts:\n- my-secret\n",
        "require_keys: true\naccounts:\n  acme:\n    key_sha256:\n    - {a: my-secret}\n",
    ] {
        let error = build(&[text]).unwrap_err();
        assert!(!format!("{error} {error:?}").contains("my-secret"), "{error}");
        assert!(error.path.starts_with("accounts"), "{error}");
    }
    for length in [0, 1, 63, 65, 128] {
        "a".repeat(length).parse::<KeyDigest>().unwrap_err();
    }
    "g".repeat(64).parse::<KeyDigest>().unwrap_err();
    "é".repeat(32).parse::<KeyDigest>().unwrap_err();
}

#[test]
fn debug_output_hides_digests() {
    let text = format!("accounts:\n  acme: {{key_sha256: [{}]}}\n", digest("one"));
    let snapshot = build(&[&text]).unwrap();
    let mut output = String::new();
    write!(output, "{snapshot:?} {:?}", KeyDigest::of(b"one")).unwrap();
    let first_bytes = format!("{:?}", &digest("one").as_bytes()[..4]);
    assert!(!output.contains(&digest("one")[..8]) && !output.contains(&first_bytes), "{output}");
}

/// The index is searched by the first bytes of a digest; digests that share them must not be
/// mistaken for each other.
#[test]
fn digests_with_a_common_prefix_are_told_apart() {
    arbtest::arbtest(|u| {
        let mut digests: Vec<[u8; 32]> = Vec::new();
        for _ in 0..u.int_in_range(1..=12)? {
            let mut bytes = [0; 32];
            bytes[7] = u.int_in_range(0..=1)?;
            bytes[8] = u.int_in_range(0..=2)?;
            bytes[31] = u.int_in_range(0..=2)?;
            digests.push(bytes);
        }
        digests.sort_unstable();
        digests.dedup();
        let hex = |bytes: &[u8; 32]| {
            bytes.iter().fold(String::new(), |text, byte| format!("{text}{byte:02x}"))
        };
        let mut text = "accounts:\n".to_owned();
        for bytes in &digests {
            let name = &hex(bytes)[14..];
            writeln!(text, "  a{name}: {{key_sha256: [\"{}\"]}}", hex(bytes)).unwrap();
        }
        let snapshot = build(&[&text]).unwrap();
        for bytes in all_digests() {
            let found = snapshot.accounts().find(&hex(&bytes).parse().unwrap());
            let name = found.map(|account| account.name.to_string());
            let expected = format!("a{}", &hex(&bytes)[14..]);
            assert_eq!(name, digests.contains(&bytes).then_some(expected));
        }
        Ok(())
    });
}

fn all_digests() -> Vec<[u8; 32]> {
    let mut all = Vec::new();
    for (a, b, c) in
        (0..=1).flat_map(|a| (0..=3).flat_map(move |b| (0..=3).map(move |c| (a, b, c))))
    {
        let mut bytes = [0; 32];
        (bytes[7], bytes[8], bytes[31]) = (a, b, c);
        all.push(bytes);
    }
    all
}
