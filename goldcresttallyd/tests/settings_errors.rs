//! Checks that invalid settings are refused with key, line and expected values.

use goldcresttallyd::Settings;

const VALID: &str = "\
node:
  control: 10.0.0.1:7400
  peer: 10.0.0.1:7401
  calls: 10.0.0.1:7402
  operator: 10.0.0.1:7403
  domain: no-east-1
  region: no-east
  seeds: [\"10.0.0.2:7400\"]
platform: 10.0.9.9:7000
";

fn error(text: &str) -> (String, Option<usize>, String) {
    let error = Settings::parse(text).unwrap_err();
    (error.key, error.line, error.message)
}

#[test]
fn valid_settings_have_defaults() {
    let settings = Settings::parse(VALID).unwrap();
    assert_eq!(settings.node.threads, 2);
    assert_eq!(settings.distribution_options().fanout, 4);
}

#[test]
fn unknown_key_is_refused_with_line() {
    let (key, line, message) = error(&format!("{VALID}distributon: {{}}\n"));
    assert_eq!((key.as_str(), line), ("distributon", Some(10)));
    assert!(message.contains("distributon") && message.contains("expected one of"), "{message}");
}

#[test]
fn invalid_or_duplicate_address_is_refused_with_line() {
    let (key, line, _) = error(&VALID.replace("10.0.0.1:7401", "here"));
    assert_eq!((key.as_str(), line), ("node.peer", Some(3)));
    let (key, line, message) = error(&VALID.replace("10.0.0.1:7401", "0.0.0.0:7401"));
    assert_eq!((key.as_str(), line), ("node.peer", Some(3)));
    assert!(message.contains("other nodes reach"), "{message}");
    let (key, _, message) = error(&VALID.replace("10.0.0.1:7401", "10.0.0.1:7400"));
    assert_eq!(key, "node.peer");
    assert!(message.contains("node.control"), "{message}");
}

#[test]
fn value_out_of_range_is_refused_with_line() {
    let (key, line, message) = error(&format!("{VALID}distribution:\n  fanout: 0\n"));
    assert_eq!((key.as_str(), line), ("distribution.fanout", Some(11)));
    assert!(message.contains("from 1 to 64"), "{message}");
    let (key, _, _) = error(&format!("{VALID}distribution: {{mode: carrier-pigeon}}\n"));
    assert_eq!(key, "distribution.mode");
}

#[test]
fn missing_key_is_named() {
    let (_, _, message) = error(&VALID.replace("  domain: no-east-1\n", ""));
    assert!(message.contains("domain"), "{message}");
}

#[test]
fn arbitrary_text_never_panics() {
    arbtest::arbtest(|u| {
        let text: String = u.arbitrary()?;
        let _ = Settings::parse(&text);
        let _ = Settings::parse(&format!("{VALID}{text}"));
        Ok(())
    });
}
