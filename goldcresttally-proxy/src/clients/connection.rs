//! The state of one connection of a client, which its requests and its listener share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use tokio::sync::Notify;
use tokio::time::Instant;

use super::{Clients, TimeLimits, View};
use crate::activity::Activity;

/// A connection of a client.
#[derive(Debug)]
pub(crate) struct Connection {
    pub clients: Arc<Clients>,
    pub limits: TimeLimits,
    /// Bytes of a request's body that count against the budget, which is what is buffered of it.
    pub max_buffered_body: usize,
    /// The client's address, if handlers are told of it.
    pub address: Option<SocketAddr>,
    activity: Arc<Activity>,
    opened: Instant,
    in_flight: AtomicUsize,
    requests: AtomicU64,
    received_when_idle: AtomicU64,
    /// Time from `opened` to the end of the last response, in milliseconds.
    ended_ms: AtomicU64,
    waiting_bodies: AtomicUsize,
    unread_parts: AtomicUsize,
    closing: AtomicBool,
    close: Notify,
}

impl Connection {
    pub fn new(
        clients: Arc<Clients>,
        limits: TimeLimits,
        max_buffered_body: usize,
        address: Option<SocketAddr>,
        activity: Arc<Activity>,
    ) -> Self {
        Self {
            clients,
            limits,
            max_buffered_body,
            address,
            activity,
            opened: Instant::now(),
            in_flight: AtomicUsize::new(0),
            requests: AtomicU64::new(0),
            received_when_idle: AtomicU64::new(0),
            ended_ms: AtomicU64::new(0),
            waiting_bodies: AtomicUsize::new(0),
            unread_parts: AtomicUsize::new(0),
            closing: AtomicBool::new(false),
            close: Notify::new(),
        }
    }

    pub fn view(&self, now: Instant) -> View {
        let ended_ms = self.ended_ms.load(Ordering::Relaxed);
        let ended = self.opened + std::time::Duration::from_millis(ended_ms);
        let last = ended.max(self.activity.last_received());
        View {
            http2: self.activity.is_http2(),
            in_flight: self.in_flight.load(Ordering::Relaxed),
            requests: self.requests.load(Ordering::Relaxed),
            received: self.activity.received_bytes(),
            received_when_idle: self.received_when_idle.load(Ordering::Relaxed),
            written: self.activity.written_bytes(),
            waits_for_body: self.waiting_bodies.load(Ordering::Relaxed) > 0,
            has_unread: self.activity.is_write_blocked()
                || self.unread_parts.load(Ordering::Relaxed) > 0,
            idle: now.saturating_duration_since(last),
        }
    }

    /// Has the connection closed. Returns `false` if it already is being closed.
    pub fn close(&self) -> bool {
        let first = !self.closing.swap(true, Ordering::Relaxed);
        if first {
            self.close.notify_one();
        }
        first
    }

    /// Returns whether the connection is being closed.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    /// Waits until the connection is to be closed.
    pub async fn closed(&self) {
        self.close.notified().await;
    }
}

/// Counts a request as in flight until dropped.
#[derive(Debug)]
pub(super) struct InFlight(pub Arc<Connection>);

impl InFlight {
    pub fn begin(connection: &Arc<Connection>) -> Self {
        connection.requests.fetch_add(1, Ordering::Relaxed);
        connection.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(connection))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let connection = &self.0;
        let elapsed_ms = connection.opened.elapsed().as_millis() as u64;
        connection.ended_ms.store(elapsed_ms, Ordering::Relaxed);
        let received = connection.activity.received_bytes();
        connection.received_when_idle.store(received, Ordering::Relaxed);
        connection.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Marks a body that is waited for.
#[derive(Debug)]
pub(super) struct WaitingBody(Arc<Connection>);

impl WaitingBody {
    pub fn begin(connection: &Arc<Connection>) -> Self {
        connection.waiting_bodies.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(connection))
    }
}

impl Drop for WaitingBody {
    fn drop(&mut self) {
        self.0.waiting_bodies.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Marks a part of a response that the client has not taken.
#[derive(Debug)]
pub(super) struct UnreadPart(Arc<Connection>);

impl UnreadPart {
    pub fn begin(connection: &Arc<Connection>) -> Self {
        connection.unread_parts.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(connection))
    }
}

impl Drop for UnreadPart {
    fn drop(&mut self) {
        self.0.unread_parts.fetch_sub(1, Ordering::Relaxed);
    }
}
