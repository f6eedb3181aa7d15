//! HTTP/2 connections between nodes; a silent one is closed and replaced.

mod dial;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use goldcresttally_core::{Deadline, Map, MonoTime};
use goldcresttally_routing::silence::PROBE_TIMEOUT_MS;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http2::SendRequest;
use tokio_util::task::TaskTracker;

use crate::body::{CallBody, full};
use crate::clock::Clock;
use crate::headers;
use crate::state::NodeState;
use crate::transport::Transport;

/// Time without an answer after which a link is probed before it carries a call that must
/// not run twice, in milliseconds.
const PROBE_AFTER_IDLE_MS: u64 = 1000;

/// Time within which a probe must be answered before a call that must not run twice is sent, in
/// milliseconds.
const PRE_SEND_PROBE_TIMEOUT_MS: u64 = 500;

/// How a request over a link failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkError {
    /// Nothing was sent: there is no connection.
    NotSent,
    /// It was sent, at least in part, and the connection broke.
    Lost,
    /// It was sent and the deadline has passed.
    TimedOut,
    /// It was sent, and the connection brings nothing any more.
    Silent(Silence),
}

/// What made a link count as silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Silence {
    /// Time since the link last brought an answer, or since it was opened.
    pub quiet: Duration,
    /// Time that the probe went unanswered; more than its limit shows that this process was late.
    pub probe: Duration,
}

/// How a request over one link failed.
#[derive(Debug)]
enum SendError {
    /// Nothing of it was sent; here it is again.
    Unsent(Box<Request<CallBody>>),
    /// It may have been sent.
    Failed(LinkError),
}

impl From<SendError> for LinkError {
    fn from(error: SendError) -> Self {
        match error {
            SendError::Unsent(_) => Self::NotSent,
            SendError::Failed(error) => error,
        }
    }
}

/// A connection to one node.
#[derive(Debug, Clone)]
pub struct Link {
    sender: SendRequest<CallBody>,
    opened: MonoTime,
    /// When it last brought an answer; 0 before the first.
    answered_us: Arc<AtomicU64>,
}

/// The link over which a request was sent, once it was.
#[derive(Debug, Default)]
pub struct SentLink(ArcSwapOption<Link>);

#[derive(Debug, Default)]
struct LinkSlot {
    link: ArcSwapOption<Link>,
    /// Held while a connection is opened, so that callers do not open several.
    dialing: tokio::sync::Mutex<()>,
    /// When a connection could last not be opened.
    dial_failed_us: AtomicU64,
}

/// The connections of one node to others.
#[derive(Debug)]
pub struct LinkPool {
    state: Arc<NodeState>,
    transport: Arc<dyn Transport>,
    tasks: TaskTracker,
    slots: ArcSwap<Map<SocketAddr, Arc<LinkSlot>>>,
}

impl LinkPool {
    /// Returns links that are opened when first used; their tasks are tracked in `tasks`.
    pub fn new(state: Arc<NodeState>, transport: Arc<dyn Transport>, tasks: TaskTracker) -> Self {
        Self { state, transport, tasks, slots: ArcSwap::default() }
    }

    /// Sends a request over the kept link, opening one if there is none.
    ///
    /// With `probe`, a link that was not heard from lately is probed first.
    pub async fn send(
        &self,
        to: SocketAddr,
        req: Request<CallBody>,
        deadline: Deadline,
        probe: bool,
    ) -> Result<Response<Incoming>, LinkError> {
        self.send_tracked(to, req, deadline, probe, &SentLink::default()).await
    }

    /// Sends a request like [`Self::send`], and notes in `sent_link` over which link.
    pub async fn send_tracked(
        &self,
        to: SocketAddr,
        req: Request<CallBody>,
        deadline: Deadline,
        probe: bool,
        sent_link: &SentLink,
    ) -> Result<Response<Incoming>, LinkError> {
        let link = self.link(to, deadline, probe).await?;
        sent_link.0.store(Some(Arc::clone(&link)));
        match link.send(self.clock(), req, deadline).await {
            // The kept link had been closed; a new one may stand.
            Err(SendError::Unsent(req)) => {
                let link = self.link(to, deadline, probe).await?;
                sent_link.0.store(Some(Arc::clone(&link)));
                Ok(link.send(self.clock(), *req, deadline).await?)
            }
            other => Ok(other?),
        }
    }

    /// Sends a request like [`Self::send`], and checks after `check` whether the link is silent.
    pub async fn send_detecting_silence(
        &self,
        to: SocketAddr,
        req: Request<CallBody>,
        deadline: Deadline,
        probe: bool,
        check: Duration,
    ) -> Result<Response<Incoming>, LinkError> {
        let sent_link = SentLink::default();
        tokio::select! {
            sent = self.send_tracked(to, req, deadline, probe, &sent_link) => sent,
            silence = self.wait_until_silent(to, &sent_link, check) => Err(LinkError::Silent(silence)),
        }
    }

