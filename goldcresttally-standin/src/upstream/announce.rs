//! Announces an upstream to its node and renews its lease.

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

/// Interval between lease renewals, in milliseconds.
const RENEW_INTERVAL_MS: u64 = 500;

/// Time limit for an announcement, in milliseconds.
const ANNOUNCE_TIMEOUT_MS: u64 = 1000;

/// Interval between checks for a change of state, in milliseconds.
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
        let next_renewal = tokio::time::Instant::now() + Duration::from_millis(RENEW_INTERVAL_MS);
        // Announces a change of state without waiting for the next renewal.
        while state == self::state(&shared) && tokio::time::Instant::now() < next_renewal {
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(Duration::from_millis(STATE_CHECK_MS)) => {}
            }
        }
    }
}

fn state(shared: &Shared) -> &'static str {
    let behaviour = shared.behaviour();
    let warmed_up = shared.started.elapsed() >= Duration::from_millis(behaviour.cold_start_ms);
    match (behaviour.draining, warmed_up) {
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
    // A failed announcement is not retried; the next renewal replaces it.
    let time_limit = Duration::from_millis(ANNOUNCE_TIMEOUT_MS);
    let _ = tokio::time::timeout(time_limit, client.request(req)).await;
}
