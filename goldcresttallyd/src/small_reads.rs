//! A listener whose connections are read in small parts, so that a client which sends without end gets
//! a small share of a thread that serves others as well.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use axum::serve::{Listener, ListenerExt};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

/// Maximum size of one read, in bytes. A task makes some hundred reads before others run.
const READ_BYTES: usize = 16 * 1024;

/// Returns `listener` for use with `axum::serve`, with reads of limited size.
pub fn with_small_reads(
    listener: TcpListener,
) -> impl Listener<Io = SmallReadStream, Addr = SocketAddr> {
    SmallReadListener(listener)
}

/// Returns a listener like [`with_small_reads`] whose handlers can extract the client's address.
pub fn with_small_reads_and_address(
    listener: TcpListener,
) -> axum::serve::TapIo<SmallReadListener, impl FnMut(&mut SmallReadStream) + Send + 'static> {
    SmallReadListener(listener).tap_io(|_| {})
}

/// A listener that limits the size of reads.
#[derive(Debug)]
pub struct SmallReadListener(TcpListener);

impl Listener for SmallReadListener {
    type Io = SmallReadStream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (SmallReadStream, SocketAddr) {
        let (stream, from) = Listener::accept(&mut self.0).await;
        (SmallReadStream(stream), from)
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }
}

/// A connection that is read in parts of limited size.
#[derive(Debug)]
pub struct SmallReadStream(TcpStream);

impl AsyncRead for SmallReadStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let size = buf.remaining().min(READ_BYTES);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(size));
        ready!(Pin::new(&mut self.0).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        buf.advance(read);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for SmallReadStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
