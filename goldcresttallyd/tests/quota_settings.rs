//! Guards against quota settings that would disable or loosen a limit unnoticed.

use goldcresttallyd::Settings;

const NODE: &str = "\
node: {control: 10.0.0.1:1, peer: 10.0.0.1:2, calls: 10.0.0.1:3, operator: 10.0.0.1:4, domain: d, region: r}
";

fn parse(quotas: &str) -> Result<Settings, String> {
    Settings::parse(&format!("{NODE}quotas: {quotas}\n")).map_err(|e| e.key)
}

#[test]
fn limits_are_enforced_only_if_enabled() {
    assert!(Settings::parse(NODE).unwrap().account_limits().is_none());
    assert!(parse("{enabled: true}").unwrap().account_limits().is_some());
}

#[test]
fn values_outside_their_range_are_refused() {
    for (quotas, key) in [
        ("{slack: -1}", "quotas.slack"),
        ("{slack: .inf}", "quotas.slack"),
        ("{slack: .nan}", "quotas.slack"),
        ("{window_ms: 0}", "quotas.window_ms"),
        ("{window_ms: 60001}", "quotas.window_ms"),
    ] {
        assert_eq!(parse(quotas).unwrap_err(), key, "{quotas}");
    }
    let settings = parse("{enabled: true, slack: 20, window_ms: 5000}").unwrap();
    assert!(settings.quotas.enabled && settings.quotas.slack > 19.0);
    assert_eq!(parse("{enable: true}").unwrap_err(), "quotas.enable");
}
