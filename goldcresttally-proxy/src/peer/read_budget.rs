//! Limits what an upstream may send without making progress with its answer: heads, interim
//! responses, chunk sizes and trailers that do not end.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum number of bytes of an answer up to its first data, and between its data, in bytes. Reading
/// ahead counts as well.
const READ_BUDGET_BYTES: usize = 256 * 1024;

/// The number of bytes that may still be received on a connection before its answer makes progress.
#[derive(Debug, Clone)]
pub(super) struct ReadBudget(Arc<AtomicUsize>);

impl ReadBudget {
    pub fn new() -> Self {
        Self(Arc::new(AtomicUsize::new(READ_BUDGET_BYTES)))
    }

    /// Allows the full number of bytes again.
    pub fn renew(&self) {
        self.0.store(READ_BUDGET_BYTES, Ordering::Relaxed);
    }

    fn left(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    fn spend(&self, bytes: usize) {
        self.0.store(self.left().saturating_sub(bytes), Ordering::Relaxed);
    }
}

/// A connection whose reads fail once its budget is spent.
#[derive(Debug)]
pub(super) struct BudgetedStream<S> {
    inner: S,
    budget: ReadBudget,
}

impl<S> BudgetedStream<S> {
    pub fn new(inner: S, budget: ReadBudget) -> Self {
        Self { inner, budget }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BudgetedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.budget.left() == 0 {
            let cause = "the upstream sends bytes without progress of its answer";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, cause)));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        self.budget.spend(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for BudgetedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

/// The body of an upstream's answer; its data renews the connection's budget.
#[derive(Debug)]
pub(super) struct UpstreamBody {
    inner: Incoming,
    budget: ReadBudget,
}

impl UpstreamBody {
    pub fn new(inner: Incoming, budget: ReadBudget) -> Self {
        Self { inner, budget }
    }
}

impl Body for UpstreamBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        if let Some(Ok(frame)) = &frame
            && frame.data_ref().is_some_and(|data| !data.is_empty())
        {
            self.budget.renew();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
