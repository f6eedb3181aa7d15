//! The HTTP API for operators and upstreams.

mod auth;
mod fleet;
mod problem;
mod sections;
mod upstreams;
mod versions;

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::{DefaultBodyLimit, Request};
use axum::middleware::Next;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use goldcresttally_config::SECTION_LIMIT_BYTES;
use goldcresttally_proxy::Peer;
use goldcresttally_proxy::body::{is_over_budget, read_up_to};
use goldcresttally_report::Recorder;
use goldcresttally_store::Document;
use http::StatusCode;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::client_listener;
use crate::control::Command;
use crate::settings::Settings;
use problem::Problem;

/// Time limit for a reply from the control thread, in milliseconds.
const CONTROL_TIMEOUT_MS: u64 = 2000;

/// Maximum size of a request's body, in bytes.
const MAX_BODY_BYTES: usize = SECTION_LIMIT_BYTES + 1024;

/// The state shared by the API handlers.
#[derive(Debug)]
pub struct OperatorApi {
    /// The node's settings.
    pub settings: Arc<Settings>,
    /// The configuration document in the table and object stores.
    pub document: Document,
    /// Sends commands to the control thread.
    pub commands: mpsc::Sender<Command>,
    /// The component that runs calls on the local upstreams.
    pub peer: Arc<Peer>,
    /// Recorded latencies and outcomes of calls.
    pub recorder: Arc<Recorder>,
}

type Shared = Arc<OperatorApi>;

/// Serves the API on `listener` until `stop` is cancelled.
pub async fn serve(listener: TcpListener, operator: OperatorApi, stop: CancellationToken) {
    let clients = Arc::clone(&operator.peer.state().clients);
    let router = router(Arc::new(operator));
    client_listener::serve(listener, clients, router, MAX_BODY_BYTES, stop).await;
}

/// Reads the body of a request before it is handled.
async fn read_body(req: Request, next: Next) -> Response {
    let (parts, body) = req.into_parts();
    match read_up_to(body, MAX_BODY_BYTES).await {
        Ok((body, None)) => next.run(Request::from_parts(parts, body.into())).await,
        Ok((_, Some(_))) => StatusCode::PAYLOAD_TOO_LARGE.into_response(),
        Err(e) if is_over_budget(&e) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Err(_) => StatusCode::BAD_REQUEST.into_response(),
    }
}

fn router(operator: Shared) -> Router {
    Router::new()
        .route("/v1/upstreams", post(upstreams::announce).delete(upstreams::withdraw))
        .route("/v1/sections", get(sections::list))
        .route(
            "/v1/sections/{name}",
            get(sections::show).put(sections::write).delete(sections::remove),
        )
        .route("/v1/validate", post(versions::validate))
        .route("/v1/diff", get(versions::diff))
        .route("/v1/accept", post(versions::accept))
        .route("/v1/history", get(versions::history))
        .route("/v1/rollout", get(versions::rollout))
        .route("/v1/nodes", get(fleet::nodes))
        .route("/v1/status", get(fleet::status))
        .route("/v1/health", get(fleet::health))
        .route("/v1/metrics", get(fleet::metrics))
        .route("/v1/summary", get(fleet::summary))
        .route("/v1/report/burn", get(fleet::burn))
        .fallback(problem::not_found)
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .layer(axum::middleware::from_fn(read_body))
        .with_state(operator)
}

impl OperatorApi {
    /// Sends a command to the control thread and returns its reply.
    ///
    /// # Errors
    ///
    /// Returns a 503 problem if the control thread has ended or does not reply in time.
    async fn send_command<T>(
        &self,
        command: impl FnOnce(oneshot::Sender<T>) -> Command,
    ) -> Result<T, Problem> {
        let (reply, answer) = oneshot::channel();
        let exchange = async {
            self.commands.send(command(reply)).await.ok()?;
            answer.await.ok()
        };
        let limit = Duration::from_millis(CONTROL_TIMEOUT_MS);
        let answer = tokio::time::timeout(limit, exchange).await;
        answer
            .ok()
            .flatten()
            .ok_or_else(|| Problem::unavailable("the control thread does not answer"))
    }
}
