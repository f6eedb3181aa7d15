//! Serves an axum router to tools on a listener, within the limits on clients.

use std::convert::Infallible;
use std::sync::Arc;

use axum::Router;
use goldcresttally_config::LimitsSpec;
use goldcresttally_proxy::body::{CallBody, boxed};
use goldcresttally_proxy::clients::{ClientPort, Clients};
use goldcresttally_proxy::server;
use http::{Request, Response};
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tower::{Service, ServiceExt};

/// Limits on the requests of tools. Tools may keep connections for longer than callers do.
const LIMITS: LimitsSpec = LimitsSpec {
    max_header_bytes: 16 * 1024,
    max_body_bytes: 0,
    header_timeout_ms: 5000,
    idle_timeout_ms: 60_000,
};

/// Serves `router` on `listener` until `stop` is cancelled; buffers at most `max_body_bytes` of a request's
/// body. Handlers get the client's address as an extension of the request, a `SocketAddr`.
pub async fn serve(
    listener: TcpListener,
    clients: Arc<Clients>,
    router: Router,
    max_body_bytes: usize,
    stop: CancellationToken,
) {
    let port = Arc::new(ClientPort::for_tools(clients, max_body_bytes));
    let service = tower::service_fn(move |req: Request<CallBody>| respond(router.clone(), req));
    let workers = vec![(Handle::current(), service)];
    let (never, tasks) = (CancellationToken::new(), TaskTracker::new());
    tokio::select! {
        // Dropping the future closes all connections.
        () = server::serve_clients(listener, port, workers, || LIMITS, never, tasks) => {}
        () = stop.cancelled() => {}
    }
}

async fn respond(
    mut router: Router,
    req: Request<CallBody>,
) -> Result<Response<CallBody>, Infallible> {
    let router = ServiceExt::<Request<CallBody>>::ready(&mut router).await?;
    Ok(router.call(req).await?.map(boxed))
}
