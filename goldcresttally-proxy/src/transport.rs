//! Interface to the network, so that experiments can break or silence connections.

use std::fmt::Debug;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpSocket;

use crate::BoxFuture;

/// Idle time before the kernel probes a connection, and time between its probes, in seconds; the
/// shortest that TCP keepalive allows.
const KEEPALIVE_INTERVAL_S: u64 = 1;

/// Unanswered probes after which the kernel closes a connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Maximum time for which sent bytes may stay unacknowledged, in milliseconds: many times the round
/// trip within a region, and shorter than the shortest deadlines of callers.
const MAX_UNACKED_MS: u64 = 1500;

/// A bidirectional byte stream.
pub trait Connection: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Connection for T {}

/// Opens connections and decides which datagrams may be sent.
pub trait Transport: Send + Sync + Debug {
    /// Connects to `to`.
    fn connect(&self, to: SocketAddr) -> BoxFuture<'static, io::Result<Box<dyn Connection>>>;

    /// Returns whether a datagram from this node to `to` may be sent.
    fn allows_datagram(&self, to: SocketAddr) -> bool;
}

/// TCP connections, optionally bound to a local address.
#[derive(Debug, Clone, Copy)]
pub struct TcpTransport {
    local: Option<IpAddr>,
}

impl TcpTransport {
    /// Returns a transport whose connections are bound to `local`, if given and specified.
    pub fn new(local: Option<IpAddr>) -> Self {
        Self { local: local.filter(|ip| !ip.is_unspecified()) }
    }

    /// Connects to `to` with keepalive enabled.
    pub async fn dial(self, to: SocketAddr) -> io::Result<tokio::net::TcpStream> {
        let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        if let Some(local) = self.local.filter(|ip| ip.is_ipv4() == to.is_ipv4()) {
            socket.bind(SocketAddr::new(local, 0))?;
        }
        let stream = socket.connect(to).await?;
        stream.set_nodelay(true)?;
        enable_keepalive(&stream)?;
        Ok(stream)
    }
}

/// Enables TCP keepalive, so that the kernel closes a connection whose other end is unresponsive.
pub fn enable_keepalive(stream: &tokio::net::TcpStream) -> io::Result<()> {
    let interval = Duration::from_secs(KEEPALIVE_INTERVAL_S);
    let keepalive = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(Duration::from_millis(MAX_UNACKED_MS)))
}

impl Transport for TcpTransport {
    fn connect(&self, to: SocketAddr) -> BoxFuture<'static, io::Result<Box<dyn Connection>>> {
        let transport = *self;
        Box::pin(async move {
            let stream = transport.dial(to).await?;
            Ok(Box::new(stream) as Box<dyn Connection>)
        })
    }

    fn allows_datagram(&self, _to: SocketAddr) -> bool {
        true
    }
}
