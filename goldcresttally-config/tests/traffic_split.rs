//! Calls of a route are split by weight, and a trailing slash in a route's path is honored.

use std::sync::Arc;

use goldcresttally_config::Snapshot;
use goldcresttally_core::Version;

fn build(routes: &str) -> goldcresttally_config::Result<Snapshot> {
    let text = format!(
        "services: {{a: {{}}, b: {{}}, c: {{}}}}\nranks: {{r: {{order: 0, target_ms: 100}}}}\n{routes}"
    );
    Snapshot::build(Version(1), &[("all".parse().unwrap(), Arc::from(text))])
}

#[test]
fn calls_are_split_by_weight() {
    arbtest::arbtest(|u| {
        let weights: [u32; 3] = [u.int_in_range(0..=100)?, u.int_in_range(1..=100)?, 50];
        let parts: Vec<_> = ["a", "b", "c"]
            .iter()
            .zip(weights)
            .map(|(s, w)| format!("{{service: {s}, weight: {w}}}"))
            .collect();
        let routes = format!(
            "routes:\n- {{path: /x, split: [{}], rank: r, idempotent: true}}",
            parts.join(", ")
        );
        let snapshot = build(&routes).unwrap();
        let route = snapshot.route("h", "GET", "/x").unwrap();
        let offset = u.arbitrary()?;
        let mut counts = [0; 3];
        for _ in 0..300 {
            let name = &route.split.next(offset).name;
            counts[(name.as_str().as_bytes()[0] - b'a') as usize] += 1;
        }
        let total: u32 = weights.iter().sum();
        for (count, weight) in counts.into_iter().zip(weights) {
            let share = f64::from(weight) / f64::from(total);
            let observed = f64::from(count) / 300.0;
            assert!((observed - share).abs() < 0.02, "{weights:?} {counts:?}");
        }
        Ok(())
    });
}

#[test]
fn invalid_splits_are_rejected() {
    for invalid in [
        "split: []",
        "split: [{service: a, weight: 0}]",
        "split: [{service: nobody, weight: 1}]",
        "service: a, split: [{service: a, weight: 1}]",
    ] {
        let routes = format!("routes:\n- {{path: /x, {invalid}, rank: r, idempotent: true}}");
        build(&routes).unwrap_err();
    }
}

#[test]
fn trailing_slash_excludes_bare_path() {
    let snapshot = build(
        "routes:\n- {path: /a/, service: a, rank: r, idempotent: true}\n\
         - {path: /a/b/, service: b, rank: r, idempotent: true, target_ms: 70}",
    )
    .unwrap();
    let service = |path: &str| {
        snapshot.route("h", "GET", path).map(|r| r.split.next(0).name.as_str().to_owned())
    };
    assert_eq!(service("/a"), None);
    assert_eq!(service("/a/").as_deref(), Some("a"));
    assert_eq!(service("/a/x").as_deref(), Some("a"));
    assert_eq!(service("/a/b").as_deref(), Some("a"));
    assert_eq!(service("/a/b/").as_deref(), Some("b"));
    assert_eq!(service("/ab"), None);
    let targets = ["/a/", "/a/b/"].map(|p| snapshot.route("h", "GET", p).unwrap().target);
    assert_eq!(targets.map(|t| t.as_millis()), [100, 70]);
}
