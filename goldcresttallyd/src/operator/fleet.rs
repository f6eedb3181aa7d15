//! Nodes, status, health, metrics and the report on service-level burn.

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

/// Nodes that are asked for their summary at once.
const NODES_AT_ONCE: usize = 32;

/// Time within which a node must give its summary, in milliseconds.
const SUMMARY_TIMEOUT_MS: u64 = 1500;

/// Largest summary accepted, in bytes.
const SUMMARY_LIMIT_BYTES: usize = 16 * 1024 * 1024;

pub(super) async fn nodes(State(operator): State<Shared>) -> Result<Json<Vec<Value>>, Problem> {
    let records = operator.ask(Command::Members).await?;
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
    let control = operator.ask(Command::Status).await?;
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
pub(super) struct Format {
    /// `json` (the default), `text` or `html`.
    format: Option<String>,
}

pub(super) async fn burn(
    State(operator): State<Shared>,
    Query(asked): Query<Format>,
) -> Result<Response, Problem> {
    let report = operator.burn_report().await?;
    let typed = |kind: &'static str, text: String| ([(CONTENT_TYPE, kind)], text).into_response();
    match asked.format.as_deref() {
        None | Some("json") => Ok(Json(report).into_response()),
        Some("text") => Ok(typed("text/plain; charset=utf-8", report.to_text())),
        Some("html") => Ok(typed("text/html; charset=utf-8", report.to_html())),
        Some(other) => {
            Err(Problem::bad_request(format!("format `{other}`: expected json, text or html")))
        }
    }
}

impl OperatorApi {
    /// Merges what all live nodes saw.
    async fn burn_report(&self) -> Result<BurnReport, Problem> {
        let records = self.ask(Command::Members).await?;
        let own = self.settings.node.operator;
        let mut asks = Vec::new();
        let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
        for record in records {
            if record.status == Status::Alive && record.operator != own {
                asks.push(ask_summary(client.clone(), record.operator));
            }
        }
        let answers: Vec<_> =
            futures::stream::iter(asks).buffer_unordered(NODES_AT_ONCE).collect().await;
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

async fn ask_summary(
    client: Client<HttpConnector, Empty<Bytes>>,
    address: SocketAddr,
) -> (SocketAddr, Option<Summary>) {
    let exchange = async {
        let uri = format!("http://{address}/v1/summary").parse().ok()?;
        let response = client.get(uri).await.ok()?;
        let body = Limited::new(response.into_body(), SUMMARY_LIMIT_BYTES).collect().await.ok()?;
        serde_json::from_slice(&body.to_bytes()).ok()
    };
    let limit = Duration::from_millis(SUMMARY_TIMEOUT_MS);
    (address, tokio::time::timeout(limit, exchange).await.ok().flatten())
}
