//! Request handlers of an upstream.

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use http_body_util::BodyExt;
use serde_json::{Value, json};

use super::{Behaviour, Record, Shared};
use crate::platform::truncated_response;

/// Guard of a running call that records a cancellation if it is dropped before the call finished.
struct CallGuard<'a> {
    record: &'a Record,
    finished: bool,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        if !self.finished {
            self.record.cancel();
        }
    }
}

pub(super) async fn call(State(shared): State<Arc<Shared>>, req: Request) -> Response {
    let behaviour = shared.behaviour();
    let headers = req.headers().clone();
    let path = req.uri().path().to_owned();
    // Reads the whole body first, so that a call with a truncated body does not run.
    let Ok(body) = req.into_body().collect().await else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let body = body.to_bytes();
    let max_pending = behaviour.slots as usize + behaviour.backlog as usize;
    let busy =
        behaviour.slots as usize - shared.slots.available_permits().min(behaviour.slots as usize);
    let full = busy >= behaviour.slots as usize && behaviour.backlog == 0;
    if behaviour.sheds || behaviour.draining || full || busy > max_pending {
        return shed(&shared);
    }
    let Ok(_slot) = shared.slots.acquire().await else {
        return shed(&shared);
    };
    let call_id = header_text(&headers, "x-call-id");
    shared.record.start(&call_id);
    let mut guard = CallGuard { record: &shared.record, finished: false };
    let service_time = service_time(&headers, &behaviour);
    // Skips the sleep at zero, because even the shortest sleep takes a millisecond.
    if !service_time.is_zero() {
        tokio::time::sleep(service_time).await;
    }
    if behaviour.mute {
        std::future::pending::<()>().await;
    }
    guard.finished = true;
    shared.record.finish(&call_id);
    if behaviour.truncates {
        return truncated_response();
    }
    echo_response(&call_id, &path, &body, behaviour.answer_bytes)
}

fn echo_response(call_id: &str, path: &str, body: &Bytes, padding: usize) -> Response {
    let content = json!({ "call": call_id, "path": path, "received": body.len() }).to_string();
    let mut response = Response::new(Body::from(content + &" ".repeat(padding)));
    let headers = response.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    if let Ok(value) = HeaderValue::from_str(call_id) {
        headers.insert("x-call-id", value);
    }
    response
}

fn shed(shared: &Shared) -> Response {
    shared.record.shed();
    let mut response = StatusCode::SERVICE_UNAVAILABLE.into_response();
    response.headers_mut().insert("tally-not-run", HeaderValue::from_static("true"));
    response
}

fn service_time(headers: &HeaderMap, behaviour: &Behaviour) -> Duration {
    let requested_ms = header_text(headers, "x-service-ms").parse().unwrap_or(behaviour.service_ms);
    Duration::from_secs_f64(requested_ms.clamp(0.0, 60_000.0) / 1000.0)
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned()
}

pub(super) async fn health(State(shared): State<Arc<Shared>>) -> StatusCode {
    let behaviour = shared.behaviour();
    let warmed_up = shared.started.elapsed() >= Duration::from_millis(behaviour.cold_start_ms);
    let healthy = behaviour.reported_health.unwrap_or(warmed_up && !behaviour.draining);
    if healthy { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}

pub(super) async fn load(State(shared): State<Arc<Shared>>) -> Json<Value> {
    let behaviour = shared.behaviour();
    let busy = f64::from(behaviour.slots) - shared.slots.available_permits() as f64;
    let load = behaviour.reported_load.unwrap_or(busy / f64::from(behaviour.slots.max(1)));
    Json(json!({ "load": load }))
}

pub(super) async fn set_behaviour(
    State(shared): State<Arc<Shared>>,
    Json(behaviour): Json<Behaviour>,
) {
    shared.set_behaviour(behaviour);
}

pub(super) async fn show_record(State(shared): State<Arc<Shared>>) -> Json<Value> {
    let doubled = shared.record.runs().values().filter(|r| r.started > 1).count();
    Json(json!({
        "calls": shared.record.runs().len(),
        "doubled": doubled,
        "cancelled": shared.record.cancelled(),
        "shed": shared.record.shed_count(),
    }))
}
