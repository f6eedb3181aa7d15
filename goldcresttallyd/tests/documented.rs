//! Checks that the reference pages list every event and setting, and that the sample deployments
//! are valid.

use goldcresttallyd::{Settings, events};

fn page(name: &str) -> String {
    std::fs::read_to_string(format!("{}/../docs/{name}", env!("CARGO_MANIFEST_DIR"))).unwrap()
}

#[test]
fn every_event_is_documented() {
    let page = page("EVENTS.md");
    let mut last = 0;
    for event in events::CATALOGUE {
        assert!(event.number > last, "{} is not in order", event.number);
        last = event.number;
        let row = format!(
            "| E{} | {} | {} |",
            event.number,
            event.level.as_str().to_lowercase(),
            event.title
        );
        assert!(page.contains(&row), "docs/EVENTS.md lacks `{row}`");
    }
}

#[test]
fn every_setting_is_documented() {
    let text = "\
node: {control: 10.0.0.1:1, peer: 10.0.0.1:2, calls: 10.0.0.1:3, operator: 10.0.0.1:4, domain: d, region: r}
platform: 10.0.0.2:1
metrics: {statsd: 10.0.0.3:1}
";
    let settings = serde_json::to_value(Settings::parse(text).unwrap()).unwrap();
    let page = page("SETTINGS.md");
    let mut keys = Vec::new();
    for (section, value) in settings.as_object().unwrap() {
        match value.as_object().filter(|_| section != "teams") {
            Some(object) => keys.extend(object.keys().map(|key| format!("{section}.{key}"))),
            None => keys.push(section.clone()),
        }
    }
    for key in keys {
        assert!(page.contains(&format!("| `{key}` |")), "docs/SETTINGS.md lacks {key}");
    }
}

#[test]
fn sample_deployments_are_valid() {
    for site in ["fjordleik", "agency", "try-out"] {
        let folder = format!("{}/../deploy/{site}", env!("CARGO_MANIFEST_DIR"));
        let mut sections = Vec::new();
        for entry in std::fs::read_dir(&folder).unwrap().map(Result::unwrap) {
            let text = std::fs::read_to_string(entry.path()).unwrap();
            let name = entry.file_name().into_string().unwrap();
            if name.starts_with("node") {
                Settings::parse(&text).unwrap_or_else(|e| panic!("{site}/{name}: {e}"));
            } else {
                let section = name.trim_end_matches(".yaml").parse().unwrap();
                sections.push((section, std::sync::Arc::from(text)));
            }
        }
        let version = goldcresttally_core::Version(1);
        let snapshot = goldcresttally_config::Snapshot::build(version, &sections);
        let snapshot = snapshot.unwrap_or_else(|e| panic!("{site}: {e}"));
        assert!(snapshot.route_count() >= 4, "{site}");
    }
}
