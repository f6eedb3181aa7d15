//! A stream wrapper that counts the bytes of a control connection and records when it last
//! received any.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::{cell::Cell, time::Instant};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::command::Traffic;

/// The time at which a connection last received bytes.
#[derive(Debug, Clone)]
pub(super) struct LastReceived(Rc<Cell<Instant>>);

impl LastReceived {
    pub fn get(&self) -> Instant {
        self.0.get()
    }
}

/// A stream that adds its bytes to the node's [`Traffic`].
pub(super) struct MeteredStream<T> {
    inner: T,
    last_received: LastReceived,
    traffic: Rc<Cell<Traffic>>,
}

impl<T> MeteredStream<T> {
    pub fn new(inner: T, traffic: Rc<Cell<Traffic>>) -> (Self, LastReceived) {
        let last_received = LastReceived(Rc::new(Cell::new(Instant::now())));
        (Self { inner, last_received: last_received.clone(), traffic }, last_received)
    }

    fn count(&self, bytes_in: u64, bytes_out: u64) {
        let mut traffic = self.traffic.get();
        traffic.bytes_in += bytes_in;
        traffic.bytes_out += bytes_out;
        self.traffic.set(traffic);
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for MeteredStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        if polled.is_ready() {
            self.last_received.0.set(Instant::now());
            self.count((buf.filled().len() - before) as u64, 0);
        }
        polled
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for MeteredStream<T> {
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
