//! Announces an upstream to its node and renews the lease.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use super::{Announce, Shared};

/// Time between renewals, in milliseconds.
const RENEW_INTERVAL_MS: u64 = 500;

/// Time within which the node must answer, in milliseconds.
const ANNOUNCE_TIMEOUT_MS: u64 = 1000;

/// Time between looks at the own state, in milliseconds.
const STATE_CHECK_MS: u64 = 20;

pub(super) async fn run(
    shared: Arc<Shared>,
    announce: Announce,
    address: SocketAddr,
    stop: CancellationToken,
) {
    let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
    while !stop.is_cancelled() {
        let state = state(&shared);
        announce_once(&client, &shared, &announce, address, state).await;
        let renewal = tokio::time::Instant::now() + Duration::from_millis(RENEW_INTERVAL_MS);
        // A change of state is told at once.
        while state == self::state(&shared) && tokio::time::Instant::now() < renewal {
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(Duration::from_millis(STATE_CHECK_MS)) => {}
            }
        }
    }
}

fn state(shared: &Shared) -> &'static str {
    let behaviour = shared.behaviour();
    let warm = shared.started.elapsed() >= Duration::from_millis(behaviour.cold_start_ms);
    match (behaviour.draining, warm) {
        (true, _) => "draining",
        (false, true) => "ready",
        (false, false) => "starting",
    }
}

async fn announce_once(
    client: &Client<HttpConnector, Full<Bytes>>,
    shared: &Shared,
    announce: &Announce,
    address: SocketAddr,
    state: &str,
) {
    let body = json!({
        "service": announce.service,
        "address": address,
        "slots": shared.behaviour().slots,
        "state": state,
    });
    let req = axum::http::Request::post(format!("http://{}/v1/upstreams", announce.node))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_string())));
    let Ok(req) = req else { return };
    // The next renewal makes up for one that fails.
    let limit = Duration::from_millis(ANNOUNCE_TIMEOUT_MS);
    let _ = tokio::time::timeout(limit, client.request(req)).await;
}
