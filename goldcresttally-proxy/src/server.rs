//! HTTP server of a node: accepts connections, and completes the calls in flight when it stops.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use goldcresttally_config::LimitsSpec;
use http::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tower::Service;

use crate::activity::{Activity, ObservedStream};
use crate::body::CallBody;
use crate::clients::{self, ClientAdapter, ClientOptions, ClientPort, Registration};

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

/// Flow-control windows of one request and of all requests on a connection of a client, in bytes: what
/// arrives before it is wanted.
const CLIENT_STREAM_WINDOW_BYTES: u32 = 64 * 1024;
const CLIENT_CONNECTION_WINDOW_BYTES: u32 = 256 * 1024;

/// Maximum bytes of one response on HTTP/2 that are taken before a client reads them.
const CLIENT_SEND_BUFFER_BYTES: usize = 64 * 1024;

/// Time that an idle connection has to close once the listener stops, in milliseconds, and interval at
/// which the others are checked.
const CLOSE_CHECK_INTERVAL_MS: u64 = 1000;

/// Time that a client has to close a connection which this node has finished with, in milliseconds.
const LINGER_TIMEOUT_MS: u64 = 2000;

/// Size of the reads of bytes that are discarded, in bytes.
const LINGER_READ_BYTES: usize = 1024;

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

/// Serves HTTP/1.1 and HTTP/2 on `listener` until `stop`, then completes the calls in flight and
/// delivers their responses, for as long as the clients read them.
///
/// Dropping the future closes all connections.
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
    accept(listener, clients, None, workers, limits, stop, tasks).await;
}

/// Serves clients like [`serve`], within the limits of `port`.
pub async fn serve_clients<S>(
    listener: TcpListener,
    port: Arc<ClientPort>,
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
    let accept = accept(listener, ClientKind::Callers, Some(&port), workers, limits, stop, tasks);
    tokio::select! {
        () = accept => {}
        () = port.check() => {}
    }
}

async fn accept<S>(
    listener: TcpListener,
    clients: ClientKind,
    port: Option<&Arc<ClientPort>>,
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
    let connections = TaskTracker::new();
    let abort = CancellationToken::new();
    let _abort_on_drop = abort.clone().drop_guard();
    for index in 0.. {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let Ok((stream, address)) = accepted else {
            tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            continue;
        };
        if port.is_some_and(|port| !port.makes_room()) {
            continue;
        }
        let Ok(stream) = stream.into_std() else { continue };
        let (handle, service) = &workers[index % workers.len()];
        let limits = limits();
        let mut builder = builder(limits);
        if clients == ClientKind::Nodes {
            // At hyper's default limit, many cancellations at once would close the connection and
            // with it all other calls on it.
            builder.http2().max_pending_accept_reset_streams(MAX_STREAMS as usize);
        }
        if let Some(port) = port {
            limit_client(&mut builder, &port.clients().options);
        }
        let activity = Arc::new(Activity::new());
        let registration = port.map(|port| port.register(&limits, address, Arc::clone(&activity)));
        let connection = registration.as_ref().map(|r| Arc::clone(&r.connection));
        let service = ClientAdapter::new(service.clone(), connection);
        let ends = ConnectionEnds { stop: stop.clone(), abort: abort.clone(), registration };
        let connection =
            serve_connection(stream, activity, builder, service, graceful.watcher(), ends);
        tasks.spawn_on(connections.track_future(connection), handle);
    }
    drop(listener);
    graceful.shutdown().await;
    connections.close();
    connections.wait().await;
}

/// Serves one connection; must be polled on the runtime that is to drive it.
async fn serve_connection<S>(
    stream: std::net::TcpStream,
    activity: Arc<Activity>,
    builder: auto::Builder<TokioExecutor>,
    service: ClientAdapter<S>,
    watcher: Watcher,
    ends: ConnectionEnds,
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
    let (stream, returned) = ObservedStream::returning(stream, Arc::clone(&activity));
    let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
    tokio::select! {
        // A connection error concerns only its client.
        _ = watcher.watch(connection) => {}
        () = ends.wait(&activity) => return,
    }
    if let Ok(stream) = returned.await {
        tokio::select! {
            () = linger(stream) => {}
            () = ends.abort.cancelled() => {}
            () = ends.closed() => {}
        }
    }
}

/// Closes a connection once the client has received everything.
///
/// If bytes from the client are unread when a socket is closed, the kernel resets the connection and
/// drops what it has not delivered yet.
async fn linger(mut stream: TcpStream) {
    let receive = async {
        let mut buf = [0; LINGER_READ_BYTES];
        let _ = stream.shutdown().await;
        while matches!(stream.read(&mut buf).await, Ok(1..)) {}
    };
    let _ = tokio::time::timeout(Duration::from_millis(LINGER_TIMEOUT_MS), receive).await;
}

/// Tells when a connection that does not end by itself is closed.
struct ConnectionEnds {
    /// No new calls are taken and those in flight complete.
    stop: CancellationToken,
    /// All connections close.
    abort: CancellationToken,
    /// The connection of a client closes when its port says so.
    registration: Option<Registration>,
}

impl ConnectionEnds {
    /// Waits until the port of a client's connection closes it.
    async fn closed(&self) {
        match &self.registration {
            Some(registration) => registration.connection.closed().await,
            None => std::future::pending().await,
        }
    }

    /// Waits until the connection is to be closed: at once after `abort` or by its port, or after `stop` if there is
    /// nothing left to deliver. A client that is about to send a request does not delay the stop.
    async fn wait(&self, activity: &Activity) {
        tokio::select! {
            () = self.abort.cancelled() => return,
            () = self.closed() => return,
            () = self.stop.cancelled() => {}
        }
        let interval = Duration::from_millis(CLOSE_CHECK_INTERVAL_MS);
        loop {
            tokio::select! {
                () = self.abort.cancelled() => return,
                () = self.closed() => return,
                () = tokio::time::sleep(interval) => {}
            }
            // On HTTP/2, responses may also wait for the client's flow control; a client that does
            // not answer the pings of the shutdown receives nothing either.
            let receives = activity.is_http2() && activity.last_received().elapsed() < interval;
            if !activity.is_write_blocked() && !receives {
                return;
            }
        }
    }
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

/// Applies the limits on clients to a connection.
fn limit_client(builder: &mut auto::Builder<TokioExecutor>, options: &ClientOptions) {
    if options.max_header_fields != clients::DEFAULT_HEADER_FIELDS {
        builder.http1().max_headers(options.max_header_fields);
    }
    builder
        .http2()
        .max_concurrent_streams(options.max_streams)
        .initial_stream_window_size(CLIENT_STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CLIENT_CONNECTION_WINDOW_BYTES)
        .max_send_buf_size(CLIENT_SEND_BUFFER_BYTES);
}
