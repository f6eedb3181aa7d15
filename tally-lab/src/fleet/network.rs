//! A network between nodes that can be cut, and whose connections can stall, go silent or be reset.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::task::{Context, Poll};
use std::time::Duration;

use goldcresttally_core::Set;
use goldcresttally_proxy::transport::Connection;
use goldcresttally_proxy::{BoxFuture, TcpTransport, Transport};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Interval, interval};
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

/// Interval at which a stalled connection looks whether it may go on, in milliseconds.
const STALL_CHECK_MS: u64 = 20;

/// What is cut.
#[derive(Debug, Default)]
struct Cuts {
    /// Groups that reach their own members only; addresses in no group reach each other.
    group_of: Vec<(IpAddr, usize)>,
    /// Addresses that reach nobody.
    off: Set<IpAddr>,
    /// Addresses whose answers are held back.
    held: Set<IpAddr>,
    /// Share of datagrams that are lost.
    loss: f64,
}

/// The network between the nodes of a fleet.
#[derive(Debug, Default)]
pub struct Network {
    cuts: RwLock<Cuts>,
    /// Connections opened under an earlier number carry nothing any more.
    epoch: AtomicU64,
    /// Cancelled to reset the connections that are open.
    open: RwLock<CancellationToken>,
}

impl Network {
    /// Returns the border to this network for the node at `local`.
    pub fn transport(self: &Arc<Self>, local: IpAddr) -> Arc<dyn Transport> {
        Arc::new(LabTransport { network: Arc::clone(self), local })
    }

    /// Cuts the network into `groups` that cannot reach each other.
    pub fn partition(&self, groups: &[Vec<IpAddr>]) {
        let of = |(i, group): (usize, &Vec<IpAddr>)| {
            group.iter().map(move |ip| (*ip, i)).collect::<Vec<_>>()
        };
        let group_of = groups.iter().enumerate().flat_map(of).collect();
        self.cuts_mut(|cuts| cuts.group_of = group_of);
    }

    /// Ends a partition.
    pub fn heal(&self) {
        self.cuts_mut(|cuts| cuts.group_of.clear());
    }

    /// Lets `ip` reach nobody.
    pub fn cut_off(&self, ip: IpAddr) {
        self.cuts_mut(|cuts| {
            cuts.off.insert(ip);
        });
    }

    /// Lets `ip` reach others again.
    pub fn restore(&self, ip: IpAddr) {
        self.cuts_mut(|cuts| {
            cuts.off.remove(&ip);
        });
    }

    /// Loses a share of the datagrams.
    pub fn set_loss(&self, loss: f64) {
        self.cuts_mut(|cuts| cuts.loss = loss);
    }

    /// Makes every connection that is open now silent for good; new ones work.
    pub fn silence_open_connections(&self) {
        self.epoch.fetch_add(1, Ordering::Relaxed);
    }

    /// Holds back what others would read on connections to `ip`, old and new; what they write
    /// passes.
    pub fn hold_answers(&self, ip: IpAddr) {
        self.cuts_mut(|cuts| {
            cuts.held.insert(ip);
        });
    }

    /// Lets others read from `ip` again, first what was held back.
    pub fn release_answers(&self, ip: IpAddr) {
        self.cuts_mut(|cuts| {
            cuts.held.remove(&ip);
        });
    }

