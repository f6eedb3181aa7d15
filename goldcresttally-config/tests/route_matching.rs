//! The most specific route wins, and ranks are indexed by their order.

use std::sync::Arc;

use goldcresttally_config::Snapshot;
use goldcresttally_core::Version;

const DOCUMENT: &str = "
services: {web: {}, api: {}, trips: {}}
ranks:
  urgent: {order: 1, target_ms: 250}
  least: {order: 7, target_ms: 5000}
routes:
- {path: /, service: web, rank: least, idempotent: true}
- {path: /api, service: api, rank: least, idempotent: true}
- {path: /api/trips, service: trips, rank: urgent, idempotent: true}
- {path: /api/trips, method: POST, service: trips, rank: urgent, idempotent: false}
- {path: /api/trips, host: other.example, service: web, rank: least, idempotent: true}
";

fn snapshot() -> Snapshot {
    let bodies = [("all".parse().unwrap(), Arc::from(DOCUMENT))];
    Snapshot::build(Version(3), &bodies).unwrap()
}

fn service(host: &str, method: &str, path: &str) -> Option<String> {
    snapshot().route(host, method, path).map(|r| r.split.next(0).name.to_string())
}

#[test]
fn longest_path_prefix_wins() {
    assert_eq!(service("h", "GET", "/x").as_deref(), Some("web"));
    assert_eq!(service("h", "GET", "/").as_deref(), Some("web"));
    assert_eq!(service("h", "GET", "/api").as_deref(), Some("api"));
    assert_eq!(service("h", "GET", "/api/").as_deref(), Some("api"));
    assert_eq!(service("h", "GET", "/apis").as_deref(), Some("web"));
    assert_eq!(service("h", "GET", "/api/trips/7").as_deref(), Some("trips"));
    assert_eq!(service("h", "GET", "*"), None);
}

#[test]
fn host_takes_precedence_over_method() {
    let snapshot = snapshot();
    assert!(!snapshot.route("h", "POST", "/api/trips").unwrap().idempotent);
    assert!(snapshot.route("h", "GET", "/api/trips").unwrap().idempotent);
    assert_eq!(service("OTHER.example", "POST", "/api/trips").as_deref(), Some("web"));
}

#[test]
fn ranks_are_sorted_by_order() {
    let snapshot = snapshot();
    let names: Vec<_> = snapshot.ranks().iter().map(|r| r.name.to_string()).collect();
    assert_eq!(names, ["urgent", "least"]);
    assert_eq!(snapshot.route("h", "GET", "/api/trips").unwrap().rank.index, 0);
    assert_eq!(snapshot.version(), Version(3));
}
