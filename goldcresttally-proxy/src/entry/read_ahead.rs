//! Reads streamed responses ahead of callers that are slower than the link, so that the node which
//! sends them can stop, and its link does not fill up, before the callers have read everything.

use std::sync::Arc;
use std::task::{Poll, ready};

use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio_util::task::TaskTracker;

use crate::body::{BoxError, CallBody, boxed};

/// Maximum number of bytes of one response that are read ahead.
const MAX_CALL_BYTES: usize = 1 << 20;

/// Maximum number of bytes that all responses together are read ahead.
const MAX_TOTAL_BYTES: usize = 8 << 20;

/// A part of a response, in the order in which they arrived.
enum Part {
    Data(Bytes, Room),
    Failed(BoxError),
    /// The response is complete. A channel that closes without this was broken off.
    End,
}

/// The share of the limits that a part takes up until the caller reads it.
struct Room {
    _call: OwnedSemaphorePermit,
    _total: Option<OwnedSemaphorePermit>,
}

/// The limit on what all responses of an entry together are read ahead.
#[derive(Debug, Clone)]
pub(super) struct ReadAhead {
    total: Arc<Semaphore>,
}

impl Default for ReadAhead {
    fn default() -> Self {
        Self { total: Arc::new(Semaphore::new(MAX_TOTAL_BYTES)) }
    }
}

impl ReadAhead {
    /// Returns `body` with its parts read ahead by a task of `tasks`, which ends with the returned
    /// body.
    pub fn wrap(&self, body: CallBody, tasks: &TaskTracker) -> CallBody {
        let (tx, rx) = mpsc::unbounded_channel();
        let reader = Reader {
            call: Arc::new(Semaphore::new(MAX_CALL_BYTES)),
            total: Arc::clone(&self.total),
            tx: tx.clone(),
        };
        tasks.spawn(async move {
            tokio::select! {
                () = reader.run(body) => {}
                () = tx.closed() => {}
            }
        });
        boxed(StreamBody::new(frames(rx)))
    }
}

/// Reads one response.
struct Reader {
    call: Arc<Semaphore>,
    total: Arc<Semaphore>,
    tx: mpsc::UnboundedSender<Part>,
}

impl Reader {
    async fn run(self, mut body: CallBody) {
        let end = loop {
            let mut data = match body.frame().await {
                None => break Part::End,
                Some(Err(e)) => break Part::Failed(e),
                // Trailers are not passed on.
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            while !data.is_empty() {
                let part = data.split_to(data.len().min(MAX_CALL_BYTES));
                let Some(room) = self.room(part.len() as u32).await else { return };
                let _ = self.tx.send(Part::Data(part, room));
            }
        };
        // Sending fails only if the caller has left.
        let _ = self.tx.send(end);
    }

    /// Waits for room for a part. Beyond the limits, there is room for one part at a time: a caller
    /// that does not read must not hold up the others.
    async fn room(&self, bytes: u32) -> Option<Room> {
        let call = Arc::clone(&self.call).try_acquire_many_owned(bytes);
        let total = Arc::clone(&self.total).try_acquire_many_owned(bytes);
        if let (Ok(call), Ok(total)) = (call, total) {
            return Some(Room { _call: call, _total: Some(total) });
        }
        let call = Arc::clone(&self.call).acquire_many_owned(MAX_CALL_BYTES as u32).await.ok()?;
        Some(Room { _call: call, _total: None })
    }
}

/// Converts received parts to body frames; ends with an error if the response was broken off.
fn frames(
    mut rx: mpsc::UnboundedReceiver<Part>,
) -> impl futures::Stream<Item = Result<Frame<Bytes>, BoxError>> {
    let mut ended = false;
    futures::stream::poll_fn(move |cx| {
        if ended {
            return Poll::Ready(None);
        }
        let part = ready!(rx.poll_recv(cx));
        ended = !matches!(part, Some(Part::Data(..)));
        Poll::Ready(match part {
            Some(Part::Data(data, _room)) => Some(Ok(Frame::data(data))),
            Some(Part::End) => None,
            Some(Part::Failed(e)) => Some(Err(e)),
            None => Some(Err("the response was broken off".into())),
        })
    })
}