    /// Resets every connection between VMs that is open now; new ones work.
    pub fn reset_open_connections(&self) {
        let mut open = self.open.write().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *open).cancel();
    }

    /// Returns the token whose cancellation resets a connection that is opened now.
    fn reset_token(&self, local: IpAddr, remote: IpAddr) -> CancellationToken {
        if local == remote {
            return CancellationToken::new();
        }
        self.open.read().unwrap_or_else(PoisonError::into_inner).child_token()
    }

    fn cuts_mut(&self, change: impl FnOnce(&mut Cuts)) {
        change(&mut self.cuts.write().unwrap_or_else(PoisonError::into_inner));
    }

    fn reaches(&self, from: IpAddr, to: IpAddr) -> bool {
        if from == to {
            return true;
        }
        let cuts = self.cuts.read().unwrap_or_else(PoisonError::into_inner);
        let group = |ip| cuts.group_of.iter().find(|(i, _)| *i == ip).map(|(_, g)| *g);
        let off = cuts.off.contains(&from) || cuts.off.contains(&to);
        !off && (cuts.group_of.is_empty() || group(from) == group(to))
    }

    fn holds(&self, from: IpAddr, to: IpAddr) -> bool {
        let cuts = self.cuts.read().unwrap_or_else(PoisonError::into_inner);
        from != to && cuts.held.contains(&to)
    }

    fn loses(&self) -> bool {
        let cuts = self.cuts.read().unwrap_or_else(PoisonError::into_inner);
        cuts.loss > 0.0 && fastrand::f64() < cuts.loss
    }
}

/// The border to the network for one node.
#[derive(Debug)]
struct LabTransport {
    network: Arc<Network>,
    local: IpAddr,
}

impl Transport for LabTransport {
    fn connect(&self, to: SocketAddr) -> BoxFuture<'static, io::Result<Box<dyn Connection>>> {
        let network = Arc::clone(&self.network);
        let local = self.local;
        Box::pin(async move {
            // What is sent into a cut is lost; only the caller's timeout ends this.
            while !network.reaches(local, to.ip()) {
                tokio::time::sleep(Duration::from_millis(STALL_CHECK_MS)).await;
            }
            let reset = network.reset_token(local, to.ip());
            let epoch = network.epoch.load(Ordering::Relaxed);
            let stream = TcpTransport::new(Some(local)).dial(to).await?;
            let stall = Stall { network, local, remote: to.ip(), epoch, timer: None };
            let reset = Box::pin(reset.cancelled_owned());
            Ok(Box::new(LabStream { stream, stall, reset }) as Box<dyn Connection>)
        })
    }

    fn allows_datagram(&self, to: SocketAddr) -> bool {
        self.network.reaches(self.local, to.ip()) && !self.network.loses()
    }
}

/// Decides whether a connection carries bytes now.
#[derive(Debug)]
struct Stall {
    network: Arc<Network>,
    local: IpAddr,
    remote: IpAddr,
    epoch: u64,
    timer: Option<Interval>,
}

impl Stall {
    /// Tells whether bytes pass either way.
    fn carries(&self) -> bool {
        let same_vm = self.local == self.remote;
        let silent = self.epoch != self.network.epoch.load(Ordering::Relaxed) && !same_vm;
        !silent && self.network.reaches(self.local, self.remote)
    }

    /// Tells whether the other end's bytes pass.
    fn brings(&self) -> bool {
        self.carries() && !self.network.holds(self.local, self.remote)
    }

    /// Waits until the connection `passes` bytes.
    fn poll_passes(&mut self, cx: &mut Context<'_>, passes: fn(&Self) -> bool) -> Poll<()> {
        loop {
            if passes(self) {
                return Poll::Ready(());
            }
            let check = Duration::from_millis(STALL_CHECK_MS);
            let timer = self.timer.get_or_insert_with(|| interval(check));
            if timer.poll_tick(cx).is_pending() {
                return Poll::Pending;
            }
        }
    }
}

struct LabStream {
    stream: tokio::net::TcpStream,
    stall: Stall,
    reset: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl AsyncRead for LabStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.reset.as_mut().poll(cx).is_ready() {
            self.stream.set_zero_linger()?;
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if self.stall.poll_passes(cx, Stall::brings).is_pending() {
            return Poll::Pending;
        }
        // Read aside: what comes after the connection has gone silent must not be seen.
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if polled.is_ready() && self.stall.poll_passes(cx, Stall::carries).is_pending() {
            buf.set_filled(before);
            return Poll::Pending;
        }
        polled
    }
}

impl AsyncWrite for LabStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.stall.poll_passes(cx, Stall::carries).is_pending() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
