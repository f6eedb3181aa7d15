//! Observes the bytes of a connection: when some were last received, and whether the other end takes
//! what is written. Hands the connection back when its user has finished with it.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The first bytes of a connection that speaks HTTP/2.
const HTTP2_PREFACE_START: &[u8] = b"PRI ";

/// Delay of a timer beyond which this process counts as having been paused, in milliseconds.
const MAX_TIMER_DELAY_MS: u64 = 100;

/// The activity of one connection.
#[derive(Debug)]
pub struct Activity {
    opened: Instant,
    /// Time from `opened` to the last received bytes, in milliseconds.
    received_ms: AtomicU64,
    /// Whether written bytes wait for the other end to read.
    write_blocked: AtomicBool,
    received_bytes: AtomicU64,
    written_bytes: AtomicU64,
    http2: AtomicBool,
}

impl Activity {
    /// Returns the activity of a connection that is opened now.
    pub fn new() -> Self {
        Self {
            opened: Instant::now(),
            received_ms: AtomicU64::new(0),
            write_blocked: AtomicBool::new(false),
            received_bytes: AtomicU64::new(0),
            written_bytes: AtomicU64::new(0),
            http2: AtomicBool::new(false),
        }
    }

    /// Returns the time at which bytes were last received, or the connection was opened.
    pub fn last_received(&self) -> Instant {
        self.opened + Duration::from_millis(self.received_ms.load(Ordering::Relaxed))
    }

    /// Returns whether written bytes wait for the other end to read.
    pub fn is_write_blocked(&self) -> bool {
        self.write_blocked.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes received so far.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes written so far.
    pub fn written_bytes(&self) -> u64 {
        self.written_bytes.load(Ordering::Relaxed)
    }

    /// Returns whether the other end, as a client, has started to speak HTTP/2.
    pub fn is_http2(&self) -> bool {
        self.http2.load(Ordering::Relaxed)
    }

    /// Waits until nothing has been received for `limit`, counted from now on.
    ///
    /// Time in which this process did not run does not count: bytes may have arrived meanwhile.
    pub async fn silent_for(&self, limit: Duration) {
        let mut since = Instant::now();
        loop {
            let due = since.max(self.last_received()) + limit;
            tokio::time::sleep_until(due).await;
            let now = Instant::now();
            if now > due + Duration::from_millis(MAX_TIMER_DELAY_MS) {
                since = now;
            } else if self.last_received() + limit <= now {
                return;
            }
        }
    }

    fn on_received(&self, bytes: &[u8]) {
        self.received_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        if self.received_ms.load(Ordering::Relaxed) == 0 && bytes.starts_with(HTTP2_PREFACE_START) {
            self.http2.store(true, Ordering::Relaxed);
        }
        // Never 0, which stands for nothing received yet.
        let received_ms = self.opened.elapsed().as_millis().max(1) as u64;
        self.received_ms.store(received_ms, Ordering::Relaxed);
    }
}

/// A connection whose activity is observed.
#[derive(Debug)]
pub struct ObservedStream<S> {
    /// The connection, until this is dropped.
    inner: Option<S>,
    activity: Arc<Activity>,
    returned: Option<oneshot::Sender<S>>,
}

impl<S> ObservedStream<S> {
    /// Observes `inner` from now on.
    pub fn new(inner: S) -> (Self, Arc<Activity>) {
        let activity = Arc::new(Activity::new());
        (Self { inner: Some(inner), activity: Arc::clone(&activity), returned: None }, activity)
    }

    /// Observes `inner` as `activity`; the receiver gets it back when the stream is dropped.
    pub fn returning(inner: S, activity: Arc<Activity>) -> (Self, oneshot::Receiver<S>) {
        let (tx, rx) = oneshot::channel();
        (Self { inner: Some(inner), activity, returned: Some(tx) }, rx)
    }

    fn on_write(&self, poll: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.activity.write_blocked.store(poll.is_pending(), Ordering::Relaxed);
        if let Poll::Ready(Ok(written)) = poll {
            self.activity.written_bytes.fetch_add(written as u64, Ordering::Relaxed);
        }
        poll
    }
}

impl<S> Drop for ObservedStream<S> {
    fn drop(&mut self) {
        if let (Some(inner), Some(returned)) = (self.inner.take(), self.returned.take()) {
            // Nobody waits for it any more if this fails.
            let _ = returned.send(inner);
        }
    }
}

impl<S: Unpin> ObservedStream<S> {
    fn inner(&mut self) -> io::Result<Pin<&mut S>> {
        self.inner.as_mut().map(Pin::new).ok_or_else(|| io::ErrorKind::NotConnected.into())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ObservedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(self.inner()?.poll_read(cx, buf))?;
        let received = &buf.filled()[before..];
        if !received.is_empty() {
            self.activity.on_received(received);
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ObservedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = self.inner()?.poll_write(cx, buf);
        self.on_write(poll)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = self.inner()?.poll_write_vectored(cx, bufs);
        self.on_write(poll)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.as_ref().is_some_and(AsyncWrite::is_write_vectored)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner()?.poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner()?.poll_shutdown(cx)
    }
}
