//! Accepts connections and finishes what is in flight when it stops.

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

/// Smallest buffer for the head of a request, in bytes; the least that the HTTP library takes.
const MIN_HEAD_BUFFER_BYTES: usize = 8192;

/// Calls in flight at once on one HTTP/2 connection.
const MAX_STREAMS: u32 = 4096;

/// Time without a frame after which an HTTP/2 connection is pinged, in seconds.
const PING_INTERVAL_S: u64 = 10;

/// Bytes taken of one request before they are read.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

/// Bytes taken of all requests of a connection before they are read.
const CONNECTION_WINDOW_BYTES: u32 = 4 * 1024 * 1024;

/// Wait after a failed accept, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 50;

/// Who connects to a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientKind {
    /// Callers, who may do anything.
    Callers,
    /// Other nodes, which cancel calls in numbers while this one is paused.
    Nodes,
}

/// Serves HTTP/1.1 and HTTP/2 on `listener` until `stop`, then finishes what is in flight.
///
/// Each connection is served by the next of `workers`: a runtime and the service to use on it. It
/// keeps the limits that `limits` returns as it begins.
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
            // The library's default closes the connection with all other calls on it.
            builder.http2().max_pending_accept_reset_streams(MAX_STREAMS as usize);
        }
        let service = HyperAdapter(service.clone());
        let connection = serve_connection(stream, builder, service, graceful.watcher());
        tasks.spawn_on(connection, handle);
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Lets a tower service that takes boxed bodies serve hyper's connections.
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

/// Serves one connection on the runtime that polls this.
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
    // How a connection ended is of no interest to others.
    let _ = watcher.watch(connection).await;
}

fn builder(limits: LimitsSpec) -> auto::Builder<TokioExecutor> {
    // The library counts the wait for a head from the end of the call before it, so a connection
    // may stay idle for no longer than a head may take.
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
