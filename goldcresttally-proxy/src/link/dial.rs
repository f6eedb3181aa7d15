//! Opens links.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use goldcresttally_core::Deadline;
use hyper::client::conn::http2;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio_util::task::TaskTracker;

use super::{Link, LinkError, LinkPool};
use crate::activity::ObservedStream;

/// Time limit for connecting, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Time without received bytes after which a link with calls in flight is pinged, in milliseconds.
pub(super) const PING_INTERVAL_MS: u64 = 300;

/// Time limit for the answer to a ping, in seconds; a link that exceeds it is closed with all its
/// calls. Calls that only wait for an answer are settled long before; those whose answers are being
/// streamed cannot be, so this exceeds the time for which a node may be paused.
const PING_TIMEOUT_S: u64 = 20;

/// Flow-control window of one response, in bytes.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

/// Flow-control window of all responses on a link, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 4 * 1024 * 1024;

/// Maximum concurrent calls on a link until the other node has announced its own limit.
const INITIAL_MAX_STREAMS: usize = 256;

/// Spawns hyper's tasks on a tracker, so that they are joined with the node's other tasks.
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
    /// Opens a link; fails with [`LinkError::NotSent`] if the connection is not established within
    /// its time limit and by `deadline`.
    pub(super) async fn dial(&self, to: SocketAddr, deadline: Deadline) -> Result<Link, LinkError> {
        let connect_by =
            Deadline::after(self.clock().now(), Duration::from_millis(CONNECT_TIMEOUT_MS));
        let connect_by = self.clock().instant(connect_by.min(deadline));
        let connect = tokio::time::timeout_at(connect_by, self.transport.connect(to));
        let Ok(Ok(stream)) = connect.await else {
            return Err(LinkError::NotSent);
        };
        let (stream, activity) = ObservedStream::new(stream);
        let handshake = http2::Builder::new(TrackedExecutor(self.tasks.clone()))
            .timer(TokioTimer::new())
            .keep_alive_interval(Duration::from_millis(PING_INTERVAL_MS))
            .keep_alive_timeout(Duration::from_secs(PING_TIMEOUT_S))
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .initial_max_send_streams(INITIAL_MAX_STREAMS)
            .handshake(TokioIo::new(stream));
        let Ok((sender, connection)) = handshake.await else {
            return Err(LinkError::NotSent);
        };
        // The calls on a connection observe how it ended.
        self.tasks.spawn(async move { drop(connection.await) });
        Ok(Link { sender, opened: self.clock().now(), answered_us: Arc::default(), activity })
    }
}
