//! Links: the HTTP/2 connections between nodes. A pool has at most one link to each address. A link
//! that does not answer a probe counts as silent and is replaced.

mod dial;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use goldcresttally_core::{Deadline, Map, MonoTime};
use goldcresttally_routing::link_probe::PROBE_TIMEOUT_MS;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http2::SendRequest;
use tokio_util::task::TaskTracker;

use crate::activity::Activity;
use crate::body::{CallBody, full};
use crate::clock::Clock;
use crate::headers;
use crate::state::NodeState;
use crate::transport::Transport;

/// Time without a response after which a link is probed before it carries a call that must not run
/// twice, in milliseconds.
const PROBE_AFTER_IDLE_MS: u64 = 1000;

/// Time limit for a probe that precedes a call that must not run twice, in milliseconds.
const PRE_SEND_PROBE_TIMEOUT_MS: u64 = 500;

/// Time without received bytes after which a link with calls in flight counts as silent, in
/// milliseconds. It includes the time until the link is pinged.
const SILENCE_MS: u64 = dial::PING_INTERVAL_MS + 700;

/// How a request over a link failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkError {
    /// Nothing was sent: there is no connection.
    NotSent,
    /// It was sent, at least in part, and the connection broke.
    Lost,
    /// It was sent and the deadline has passed.
    TimedOut,
    /// It was sent, and the connection does not answer a probe or has become silent.
    Silent(Silence),
}

/// The times that show that a link is silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Silence {
    /// Time since the link's last response, or since it was opened.
    pub quiet: Duration,
    /// Time for which the probe went unanswered. If it exceeds the probe's time limit, this process
    /// itself was delayed.
    pub probe: Duration,
}

/// How a request over one link failed.
#[derive(Debug)]
enum SendError {
    /// Nothing of it was sent; the request is returned.
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

/// An HTTP/2 connection to one node.
#[derive(Debug, Clone)]
pub struct Link {
    sender: SendRequest<CallBody>,
    opened: MonoTime,
    /// Time of its last response, in microseconds of the node's clock; 0 before the first.
    answered_us: Arc<AtomicU64>,
    activity: Arc<Activity>,
}

/// The link over which a request was sent; empty until then.
#[derive(Debug, Default)]
pub struct SentLink(ArcSwapOption<Link>);

/// The pool entry of one address.
#[derive(Debug, Default)]
struct LinkSlot {
    link: ArcSwapOption<Link>,
    /// Held while a connection is being opened, so that concurrent requests share it.
    dialing: tokio::sync::Mutex<()>,
    /// Time of the last failure to connect, in microseconds of the node's clock.
    dial_failed_us: AtomicU64,
}

/// A node's links to other nodes.
#[derive(Debug)]
pub struct LinkPool {
    state: Arc<NodeState>,
    transport: Arc<dyn Transport>,
    tasks: TaskTracker,
    slots: ArcSwap<Map<SocketAddr, Arc<LinkSlot>>>,
}

impl LinkPool {
    /// Returns an empty pool. Links are opened on first use; their tasks are tracked in `tasks`.
    pub fn new(state: Arc<NodeState>, transport: Arc<dyn Transport>, tasks: TaskTracker) -> Self {
        Self { state, transport, tasks, slots: ArcSwap::default() }
    }

    /// Sends a request over the pooled link to `to`, opening one if there is none.
    ///
    /// With `probe`, a link without a recent response is probed first, and replaced if it does not
    /// answer.
    pub async fn send(
        &self,
        to: SocketAddr,
        req: Request<CallBody>,
        deadline: Deadline,
        probe: bool,
    ) -> Result<Response<Incoming>, LinkError> {
        self.send_tracked(to, req, deadline, probe, &SentLink::default()).await
    }

    /// Sends a request like [`Self::send`], and records in `sent_link` which link carries it.
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
            // The pooled link had been closed and nothing was sent: retry once over another.
            Err(SendError::Unsent(req)) => {
                let link = self.link(to, deadline, probe).await?;
                sent_link.0.store(Some(Arc::clone(&link)));
                Ok(link.send(self.clock(), *req, deadline).await?)
            }
            other => Ok(other?),
        }
    }

    /// Sends a request like [`Self::send`]; fails with [`LinkError::Silent`] if the link proves
    /// silent once `delay` has passed without a response.
    pub async fn send_detecting_silence(
        &self,
        to: SocketAddr,
        req: Request<CallBody>,
        deadline: Deadline,
        probe: bool,
        delay: Duration,
    ) -> Result<Response<Incoming>, LinkError> {
        let link = SentLink::default();
        tokio::select! {
            sent = self.send_tracked(to, req, deadline, probe, &link) => sent,
            silence = self.wait_until_silent(to, &link, delay) => Err(LinkError::Silent(silence)),
        }
    }

    /// Probes the link that carries a request once `delay` has passed, and watches it from then on;
    /// returns when it is found silent.
    ///
    /// A link is silent if it delivered no response in that time and does not answer a probe, or if
    /// nothing at all is received later. It is replaced for later requests, but what was sent over it
    /// may still be answered. While the link is healthy, this never returns.
    pub async fn wait_until_silent(
        &self,
        to: SocketAddr,
        sent_link: &SentLink,
        delay: Duration,
    ) -> Silence {
        let since = self.clock().now();
        let link = loop {
            tokio::time::sleep(delay).await;
            // Without a link, the request has not been sent yet.
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
        self.watch(to, &link).await
    }

    /// Returns when nothing has been received over the link of a request for some time, which the
    /// link's pings make sure is not for lack of traffic. Never returns without a link.
    pub async fn wait_until_unresponsive(&self, to: SocketAddr, sent_link: &SentLink) -> Silence {
        match sent_link.0.load_full() {
            Some(link) => self.watch(to, &link).await,
            None => std::future::pending().await,
        }
    }

    async fn watch(&self, to: SocketAddr, link: &Arc<Link>) -> Silence {
        link.activity.silent_for(Duration::from_millis(SILENCE_MS)).await;
        self.discard(&self.slot(to), link);
        let quiet = link.activity.last_received().elapsed();
        Silence { quiet, probe: Duration::ZERO }
    }

    /// Removes a silent link from the pool; requests already in flight on it continue.
    fn discard(&self, slot: &LinkSlot, silent: &Arc<Link>) {
        let current = slot.link.load();
        if current.as_ref().is_some_and(|link| Arc::ptr_eq(link, silent)) {
            self.state.counters.silent_links.increment();
            slot.link.store(None);
        }
    }

    /// Removes the links to addresses for which `keep` returns false.
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
        let requested_at = self.clock().now();
        let _dialing = slot.dialing.lock().await;
        // A request that waited for a failed connection attempt fails as well, rather than
        // repeating the attempt.
        if slot.dial_failed_us.load(Ordering::Relaxed) > requested_at.0 {
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

    /// Returns the time of the link's last response.
    fn last_answer(&self) -> MonoTime {
        MonoTime(self.answered_us.load(Ordering::Relaxed))
    }

    fn answered_recently(&self, now: MonoTime) -> bool {
        now.since(self.last_answer().max(self.opened)) < Duration::from_millis(PROBE_AFTER_IDLE_MS)
    }
}
