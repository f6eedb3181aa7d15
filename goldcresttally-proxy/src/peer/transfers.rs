//! Runs the scheduler of large bodies that arrive at this node, and wakes the senders that it
//! grants room on the link.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use goldcresttally_admission::{
    TransferAction, TransferEvent, TransferId, TransferLoad, TransferRequest, Transfers,
};
use goldcresttally_core::{AttemptId, BitRate, Map};
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::oneshot;

use crate::body::{BoxError, CallBody};
use crate::clock::Clock;

/// A grant, or the time after which the body could arrive in time.
type Decision = Result<(), Duration>;

#[derive(Debug)]
struct Inner {
    transfers: Transfers,
    /// Bodies that wait for a decision, and those that are granted, by attempt.
    ids: Map<AttemptId, TransferId>,
    waiting: Map<TransferId, oneshot::Sender<Decision>>,
    last: u64,
    actions: Vec<TransferAction>,
}

/// The large bodies on their way to this node.
#[derive(Debug)]
pub(super) struct TransferQueue {
    clock: Clock,
    inner: Mutex<Inner>,
}

/// Withdraws a request for room on the link when dropped before the decision.
struct WithdrawOnDrop<'a> {
    queue: &'a TransferQueue,
    attempt: AttemptId,
}

impl Drop for WithdrawOnDrop<'_> {
    fn drop(&mut self) {
        self.queue.end(self.attempt, TransferEvent::Withdraw);
    }
}

impl TransferQueue {
    /// Returns a queue for a link with the given rate; with 0, the rate is measured.
    pub fn new(clock: Clock, link: BitRate) -> Self {
        let inner = Inner {
            transfers: Transfers::new(link),
            ids: Map::default(),
            waiting: Map::default(),
            last: 0,
            actions: Vec::new(),
        };
        Self { clock, inner: Mutex::new(inner) }
    }

    /// Waits until the body of an attempt may be sent. Fails with the time after which it could
    /// arrive in time.
    pub async fn reserve(&self, attempt: AttemptId, request: TransferRequest) -> Decision {
        let rx = self.request(attempt, request);
        let guard = WithdrawOnDrop { queue: self, attempt };
        // The sender is dropped only with the whole queue.
        let decision = rx.await.unwrap_or(Err(Duration::ZERO));
        if decision.is_ok() {
            std::mem::forget(guard);
        }
        decision
    }

    fn request(&self, attempt: AttemptId, request: TransferRequest) -> oneshot::Receiver<Decision> {
        let (tx, rx) = oneshot::channel();
        let mut inner = self.lock();
        inner.last += 1;
        let id = TransferId(inner.last);
        inner.ids.insert(attempt, id);
        inner.waiting.insert(id, tx);
        inner.apply(self.clock, TransferEvent::Request(id, request));
        rx
    }

    /// Returns whether the body of an attempt may still be sent.
    pub fn is_granted(&self, attempt: AttemptId) -> bool {
        let inner = self.lock();
        inner.ids.get(&attempt).is_some_and(|id| inner.transfers.is_granted(self.clock.now(), *id))
    }

    /// Decides about bodies that can no longer arrive in time, and ends grants that were not used.
    pub fn tick(&self) {
        let mut inner = self.lock();
        inner.apply(self.clock, TransferEvent::Tick);
        let Inner { transfers, ids, waiting, .. } = &mut *inner;
        let now = self.clock.now();
        ids.retain(|_, id| waiting.contains_key(id) || transfers.is_granted(now, *id));
    }

    /// Returns the load of the link.
    pub fn load(&self) -> TransferLoad {
        self.lock().transfers.load()
    }

    /// Returns the time after which a body of `rank` would begin to arrive.
    pub fn expected_wait(&self, rank: usize) -> Duration {
        self.lock().transfers.expected_wait(rank)
    }

    fn received(&self, attempt: AttemptId, bytes: u64) {
        let mut inner = self.lock();
        if let Some(id) = inner.ids.get(&attempt).copied() {
            inner.apply(self.clock, TransferEvent::Received(id, bytes));
        }
    }

    fn end(&self, attempt: AttemptId, event: fn(TransferId) -> TransferEvent) {
        let mut inner = self.lock();
        if let Some(id) = inner.ids.remove(&attempt) {
            inner.waiting.remove(&id);
            inner.apply(self.clock, event(id));
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn apply(&mut self, clock: Clock, event: TransferEvent) {
        self.transfers.on_event(clock.now(), event, &mut self.actions);
        for action in self.actions.drain(..) {
            let (id, decision) = match action {
                TransferAction::Grant(id) => (id, Ok(())),
                TransferAction::Refuse(id, after) => (id, Err(after)),
            };
            if let Some(tx) = self.waiting.remove(&id) {
                // If the receiver is gone, its guard withdraws the body.
                let _ = tx.send(decision);
            }
        }
    }
}

/// A granted body; reports its bytes as they arrive, and its end.
pub(super) struct ArrivingBody {
    body: CallBody,
    queue: Arc<TransferQueue>,
    attempt: AttemptId,
}

impl ArrivingBody {
    /// Wraps the body of an attempt.
    pub fn new(body: CallBody, queue: Arc<TransferQueue>, attempt: AttemptId) -> Self {
        Self { body, queue, attempt }
    }
}

impl Drop for ArrivingBody {
    fn drop(&mut self) {
        self.queue.end(self.attempt, TransferEvent::End);
    }
}

impl Body for ArrivingBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame
            && let Some(data) = frame.data_ref()
        {
            self.queue.received(self.attempt, data.len() as u64);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
