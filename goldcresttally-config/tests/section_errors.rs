//! An invalid section is rejected with section, path and line.

use std::sync::Arc;

use goldcresttally_config::{Error, SECTION_LIMIT_BYTES, Snapshot, parse_section};
use goldcresttally_core::Version;

fn parse(text: &str) -> Result<(), Error> {
    parse_section(&"booking".parse().unwrap(), text).map(|_| ())
}

fn build(sections: &[(&str, &str)]) -> Result<Snapshot, Error> {
    let bodies: Vec<_> =
        sections.iter().map(|(n, text)| (n.parse().unwrap(), Arc::from(*text))).collect();
    Snapshot::build(Version(1), &bodies)
}

const RANKS: &str = "ranks:\n  urgent: {order: 0, target_ms: 250}\n";

#[test]
fn unknown_field_is_rejected() {
    let error = parse("services:\n  booking:\n    max_concurency: 4\n").unwrap_err();
    assert_eq!(error.line, Some(3));
    assert!(error.path.starts_with("services.booking"), "{error}");
    assert!(error.to_string().contains("max_concurency"), "{error}");
}

#[test]
fn wrong_type_is_rejected() {
    let error = parse("ranks:\n  urgent: {order: first, target_ms: 5}\n").unwrap_err();
    assert_eq!((error.path.as_str(), error.line), ("ranks.urgent.order", Some(2)));
}

#[test]
fn oversized_section_is_rejected() {
    let text = format!("# {}", "x".repeat(SECTION_LIMIT_BYTES));
    assert!(parse(&text).unwrap_err().message.contains("at most"));
}

#[test]
fn undefined_service_is_rejected() {
    let routes = "routes:\n- {path: /a, service: ghost, rank: urgent, idempotent: true}\n";
    let error = build(&[("ranks", RANKS), ("routes", routes)]).unwrap_err();
    assert_eq!(error.section.as_ref().map(ToString::to_string).as_deref(), Some("routes"));
    assert_eq!((error.path.as_str(), error.line), ("routes[0].service", Some(2)));
}

#[test]
fn undefined_rank_is_rejected() {
    let routes = "services:\n  a: {}\nroutes:\n- path: /a\n  service: a\n  rank: ghost\n  idempotent: true\n";
    let error = build(&[("routes", routes)]).unwrap_err();
    assert_eq!((error.path.as_str(), error.line), ("routes[0].rank", Some(6)));
}

#[test]
fn duplicate_definitions_are_rejected() {
    let error = build(&[("a", "services:\n  x: {}\n"), ("b", "services:\n  x: {}\n")]).unwrap_err();
    assert!(error.message.contains("another section"), "{error}");
    let routes = "services:\n  a: {}\nroutes:\n\
        - {path: /a, service: a, rank: urgent, idempotent: true}\n\
        - {path: /a/, service: a, rank: urgent, idempotent: false}\n";
    let error = build(&[("ranks", RANKS), ("routes", routes)]).unwrap_err();
    assert_eq!(error.path, "routes[1].path");
}

#[test]
fn floors_above_half_are_rejected() {
    let ranks = "ranks:\n  a: {order: 0, target_ms: 1, floor: 0.3}\n  b: {order: 1, target_ms: 1, floor: 0.3}\n";
    assert!(build(&[("ranks", ranks)]).unwrap_err().message.contains("0.5"));
}

#[test]
fn deep_nesting_is_rejected() {
    let text = format!("services: {}", "[".repeat(5000));
    parse(&text).unwrap_err();
    let aliases = "a: &a [x,x,x,x,x,x,x,x]\nb: &b [*a,*a,*a,*a,*a,*a]\nservices: [*b,*b,*b]\n";
    parse(aliases).unwrap_err();
}

#[test]
fn arbitrary_text_never_panics() {
    arbtest::arbtest(|u| {
        let text: String = u.arbitrary()?;
        let _ = parse(&text);
        let _ = build(&[("ranks", RANKS), ("x", &text)]);
        Ok(())
    });
}
