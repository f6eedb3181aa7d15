//! Body types of requests and responses, and a request body that can be sent again.

use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::{Instant, Sleep};

/// Any error of a body, boxed.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// The body of a request or response.
pub type CallBody = UnsyncBoxBody<Bytes, BoxError>;

/// The error of a request body that exceeds the memory of all clients together.
#[derive(Debug, Clone, Copy)]
pub struct OverBudget;

impl std::fmt::Display for OverBudget {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the memory for requests of clients is in use")
    }
}

impl std::error::Error for OverBudget {}

/// Returns whether a body failed because of [`OverBudget`].
pub fn is_over_budget(error: &(dyn std::error::Error + 'static)) -> bool {
    let mut causes = std::iter::successors(Some(error), |e| e.source());
    causes.any(<dyn std::error::Error>::is::<OverBudget>)
}

/// Maximum size of a body that is buffered in memory as a whole, in bytes.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;

/// Returns a body with the given contents.
pub fn full(bytes: impl Into<Bytes>) -> CallBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Boxes a body and its error type.
pub fn boxed<B>(body: B) -> CallBody
where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BoxError>,
{
    body.map_err(Into::into).boxed_unsync()
}

/// A body that keeps a guard alive until it has ended or is dropped.
#[derive(Debug)]
pub struct BodyWithGuard<T> {
    body: CallBody,
    _guard: T,
}

impl<T> BodyWithGuard<T> {
    /// Attaches `guard` to `body`.
    pub fn new(body: CallBody, guard: T) -> Self {
        Self { body, _guard: guard }
    }
}

impl<T: Unpin> Body for BodyWithGuard<T> {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A body that fails when its rest has not arrived by a deadline.
#[derive(Debug)]
pub struct BodyWithDeadline {
    body: CallBody,
    deadline: Pin<Box<Sleep>>,
}

impl BodyWithDeadline {
    /// Limits the time in which `body` may arrive.
    pub fn new(body: CallBody, deadline: Instant) -> Self {
        Self { body, deadline: Box::pin(tokio::time::sleep_until(deadline)) }
    }
}

impl Body for BodyWithDeadline {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) {
            return Poll::Ready(frame);
        }
        ready!(self.deadline.as_mut().poll(cx));
        Poll::Ready(Some(Err("the rest of the body did not arrive by the deadline".into())))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Reads a body into memory if it has at most [`MAX_BUFFERED_BODY_BYTES`].
///
/// Returns the bytes that were read and, for a larger body, the rest of it.
pub async fn read_up_to_limit<B>(body: B) -> Result<(Bytes, Option<B>), B::Error>
where
    B: Body<Data = Bytes> + Unpin,
{
    read_up_to(body, MAX_BUFFERED_BODY_BYTES).await
}

/// Reads a body into memory if it has at most `limit` bytes, like [`read_up_to_limit`].
///
/// The bytes are contiguous: kept as they arrive, a body in small chunks takes many times its size.
pub async fn read_up_to<B>(mut body: B, limit: usize) -> Result<(Bytes, Option<B>), B::Error>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut first: Option<Bytes> = None;
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        match first.take() {
            // Most bodies arrive as one chunk, which is kept without a copy.
            None if buf.is_empty() => first = Some(data),
            head => {
                buf.extend_from_slice(&head.unwrap_or_default());
                buf.extend_from_slice(&data);
            }
        }
        if buf.len().max(first.as_ref().map_or(0, Bytes::len)) > limit {
            return Ok((first.unwrap_or_else(|| buf.freeze()), Some(body)));
        }
    }
    Ok((first.unwrap_or_else(|| buf.freeze()), None))
}

/// A request body that can be sent again until its rest, beyond the buffered start, was consumed.
#[derive(Debug)]
pub struct ReplayableBody<B> {
    start: Bytes,
    rest: Option<Arc<Mutex<Option<B>>>>,
}

impl<B> ReplayableBody<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Into<BoxError>,
{
    /// Buffers the start of `body`, or all of it if it is small.
    pub async fn read(body: B) -> Result<Self, B::Error> {
        let (start, rest) = read_up_to_limit(body).await?;
        Ok(Self { start, rest: rest.map(|rest| Arc::new(Mutex::new(Some(rest)))) })
    }

    /// Returns the buffered start, which is the whole body if [`Self::is_whole`].
    pub fn start(&self) -> &Bytes {
        &self.start
    }

    /// Returns whether the whole body is in memory.
    pub fn is_whole(&self) -> bool {
        self.rest.is_none()
    }

    /// Returns whether the body can still be sent from its start.
    pub fn can_send(&self) -> bool {
        self.rest.as_ref().is_none_or(|rest| lock(rest).is_some())
    }

    /// Returns the body for one more attempt.
    pub fn body(&self) -> CallBody {
        match &self.rest {
            None => full(self.start.clone()),
            Some(rest) => boxed(Resumed {
                start: Some(self.start.clone()),
                rest: Arc::clone(rest),
                taken: None,
            }),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A body that yields its buffered start, then the rest as it arrives from the caller.
struct Resumed<B> {
    start: Option<Bytes>,
    rest: Arc<Mutex<Option<B>>>,
    taken: Option<B>,
}

impl<B> Body for Resumed<B>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<BoxError>,
{
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if let Some(start) = self.start.take() {
            return Poll::Ready(Some(Ok(Frame::data(start))));
        }
        if self.taken.is_none() {
            let rest = lock(&self.rest).take();
            self.taken = rest;
        }
        match &mut self.taken {
            None => Poll::Ready(Some(Err("the request body was already sent".into()))),
            Some(rest) => Pin::new(rest).poll_frame(cx).map_err(Into::into),
        }
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}
