//! HTTP server of a node: accepts connections, and completes the calls in flight when it stops.

use std::convert::Infallible;
use std::time::Duration;

use goldcresttally_config::LimitsSpec;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tower::util::Oneshot;
use tower::{Service, ServiceExt};

use crate::body::{CallBody, boxed};

/// Minimum buffer for the head of a request, in bytes; hyper accepts no smaller one.
const MIN_HEAD_BUFFER_BYTES: usize = 8192;

/// Maximum concurrent calls on one HTTP/2 connection.
const MAX_STREAMS: u32 = 4096;

/// Time without a frame after which an HTTP/2 connection is pinged, in seconds.
const PING_INTERVAL_S: u64 = 10;

/// Flow-control window of one request, in bytes.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

/// Flow-control window of all requests on a connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 4 * 1024 * 1024;

/// Delay after a failed accept, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 50;

/// The kind of clients that connect to a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientKind {
    /// Callers, which are not trusted.
    Callers,
    /// Other nodes, which may cancel many calls at once while this node is paused.
    Nodes,
}

/// Serves HTTP/1.1 and HTTP/2 on `listener` until `stop`, then completes the calls in flight.
///
/// Connections are distributed over `workers`, each a runtime and the service to use on it, in
/// round-robin order. A connection keeps the limits that `limits` returns when it is accepted.
pub async fn serve<S>(
    listener: TcpListener,
    clients: ClientKind,
    workers: Vec<(Handle, S)>,
    limits: impl Fn() -> LimitsSpec + Send,
    stop: CancellationToken,
    tasks: TaskTracker,
) where
    S: Service<Request<CallBody>, Response = Response<CallBody>, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Send + 'static,
{
    let graceful = GracefulShutdown::new();
    for index in 0.. {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            continue;
        };
        let Ok(stream) = stream.into_std() else { continue };
        let (handle, service) = &workers[index % workers.len()];
        let mut builder = builder(limits());
        if clients == ClientKind::Nodes {
            // At hyper's default limit, many cancellations at once would close the connection and
            // with it all other calls on it.
            builder.http2().max_pending_accept_reset_streams(MAX_STREAMS as usize);
        }
        let service = HyperAdapter(service.clone());
        let connection = serve_connection(stream, builder, service, graceful.watcher());
        tasks.spawn_on(connection, handle);
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Adapts a tower service with boxed bodies to hyper's service trait.
#[derive(Debug, Clone)]
struct HyperAdapter<S>(S);

impl<S> hyper::service::Service<Request<Incoming>> for HyperAdapter<S>
where
    S: Service<Request<CallBody>, Response = Response<CallBody>, Error = Infallible> + Clone,
{
    type Response = Response<CallBody>;
    type Error = Infallible;
    type Future = Oneshot<S, Request<CallBody>>;

    fn call(&self, req: Request<Incoming>) -> Self::Future {
        self.0.clone().oneshot(req.map(boxed))
    }
}

/// Serves one connection; must be polled on the runtime that is to drive it.
async fn serve_connection<S>(
    stream: std::net::TcpStream,
    builder: auto::Builder<TokioExecutor>,
    service: HyperAdapter<S>,
    watcher: Watcher,
) where
    S: Service<Request<CallBody>, Response = Response<CallBody>, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Send + 'static,
{
    let Ok(stream) = TcpStream::from_std(stream) else { return };
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
    // A connection error concerns only its client.
    let _ = watcher.watch(connection).await;
}

fn builder(limits: LimitsSpec) -> auto::Builder<TokioExecutor> {
    // hyper's timeout for reading a head starts when the previous call ends, so it also bounds the
    // time for which a connection may be idle.
    let head_ms = limits.header_timeout_ms.max(limits.idle_timeout_ms);
    let head_bytes = (limits.max_header_bytes as usize).max(MIN_HEAD_BUFFER_BYTES);
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(head_ms.into()))
        .max_buf_size(head_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(Duration::from_secs(PING_INTERVAL_S))
        .max_concurrent_streams(MAX_STREAMS)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_header_list_size(head_bytes as u32);
    builder
}
