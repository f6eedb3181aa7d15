//! Sends calls to an entry node and classifies their outcomes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use goldcresttally_core::Verdict;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use tokio::time::Instant;

use super::stats::Outcome;

/// Time after which a caller gives up on a call, in seconds.
const CALL_TIMEOUT_S: u64 = 60;

/// A call to make.
#[derive(Debug, Clone, Default)]
pub struct CallSpec {
    /// Call id under which upstreams record the call.
    pub id: String,
    /// Request path, which selects the route.
    pub path: String,
    /// Request method.
    pub method: http::Method,
    /// Idempotency key, if any.
    pub key: Option<String>,
    /// Service time at the upstream, in milliseconds; the upstream's default when absent.
    pub service_ms: Option<f64>,
    /// Request body.
    pub body: Bytes,
}

/// An HTTP client with its own connection pool and without automatic retries.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Caller {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .build(connector),
        }
    }
}

impl Caller {
    /// Makes a call through the entry node at `entry`; returns its outcome and latency.
    pub async fn call(&self, entry: SocketAddr, spec: &CallSpec) -> (Outcome, Duration) {
        let started = Instant::now();
        let limit = Duration::from_secs(CALL_TIMEOUT_S);
        let outcome = match tokio::time::timeout(limit, self.exchange(entry, spec)).await {
            Ok(outcome) => outcome,
            Err(_) => Outcome::Broken,
        };
        (outcome, started.elapsed())
    }

    async fn exchange(&self, entry: SocketAddr, spec: &CallSpec) -> Outcome {
        let mut req = Request::builder()
            .method(spec.method.clone())
            .uri(format!("http://{entry}{}", spec.path))
            .header("x-call-id", &spec.id);
        if let Some(key) = &spec.key {
            req = req.header("idempotency-key", key);
        }
        if let Some(ms) = spec.service_ms {
            req = req.header("x-service-ms", ms.to_string());
        }
        let Ok(req) = req.body(Full::new(spec.body.clone())) else {
            return Outcome::Broken;
        };
        let Ok(response) = self.client.request(req).await else {
            return Outcome::Broken;
        };
        let (parts, body) = response.into_parts();
        let Ok(body) = body.collect().await else {
            return Outcome::Cut;
        };
        let verdict = parts.headers.get("tally-verdict").and_then(|v| v.to_str().ok());
        match verdict.and_then(|v| v.parse().ok()) {
            Some(Verdict::NotRun) => Outcome::NotRun,
            Some(Verdict::MayHaveRun) => Outcome::MayHaveRun,
            Some(Verdict::Ran) => Outcome::RanUnanswered,
            None if parts.status.is_success() => classify_answer(&body.to_bytes(), &spec.id),
            None => Outcome::Failed(parts.status.as_u16()),
        }
    }
}

/// Checks by the call id in the body that the answer belongs to this call.
fn classify_answer(body: &Bytes, id: &str) -> Outcome {
    let answer: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    match answer["call"].as_str() {
        Some(call) if call == id => Outcome::Answered,
        Some(_) => Outcome::Crossed,
        None => Outcome::Cut,
    }
}
