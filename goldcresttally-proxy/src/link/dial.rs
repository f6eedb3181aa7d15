//! Opens a link.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use goldcresttally_core::Deadline;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio_util::task::TaskTracker;

use super::{Link, LinkError, LinkPool};

/// Time within which a connection must stand, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Time between pings while calls are in flight, in milliseconds.
const PING_INTERVAL_MS: u64 = 300;

/// Time within which a ping must be answered, in milliseconds.
const PING_TIMEOUT_MS: u64 = 700;

/// Bytes that a node takes of one answer before they are read.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

/// Bytes that a node takes of all answers of a link before they are read.
const CONNECTION_WINDOW_BYTES: u32 = 4 * 1024 * 1024;

/// Calls in flight at once before the other node has named its own limit.
const INITIAL_MAX_STREAMS: usize = 256;

/// Runs hyper's tasks so that they are joined with all others.
#[derive(Clone)]
struct TrackedExecutor(TaskTracker);

impl<F> hyper::rt::Executor<F> for TrackedExecutor
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    fn execute(&self, fut: F) {
        self.0.spawn(fut);
    }
}

impl LinkPool {
    pub(super) async fn dial(&self, to: SocketAddr, deadline: Deadline) -> Result<Link, LinkError> {
        let connect_by =
            Deadline::after(self.clock().now(), Duration::from_millis(CONNECT_TIMEOUT_MS));
        let connect_by = self.clock().instant(connect_by.min(deadline));
        let connect = tokio::time::timeout_at(connect_by, self.transport.connect(to));
        let Ok(Ok(stream)) = connect.await else {
            return Err(LinkError::NotSent);
        };
        let handshake = http2::Builder::new(TrackedExecutor(self.tasks.clone()))
            .timer(TokioTimer::new())
            .keep_alive_interval(Duration::from_millis(PING_INTERVAL_MS))
            .keep_alive_timeout(Duration::from_millis(PING_TIMEOUT_MS))
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .initial_max_send_streams(INITIAL_MAX_STREAMS)
            .handshake(TokioIo::new(stream));
        let Ok((sender, connection)) = handshake.await else {
            return Err(LinkError::NotSent);
        };
        // How a connection ended is seen by the calls that it carried.
        self.tasks.spawn(async move { drop(connection.await) });
        Ok(Link { sender, opened: self.clock().now(), answered_us: Arc::default() })
    }
}
