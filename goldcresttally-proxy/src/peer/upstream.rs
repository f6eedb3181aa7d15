//! HTTP/1.1 connection pool to one upstream; each connection carries one call at a time.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use goldcresttally_core::MonoTime;
use http::{Request, Response};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::task::AbortHandle;
use tokio_util::task::TaskTracker;

use super::read_budget::{BudgetedStream, ReadBudget, UpstreamBody};
use crate::body::CallBody;
use crate::clock::Clock;
use crate::transport::Transport;
use crate::workers;

/// Time after which an idle connection is closed, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 1000;

/// Time limit for connecting, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1000;

/// Time limit for a connection to become ready for its next call, in milliseconds: the upstream may
/// still have to read the rest of a request that it has already responded to.
const READY_TIMEOUT_MS: u64 = 1000;

/// Number of per-worker lists of idle connections. Workers beyond it share the lists in turn.
const POOL_SHARDS: usize = 16;

/// Maximum idle connections per worker list.
const MAX_IDLE_CONNECTIONS: usize = 128;

/// Maximum size of a connection's read buffer, in bytes; also limits the heads of answers and the parts
/// in which large answers are passed on.
const MAX_READ_BUFFER_BYTES: usize = 64 * 1024;

/// How a request to an upstream failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UpstreamError {
    /// Nothing was sent.
    NotSent,
    /// It was sent, at least in part, and no response arrived.
    Lost,
}

/// A connection that carries one call. Dropping it closes it, which cancels the call at the
/// upstream.
#[derive(Debug)]
pub(super) struct Connection {
    sender: SendRequest<CallBody>,
    task: AbortHandle,
    budget: ReadBudget,
    idle_since: MonoTime,
    /// Whether it carried an earlier call.
    kept: bool,
}

impl Connection {
    /// Sends a request and waits for the head of the answer; returns the request if nothing of it was
    /// sent.
    async fn send(
        &mut self,
        req: Request<CallBody>,
    ) -> Result<Response<UpstreamBody>, Option<Request<CallBody>>> {
        self.budget.renew();
        match self.sender.try_send_request(req).await {
            Ok(response) => {
                self.budget.renew();
                Ok(response.map(|body| UpstreamBody::new(body, self.budget.clone())))
            }
            Err(mut error) => Err(error.take_message()),
        }
    }

    /// Returns whether the connection carried an earlier call.
    pub fn is_kept(&self) -> bool {
        self.kept
    }
}

/// Which connections may carry a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionChoice {
    /// An idle connection, or a new one if there is none.
    Any,
    /// Only a new connection.
    New,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A pool of idle connections to one upstream.
#[derive(Debug)]
pub(super) struct UpstreamPool {
    address: SocketAddr,
    clock: Clock,
    /// One list per worker, so that a connection is used on the thread whose runtime drives it.
    idle: Vec<Mutex<Vec<Connection>>>,
}

impl UpstreamPool {
    pub fn new(address: SocketAddr, clock: Clock) -> Self {
        let idle = (0..POOL_SHARDS).map(|_| Mutex::default()).collect();
        Self { address, clock, idle }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request over one of the chosen connections; returns the response and its connection,
    /// which the caller passes to [`Self::release`] once the body is read to its end.
    pub async fn send(
        &self,
        transport: &dyn Transport,
        tasks: &TaskTracker,
        mut req: Request<CallBody>,
        choice: ConnectionChoice,
    ) -> Result<(Response<UpstreamBody>, Connection), UpstreamError> {
        while choice == ConnectionChoice::Any
            && let Some(mut connection) = self.take_idle()
        {
            match connection.send(req).await {
                Ok(response) => return Ok((response, connection)),
                // The upstream had closed the idle connection, and nothing was sent on it.
                Err(Some(unsent)) => req = unsent,
                Err(None) => return Err(UpstreamError::Lost),
            }
        }
        let mut connection = self.connect(transport, tasks).await?;
        match connection.send(req).await {
            Ok(response) => Ok((response, connection)),
            Err(Some(_)) => Err(UpstreamError::NotSent),
            Err(None) => Err(UpstreamError::Lost),
        }
    }

    /// Returns a connection to the pool whose response was read to its end.
    pub async fn release(&self, mut connection: Connection) {
        let limit = Duration::from_millis(READY_TIMEOUT_MS);
        let Ok(Ok(())) = tokio::time::timeout(limit, connection.sender.ready()).await else {
            return;
        };
        connection.idle_since = self.clock.now();
        connection.kept = true;
        let mut idle = self.worker_idle();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    fn worker_idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        let shard = &self.idle[workers::current_index() % POOL_SHARDS];
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.worker_idle();
        let limit = Duration::from_millis(IDLE_TIMEOUT_MS);
        let now = self.clock.now();
        idle.retain(|c| now.since(c.idle_since) < limit && !c.sender.is_closed());
        idle.pop()
    }

    async fn connect(
        &self,
        transport: &dyn Transport,
        tasks: &TaskTracker,
    ) -> Result<Connection, UpstreamError> {
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let stream = tokio::time::timeout(limit, transport.connect(self.address)).await;
        let Ok(Ok(stream)) = stream else {
            return Err(UpstreamError::NotSent);
        };
        let budget = ReadBudget::new();
        let stream = BudgetedStream::new(stream, budget.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let Ok((sender, connection)) = handshake else {
            return Err(UpstreamError::NotSent);
        };
        let task = tasks.spawn(async move { drop(connection.await) }).abort_handle();
        Ok(Connection { sender, task, budget, idle_since: self.clock.now(), kept: false })
    }
}
