//! Counts the bytes of a control connection, and notes when the last ones came.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::{cell::Cell, time::Instant};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::command::Traffic;

/// When bytes last came over a connection.
#[derive(Debug, Clone)]
pub(super) struct LastHeard(Rc<Cell<Instant>>);

impl LastHeard {
    pub fn get(&self) -> Instant {
        self.0.get()
    }
}

/// A connection that is watched.
pub(super) struct Watched<T> {
    inner: T,
    heard: LastHeard,
    traffic: Rc<Cell<Traffic>>,
}

impl<T> Watched<T> {
    pub fn new(inner: T, traffic: Rc<Cell<Traffic>>) -> (Self, LastHeard) {
        let heard = LastHeard(Rc::new(Cell::new(Instant::now())));
        (Self { inner, heard: heard.clone(), traffic }, heard)
    }

    fn count(&self, bytes_in: u64, bytes_out: u64) {
        let mut traffic = self.traffic.get();
        traffic.bytes_in += bytes_in;
        traffic.bytes_out += bytes_out;
        self.traffic.set(traffic);
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Watched<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        if polled.is_ready() {
            self.heard.0.set(Instant::now());
            self.count((buf.filled().len() - before) as u64, 0);
        }
        polled
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Watched<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = &polled {
            self.count(0, *written as u64);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
