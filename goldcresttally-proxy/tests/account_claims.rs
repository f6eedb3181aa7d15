//! Two accounts may use the same idempotency key for the same request. Each one's call must run, and
//! neither may get the answer to the other's call.

mod common;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use common::{PeerFixture, failure, within, write};
use goldcresttally_config::{KeyDigest, Snapshot};
use goldcresttally_core::{BitRate, Generation, MonoTime, Version};
use goldcresttally_proxy::body::full;
use goldcresttally_proxy::claims::{ClaimRow, ClaimStore, ClaimWriteOutcome};
use goldcresttally_proxy::entry::{Entry, Options};
use goldcresttally_proxy::link::LinkPool;
use goldcresttally_proxy::service::Handler;
use goldcresttally_proxy::{BoxFuture, CallBody, Conventions, TcpTransport};
use goldcresttally_report::Recorder;
use goldcresttally_routing::{Endpoint, EndpointStats, Locality};
use http::{Request, Response};
use http_body_util::BodyExt as _;
use tokio_util::task::TaskTracker;

/// A table in memory.
#[derive(Debug, Default)]
struct Table(Mutex<HashMap<String, ClaimRow>>);

impl ClaimStore for Table {
    fn write(&self, key: String, expected: u64, value: String) -> BoxFuture<'_, ClaimWriteOutcome> {
        let mut rows = self.0.lock().unwrap();
        let revision = rows.get(&key).map_or(0, |row| row.revision);
        let outcome = if revision == expected {
            rows.insert(key, ClaimRow { revision: revision + 1, value });
            ClaimWriteOutcome::Written(revision + 1)
        } else {
            ClaimWriteOutcome::Conflict
        };
        Box::pin(std::future::ready(outcome))
    }

    fn read(&self, key: String) -> BoxFuture<'_, Result<Option<ClaimRow>, ()>> {
        let row = self.0.lock().unwrap().get(&key).cloned();
        Box::pin(std::future::ready(Ok(row)))
    }
}

fn document() -> String {
    let digest = |key: &str| String::from(KeyDigest::of(key.as_bytes()));
    format!(
        "\
ranks:
  urgent: {{order: 0, target_ms: 5000}}
services:
  booking: {{}}
routes:
- {{path: /, service: booking, rank: urgent, idempotent: false, key: required, public: true}}
accounts:
  acme: {{key_sha256: [{}]}}
  other: {{key_sha256: [{}]}}
",
        digest("key-acme"),
        digest("key-other")
    )
}

/// Starts an entry whose only endpoint is the upstream of `fixture`.
fn start_entry(fixture: &PeerFixture, table: &Arc<Table>) -> Arc<Entry> {
    let state = Arc::clone(fixture.peer.state());
    let sections = [("all".parse().unwrap(), Arc::from(document()))];
    state.install(Snapshot::build(Version(1), &sections).unwrap());
    let endpoint = Endpoint {
        node: state.identity.node,
        generation: Generation(1),
        peer: state.identity.peer,
        locality: Locality::Vm,
        link: BitRate::default(),
        trial_milli: 0,
        slots: 4,
        ready: true,
        ready_since: MonoTime(0),
        stats: Arc::new(EndpointStats::default()),
    };
    let endpoints = Arc::from([endpoint]);
    state.set_endpoints(std::iter::once(("booking".parse().unwrap(), endpoints)).collect());
    state.set_ready();
    let tasks = TaskTracker::new();
    let transport = Arc::new(TcpTransport::new(None));
    let links = Arc::new(LinkPool::new(state, transport, tasks.clone()));
    let claims: Arc<dyn ClaimStore> = Arc::clone(table) as _;
    let (peer, recorder) = (Arc::clone(&fixture.peer), Arc::new(Recorder::default()));
    Arc::new(Entry::new(peer, links, claims, recorder, tasks, Options::default()))
}

fn request(account_key: Option<&str>) -> Request<CallBody> {
    let mut req = Request::post("http://h.example/seat").header("idempotency-key", "one");
    if let Some(key) = account_key {
        req = req.header("x-key", key);
    }
    req.body(full("row 5")).unwrap()
}

async fn body_of(response: Response<CallBody>) -> String {
    assert_eq!(response.status(), 200, "{:?}", failure(response.headers()));
    let body = response.into_body().collect().await.unwrap().to_bytes();
    String::from_utf8(body.to_vec()).unwrap()
}

#[tokio::test]
async fn idempotency_keys_of_accounts_are_independent() {
    let account_key = Some("x-key".parse().unwrap());
    let conventions = Conventions { account_key, ..Conventions::default() };
    let fixture = PeerFixture::start_with(conventions).await;
    let table = Arc::new(Table::default());
    let entry = start_entry(&fixture, &table);
    for (account_key, answer) in [(Some("key-acme"), "a"), (Some("key-other"), "b"), (None, "c")] {
        let call = tokio::spawn(Arc::clone(&entry).handle(request(account_key)));
        let mut upstream = fixture.accept().await;
        let text =
            format!("HTTP/1.1 200 OK\r\ncontent-length: 1\r\nconnection: close\r\n\r\n{answer}");
        write(&mut upstream, text.as_bytes()).await;
        assert_eq!(body_of(within(call).await.unwrap()).await, answer);
    }
    // A repeat gets the answer to the first call of its own account.
    for (account_key, answer) in [(Some("key-acme"), "a"), (Some("key-other"), "b"), (None, "c")] {
        let call = tokio::spawn(Arc::clone(&entry).handle(request(account_key)));
        let response = within(call).await.unwrap();
        assert!(response.headers().contains_key("tally-replayed"));
        assert_eq!(body_of(response).await, answer);
    }
    let rows = table.0.lock().unwrap();
    let mut accounts: Vec<_> = rows.keys().map(|row| row.split('/').nth(2).unwrap()).collect();
    accounts.sort_by_key(|part| part.len());
    assert_eq!((rows.len(), accounts[0], accounts[1]), (3, "acme", "other"));
}
