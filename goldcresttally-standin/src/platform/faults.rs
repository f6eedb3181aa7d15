//! Injected faults of the platform, which can be changed at run time.

use std::net::IpAddr;
use std::sync::{Arc, PoisonError, RwLock};

use axum::Json;
use axum::body::Body;
use axum::extract::State;
use axum::response::Response;
use futures::StreamExt;
use serde::{Deserialize, Serialize};

use super::Shared;

/// Faults to inject.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Whether every request is answered with 503 without running it.
    pub down: bool,
    /// Whether requests are neither run nor answered.
    pub silent: bool,
    /// Delay before each request runs, in milliseconds.
    pub slow_ms: u64,
    /// Fraction of writes (0 to 1) whose response is lost by truncation after they took effect.
    pub lose_answers: f64,
    /// Client addresses whose requests are neither run nor answered.
    pub cut: Vec<IpAddr>,
}

/// Holder of the faults in force, replaceable at run time.
#[derive(Debug, Default)]
pub(super) struct FaultSwitch(RwLock<Arc<Faults>>);

impl FaultSwitch {
    pub fn get(&self) -> Arc<Faults> {
        Arc::clone(&self.0.read().unwrap_or_else(PoisonError::into_inner))
    }

    pub fn set(&self, faults: Faults) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(faults);
    }
}

pub(super) async fn show(State(shared): State<Arc<Shared>>) -> Json<Faults> {
    Json(shared.faults.get().as_ref().clone())
}

pub(super) async fn set(State(shared): State<Arc<Shared>>, Json(faults): Json<Faults>) {
    shared.faults.set(faults);
}

/// Time between the start of a truncated response and its connection error, in milliseconds.
const TRUNCATION_DELAY_MS: u64 = 20;

/// Returns a response whose body ends with an error before its declared content length.
pub fn truncated_response() -> Response {
    let first_chunk =
        futures::stream::once(async { Ok(bytes::Bytes::from_static(b"{\"broken\"")) });
    let failure = futures::stream::once(async {
        // Gives the server time to send the first chunk before the error closes the connection.
        tokio::time::sleep(std::time::Duration::from_millis(TRUNCATION_DELAY_MS)).await;
        Err(std::io::Error::other("response truncated on purpose"))
    });
    let mut response = Response::new(Body::from_stream(first_chunk.chain(failure)));
    response.headers_mut().insert("content-length", axum::http::HeaderValue::from_static("64"));
    response
}