    /// Checks the link that carries a request after `check`, and returns once it is silent: it has
    /// brought no answer in that time and does not answer a probe. The link is replaced then, but
    /// what was sent over it may still be answered; while it is sound, this waits for ever.
    pub async fn wait_until_silent(
        &self,
        to: SocketAddr,
        sent_link: &SentLink,
        check: Duration,
    ) -> Silence {
        let since = self.clock().now();
        let link = loop {
            tokio::time::sleep(check).await;
            // Without a link the request is not on its way yet.
            if let Some(link) = sent_link.0.load_full() {
                break link;
            }
        };
        let probed_at = self.clock().now();
        if link.last_answer() < since
            && !self.probe(&link, Duration::from_millis(PROBE_TIMEOUT_MS)).await
        {
            self.discard(&self.slot(to), &link);
            let now = self.clock().now();
            let quiet = now.since(link.last_answer().max(link.opened));
            return Silence { quiet, probe: now.since(probed_at) };
        }
        std::future::pending().await
    }

    /// Has a silent link replaced; whatever still waits on it goes on.
    fn discard(&self, slot: &LinkSlot, silent: &Arc<Link>) {
        let current = slot.link.load();
        if current.as_ref().is_some_and(|link| Arc::ptr_eq(link, silent)) {
            self.state.counters.silent_links.increment();
            slot.link.store(None);
        }
    }

    /// Closes links to nodes for which `keep` does not hold.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        let current = self.slots.load();
        if current.keys().all(&keep) {
            return;
        }
        let kept = current.iter().filter(|(to, _)| keep(to));
        let kept = kept.map(|(to, slot)| (*to, Arc::clone(slot))).collect();
        self.slots.store(Arc::new(kept));
    }

    fn clock(&self) -> Clock {
        self.state.clock
    }

    async fn link(
        &self,
        to: SocketAddr,
        deadline: Deadline,
        probe: bool,
    ) -> Result<Arc<Link>, LinkError> {
        let slot = self.slot(to);
        if let Some(link) = slot.link.load_full().filter(|l| !l.sender.is_closed()) {
            let limit = Duration::from_millis(PRE_SEND_PROBE_TIMEOUT_MS);
            let limit = limit.min(deadline.remaining(self.clock().now()));
            if !probe
                || link.answered_recently(self.clock().now())
                || self.probe(&link, limit).await
            {
                return Ok(link);
            }
            self.discard(&slot, &link);
        }
        let asked = self.clock().now();
        let _dialing = slot.dialing.lock().await;
        // Who waited while a connection could not be opened does not try it once more in turn.
        if slot.dial_failed_us.load(Ordering::Relaxed) > asked.0 {
            return Err(LinkError::NotSent);
        }
        if let Some(link) = slot.link.load_full().filter(|l| !l.sender.is_closed()) {
            return Ok(link);
        }
        let dialed = self.dial(to, deadline).await;
        if dialed.is_err() {
            slot.dial_failed_us.store(self.clock().now().0, Ordering::Relaxed);
        }
        let link = Arc::new(dialed?);
        slot.link.store(Some(Arc::clone(&link)));
        Ok(link)
    }

    fn slot(&self, to: SocketAddr) -> Arc<LinkSlot> {
        if let Some(slot) = self.slots.load().get(&to) {
            return Arc::clone(slot);
        }
        self.slots.rcu(|current| {
            let mut slots = Map::clone(current);
            slots.entry(to).or_default();
            slots
        });
        self.slots.load().get(&to).map(Arc::clone).unwrap_or_default()
    }

    async fn probe(&self, link: &Link, limit: Duration) -> bool {
        let mut req = Request::new(full(""));
        *req.uri_mut() = http::Uri::from_static("http://node/");
        headers::set(req.headers_mut(), headers::OP, "ping");
        let deadline = Deadline::after(self.clock().now(), limit);
        link.send(self.clock(), req, deadline).await.is_ok()
    }
}

impl Link {
    async fn send(
        &self,
        clock: Clock,
        req: Request<CallBody>,
        deadline: Deadline,
    ) -> Result<Response<Incoming>, SendError> {
        let response = self.sender.clone().try_send_request(req);
        match tokio::time::timeout_at(clock.instant(deadline), response).await {
            Ok(Ok(response)) => {
                self.answered_us.store(clock.now().0, Ordering::Relaxed);
                Ok(response)
            }
            Ok(Err(mut error)) => match error.take_message() {
                Some(req) => Err(SendError::Unsent(Box::new(req))),
                None => Err(SendError::Failed(LinkError::Lost)),
            },
            Err(_) => Err(SendError::Failed(LinkError::TimedOut)),
        }
    }

    /// Returns when the link last brought an answer.
    fn last_answer(&self) -> MonoTime {
        MonoTime(self.answered_us.load(Ordering::Relaxed))
    }

    fn answered_recently(&self, now: MonoTime) -> bool {
        now.since(self.last_answer().max(self.opened)) < Duration::from_millis(PROBE_AFTER_IDLE_MS)
    }
}
