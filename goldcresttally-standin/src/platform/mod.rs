//! An in-memory table service and object store over HTTP, with fault injection.

mod faults;
mod objects;
mod table;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use axum::extract::{ConnectInfo, Request, State};
use axum::http::StatusCode;
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::{Deserialize, Serialize};

use crate::tasks::Server;
pub use faults::{Faults, truncated_response};
pub use table::Table;

/// Counters of received requests, including those that a fault left unanswered.
#[derive(Debug, Default)]
struct RequestCounters {
    reads: AtomicU64,
    writes: AtomicU64,
}

/// Snapshot of the numbers of received requests.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Reads of the table and of the object store.
    pub reads: u64,
    /// Writes to the table and to the object store.
    pub writes: u64,
}

/// State shared by the request handlers.
#[derive(Debug, Default)]
struct Shared {
    table: Table,
    objects: objects::Objects,
    faults: faults::FaultSwitch,
    counts: RequestCounters,
}

/// A running stand-in platform.
#[derive(Debug)]
pub struct Platform {
    shared: Arc<Shared>,
    server: Server,
}

impl Platform {
    /// Starts an empty platform that listens on `address`.
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let server = Server::start(address, router(&shared)).await?;
        Ok(Self { shared, server })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.faults.set(faults);
    }

    /// Returns the numbers of requests received so far.
    pub fn stats(&self) -> Stats {
        self.shared.stats()
    }

    /// Returns the table, for access without HTTP and without faults.
    pub fn table(&self) -> &Table {
        &self.shared.table
    }

    /// Stops the server at once and waits for it to end.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

impl Shared {
    fn stats(&self) -> Stats {
        Stats {
            reads: self.counts.reads.load(Ordering::Relaxed),
            writes: self.counts.writes.load(Ordering::Relaxed),
        }
    }
}

fn router(shared: &Arc<Shared>) -> Router {
    let service = Router::new()
        .route("/table/rows", get(table::scan))
        .route("/table/rows/{*key}", get(table::read))
        .route("/table/transactions", post(table::transact))
        .route("/objects/{*name}", get(objects::read).put(objects::write))
        .layer(from_fn_with_state(Arc::clone(shared), inject_faults));
    Router::new()
        .merge(service)
        .route("/faults", get(faults::show).put(faults::set))
        .route("/stats", get(stats))
        .layer(axum::extract::DefaultBodyLimit::max(64 << 20))
        .with_state(Arc::clone(shared))
}

async fn stats(State(shared): State<Arc<Shared>>) -> Json<Stats> {
    Json(shared.stats())
}

/// Injects the faults in force: before the handler runs, or into its response.
async fn inject_faults(
    State(shared): State<Arc<Shared>>,
    ConnectInfo(client_address): ConnectInfo<SocketAddr>,
    req: Request,
    next: Next,
) -> Response {
    let faults = shared.faults.get();
    let writes = req.method() != axum::http::Method::GET;
    let count = if writes { &shared.counts.writes } else { &shared.counts.reads };
    count.fetch_add(1, Ordering::Relaxed);
    if faults.silent || faults.cut.contains(&client_address.ip()) {
        std::future::pending::<()>().await;
    }
    if faults.down {
        return (StatusCode::SERVICE_UNAVAILABLE, "down").into_response();
    }
    if faults.slow_ms > 0 {
        tokio::time::sleep(std::time::Duration::from_millis(faults.slow_ms)).await;
    }
    let response = next.run(req).await;
    match writes && fastrand::f64() < faults.lose_answers {
        true => truncated_response(),
        false => response,
    }
}
