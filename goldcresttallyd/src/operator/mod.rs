//! The HTTP interface for operators and upstreams.

mod auth;
mod fleet;
mod problem;
mod sections;
mod upstreams;
mod versions;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::routing::{get, post};
use goldcresttally_config::SECTION_LIMIT_BYTES;
use goldcresttally_proxy::Peer;
use goldcresttally_report::Recorder;
use goldcresttally_store::Document;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::control::Command;
use crate::settings::Settings;
use problem::Problem;

/// Time within which the control thread must answer, in milliseconds.
const CONTROL_TIMEOUT_MS: u64 = 2000;

/// What the handlers share.
#[derive(Debug)]
pub struct OperatorApi {
    /// The node's settings.
    pub settings: Arc<Settings>,
    /// The document.
    pub document: Document,
    /// The way to the control thread.
    pub commands: mpsc::Sender<Command>,
    /// The part that runs calls.
    pub peer: Arc<Peer>,
    /// Latencies and outcomes of calls.
    pub recorder: Arc<Recorder>,
}

type Shared = Arc<OperatorApi>;

/// Serves the operator interface until `stop`.
pub async fn serve(listener: TcpListener, operator: OperatorApi, stop: CancellationToken) {
    let service = router(Arc::new(operator)).into_make_service_with_connect_info::<SocketAddr>();
    let served = axum::serve(listener, service);
    tokio::select! {
        // The listener only fails with the whole process.
        _ = served.into_future() => {}
        () = stop.cancelled() => {}
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
        .layer(DefaultBodyLimit::max(SECTION_LIMIT_BYTES + 1024))
        .with_state(operator)
}

impl OperatorApi {
    /// Gives the control thread a command and waits for its answer.
    async fn ask<T>(
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
