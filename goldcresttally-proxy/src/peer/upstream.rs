//! Connections to one upstream; each carries one call at a time.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use goldcresttally_core::MonoTime;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::task::AbortHandle;
use tokio_util::task::TaskTracker;

use crate::body::CallBody;
use crate::clock::Clock;
use crate::transport::Transport;
use crate::workers;

/// Time for which an idle connection is kept, in milliseconds.
const IDLE_LIMIT_MS: u64 = 1000;

/// Time within which a connection must stand, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1000;

/// Time within which a connection must be ready for its next call, in milliseconds: the upstream
/// may still have to read the rest of a request that it has answered.
const READY_TIMEOUT_MS: u64 = 1000;

/// Workers that have idle connections of their own; further ones share with the first.
const WORKER_LIMIT: usize = 16;

/// Most idle connections kept to one upstream.
const IDLE_CONNECTIONS: usize = 128;

/// How a request to an upstream failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UpstreamError {
    /// Nothing was sent.
    NotSent,
    /// It was sent, at least in part, and no answer came.
    Lost,
}

/// A connection that carries one call; dropping it closes it, which cancels the call.
#[derive(Debug)]
pub(super) struct Connection {
    sender: SendRequest<CallBody>,
    task: AbortHandle,
    idle_since: MonoTime,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Idle connections to one upstream.
#[derive(Debug)]
pub(super) struct UpstreamPool {
    address: SocketAddr,
    clock: Clock,
    /// By worker, so that a connection is used on the thread that drives it.
    idle: Vec<Mutex<Vec<Connection>>>,
}

impl UpstreamPool {
    pub fn new(address: SocketAddr, clock: Clock) -> Self {
        let idle = (0..WORKER_LIMIT).map(|_| Mutex::default()).collect();
        Self { address, clock, idle }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request; the connection must be given back once the answer is read to its end.
    pub async fn send(
        &self,
        transport: &dyn Transport,
        tasks: &TaskTracker,
        mut req: Request<CallBody>,
    ) -> Result<(Response<Incoming>, Connection), UpstreamError> {
        while let Some(mut connection) = self.take_idle() {
            match connection.sender.try_send_request(req).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut error) => match error.take_message() {
                    // The upstream had closed the idle connection; nothing was sent on it.
                    Some(unsent) => req = unsent,
                    None => return Err(UpstreamError::Lost),
                },
            }
        }
        let mut connection = self.connect(transport, tasks).await?;
        match connection.sender.try_send_request(req).await {
            Ok(response) => Ok((response, connection)),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(UpstreamError::NotSent),
                None => Err(UpstreamError::Lost),
            },
        }
    }

    /// Keeps a connection whose answer was read to its end.
    pub async fn give_back(&self, mut connection: Connection) {
        let limit = Duration::from_millis(READY_TIMEOUT_MS);
        let Ok(Ok(())) = tokio::time::timeout(limit, connection.sender.ready()).await else {
            return;
        };
        connection.idle_since = self.clock.now();
        let mut idle = self.own_idle();
        if idle.len() < IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    fn own_idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        let own = &self.idle[workers::current_index() % WORKER_LIMIT];
        own.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.own_idle();
        let limit = Duration::from_millis(IDLE_LIMIT_MS);
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
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let Ok((sender, connection)) = handshake else {
            return Err(UpstreamError::NotSent);
        };
        let task = tasks.spawn(async move { drop(connection.await) }).abort_handle();
        Ok(Connection { sender, task, idle_since: self.clock.now() })
    }
}
