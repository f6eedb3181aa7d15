//! A snapshot built with cached sections is the same as one built from scratch.

use std::sync::Arc;

use arbtest::arbtest;
use goldcresttally_config::{Result, Section, SectionCache, SectionFormat, Snapshot, YamlFormat};
use goldcresttally_core::{SectionName, Version};

const BASE: &str = "ranks:\n  r: {order: 0, target_ms: 100, worth: 1, floor: 0.0}\n\
                    services:\n  s: {queue: 4}\n";

fn route(n: u64) -> String {
    format!("routes:\n- {{path: /p{n}, service: s, rank: r, timeout_ms: 100, idempotent: true}}\n")
}

fn sections(numbers: &[u64]) -> Vec<(SectionName, Arc<str>)> {
    let base = ("base".parse().unwrap(), Arc::from(BASE));
    let section = |(i, n): (usize, &u64)| {
        (format!("s{i}").parse().unwrap(), Arc::from(route(i as u64 * 100 + n)))
    };
    [base].into_iter().chain(numbers.iter().enumerate().map(section)).collect()
}

#[test]
fn cached_sections_give_the_same_snapshot() {
    arbtest(|u| {
        let mut cache = SectionCache::default();
        for version in 1..=u.int_in_range(1..=6)? {
            let mut numbers = Vec::new();
            for _ in 0..u.int_in_range(0..=5)? {
                numbers.push(u.int_in_range(0..=2)?);
            }
            let bodies = sections(&numbers);
            let cached = cache.build(&YamlFormat, Version(version), &bodies).unwrap();
            let fresh = Snapshot::build(Version(version), &bodies).unwrap();
            assert_eq!(cached.version(), fresh.version());
            assert_eq!(cached.route_count(), fresh.route_count());
            for (i, n) in numbers.iter().enumerate() {
                let path = format!("/p{}", i as u64 * 100 + n);
                assert!(cached.route("h", "GET", &path).is_some(), "{path}");
            }
        }
        Ok(())
    });
}

/// Counts the sections that are parsed.
#[derive(Debug, Default)]
struct Counting(std::sync::atomic::AtomicUsize);

impl SectionFormat for Counting {
    fn read(&self, name: &SectionName, text: &str) -> Result<Section> {
        self.0.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        YamlFormat.read(name, text)
    }
}

#[test]
fn only_changed_sections_are_parsed() {
    let mut cache = SectionCache::default();
    let format = Counting::default();
    let parsed = |format: &Counting| format.0.load(std::sync::atomic::Ordering::Relaxed);
    cache.build(&format, Version(1), &sections(&[1, 1, 1])).unwrap();
    assert_eq!(parsed(&format), 4);
    cache.build(&format, Version(2), &sections(&[1, 2, 1])).unwrap();
    assert_eq!(parsed(&format), 5);
}

#[test]
fn refused_version_leaves_no_stale_sections() {
    let mut cache = SectionCache::default();
    cache.build(&YamlFormat, Version(1), &sections(&[1])).unwrap();
    let mut invalid = sections(&[2]);
    invalid.push(("odd".parse().unwrap(), Arc::from("routes: 7")));
    cache.build(&YamlFormat, Version(2), &invalid).unwrap_err();
    let snapshot = cache.build(&YamlFormat, Version(3), &sections(&[1])).unwrap();
    assert!(snapshot.route("h", "GET", "/p1").is_some());
    assert!(snapshot.route("h", "GET", "/p2").is_none());
}
