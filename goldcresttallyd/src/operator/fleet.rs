//! Handlers for nodes, status, health, metrics and the error budget burn report.

use std::net::SocketAddr;
use std::time::Duration;

use axum::Json;
use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use futures::StreamExt;
use goldcresttally_core::Map;
use goldcresttally_membership::{Record, Status};
use goldcresttally_report::{BurnReport, Summary};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde_json::{Value, json};

use super::problem::Problem;
use super::{OperatorApi, Shared};
use crate::control::Command;

/// Maximum number of concurrent summary requests to other nodes.
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// Time limit for a summary request to another node, in milliseconds.
const SUMMARY_TIMEOUT_MS: u64 = 1500;

/// Maximum size of a summary from another node, in bytes.
const MAX_SUMMARY_BYTES: usize = 16 * 1024 * 1024;

pub(super) async fn nodes(State(operator): State<Shared>) -> Result<Json<Vec<Value>>, Problem> {
    let records = operator.send_command(Command::Members).await?;
    Ok(Json(records.iter().map(node_json).collect()))
}

fn node_json(record: &Record) -> Value {
    let upstreams: Vec<_> = record
        .upstreams
        .iter()
        .map(|u| json!({ "service": u.service, "slots": u.slots, "state": u.state.to_string() }))
        .collect();
    json!({
        "node": record.id,
        "operator": record.operator,
        "peer": record.peer,
        "domain": record.domain,
        "region": record.region,
        "generation": record.generation,
        "status": record.status.to_string(),
        "leaving": record.leaving,
        "upstreams": upstreams,
    })
}

pub(super) async fn status(State(operator): State<Shared>) -> Result<Json<Value>, Problem> {
    let control = operator.send_command(Command::Status).await?;
    let upstreams: Vec<_> = operator
        .peer
        .loads()
        .into_iter()
        .map(|(service, address, load)| {
            json!({
                "service": service,
                "address": address,
                "running": load.running,
                "waiting": load.waiting,
                "limit": load.limit,
            })
        })
        .collect();
    let (entries, answer_bytes) = operator.peer.ledger_size();
    let state = operator.peer.state();
    Ok(Json(json!({
        "control": control,
        "leaving": state.is_leaving(),
        "upstreams": upstreams,
        "ledger": { "entries": entries, "answer_bytes": answer_bytes },
        "counters": counters(&operator),
    })))
}

pub(super) async fn health(State(operator): State<Shared>) -> (StatusCode, &'static str) {
    let state = operator.peer.state();
    match (state.is_leaving(), state.is_ready()) {
        (true, _) => (StatusCode::SERVICE_UNAVAILABLE, "leaving\n"),
        (false, true) => (StatusCode::OK, "ready\n"),
        (false, false) => {
            (StatusCode::SERVICE_UNAVAILABLE, "no configuration that may be served\n")
        }
    }
}

pub(super) async fn metrics(State(operator): State<Shared>) -> Json<Value> {
    Json(counters(&operator))
}

fn counters(operator: &OperatorApi) -> Value {
    let counters = operator.peer.state().counters.read();
    counters.into_iter().map(|(name, value)| (name.to_owned(), json!(value))).collect()
}

pub(super) async fn summary(State(operator): State<Shared>) -> Json<Summary> {
    Json(operator.recorder.summary())
}

#[derive(Debug, Deserialize)]
pub(super) struct FormatParams {
    /// `json` (the default), `text` or `html`.
    format: Option<String>,
}

pub(super) async fn burn(
    State(operator): State<Shared>,
    Query(params): Query<FormatParams>,
) -> Result<Response, Problem> {
    let report = operator.burn_report().await?;
    let reply = |mime: &'static str, body: String| ([(CONTENT_TYPE, mime)], body).into_response();
    match params.format.as_deref() {
        None | Some("json") => Ok(Json(report).into_response()),
        Some("text") => Ok(reply("text/plain; charset=utf-8", report.to_text())),
        Some("html") => Ok(reply("text/html; charset=utf-8", report.to_html())),
        Some(other) => {
            Err(Problem::bad_request(format!("format `{other}`: expected json, text or html")))
        }
    }
}

impl OperatorApi {
    /// Builds the burn report from the merged summaries of all alive nodes.
    async fn burn_report(&self) -> Result<BurnReport, Problem> {
        let records = self.send_command(Command::Members).await?;
        let own = self.settings.node.operator;
        let mut requests = Vec::new();
        let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
        for record in records {
            if record.status == Status::Alive && record.operator != own {
                requests.push(fetch_summary(client.clone(), record.operator));
            }
        }
        let answers: Vec<_> = futures::stream::iter(requests)
            .buffer_unordered(MAX_CONCURRENT_REQUESTS)
            .collect()
            .await;
        let mut merged = self.recorder.summary();
        let mut nodes = 1;
        let mut missing = Vec::new();
        for (address, answer) in answers {
            match answer {
                Some(summary) => {
                    merged.merge(&summary);
                    nodes += 1;
                }
                None => missing.push(address.to_string()),
            }
        }
        missing.sort();
        let serving = self.peer.state().active_config();
        let objectives: Map<_, _> =
            serving.snapshot.services().map(|s| (s.name.clone(), s.objective.fraction())).collect();
        let report = BurnReport::new(serving.snapshot.version().0, &merged, &objectives);
        Ok(BurnReport { nodes, missing, ..report })
    }
}

/// Fetches the summary of a node; returns `None` for it on any failure.
async fn fetch_summary(
    client: Client<HttpConnector, Empty<Bytes>>,
    address: SocketAddr,
) -> (SocketAddr, Option<Summary>) {
    let exchange = async {
        let uri = format!("http://{address}/v1/summary").parse().ok()?;
        let response = client.get(uri).await.ok()?;
        let body = Limited::new(response.into_body(), MAX_SUMMARY_BYTES).collect().await.ok()?;
        serde_json::from_slice(&body.to_bytes()).ok()
    };
    let limit = Duration::from_millis(SUMMARY_TIMEOUT_MS);
    (address, tokio::time::timeout(limit, exchange).await.ok().flatten())
}
