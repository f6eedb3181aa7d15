//! A network between nodes with injectable faults: partitions, datagram loss, and connections that
//! stall, go silent or are reset.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use goldcresttally_core::Set;
use goldcresttally_proxy::transport::Connection;
use goldcresttally_proxy::{BoxFuture, TcpTransport, Transport};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Interval, Sleep, interval};
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

use super::shaping::{HANDSHAKE_BYTES, Links, SEGMENT_BYTES};

/// Interval at which a stalled connection checks whether the fault has ended, in milliseconds.
const STALL_CHECK_MS: u64 = 20;

/// Faults that are active now.
#[derive(Debug, Default)]
struct ActiveFaults {
    /// Partition group of each address; addresses in no group reach each other.
    group_of: Vec<(IpAddr, usize)>,
    /// Addresses without any connectivity.
    isolated: Set<IpAddr>,
    /// Addresses whose sent bytes are delayed until released.
    answers_held: Set<IpAddr>,
    /// Share of datagrams that are dropped, from 0 to 1.
    datagram_loss: f64,
}

/// The network between the nodes of a fleet.
#[derive(Debug, Default)]
pub struct Network {
    faults: RwLock<ActiveFaults>,
    /// Connections opened in an earlier epoch are silent.
    epoch: AtomicU64,
    /// Parent token of the open connections; cancelling it resets them.
    reset_parent: RwLock<CancellationToken>,
    links: Links,
    connections_opened: AtomicU64,
}

impl Network {
    /// Returns the transport of the node at `local` over this network.
    pub fn transport(self: &Arc<Self>, local: IpAddr) -> Arc<dyn Transport> {
        Arc::new(LabTransport { network: Arc::clone(self), local })
    }

    /// Returns the VMs' links, which can be shaped.
    pub fn links(&self) -> &Links {
        &self.links
    }

    /// Returns the number of connections between VMs that were opened.
    pub fn connections_opened(&self) -> u64 {
        self.connections_opened.load(Ordering::Relaxed)
    }

    /// Partitions the network into `groups` that cannot reach each other.
    pub fn partition(&self, groups: &[Vec<IpAddr>]) {
        let of = |(i, group): (usize, &Vec<IpAddr>)| {
            group.iter().map(move |ip| (*ip, i)).collect::<Vec<_>>()
        };
        let group_of = groups.iter().enumerate().flat_map(of).collect();
        self.update_faults(|faults| faults.group_of = group_of);
    }

    /// Ends the partition.
    pub fn heal(&self) {
        self.update_faults(|faults| faults.group_of.clear());
    }

    /// Disconnects `ip` from all other addresses.
    pub fn isolate(&self, ip: IpAddr) {
        self.update_faults(|faults| {
            faults.isolated.insert(ip);
        });
    }

    /// Undoes [`isolate`](Self::isolate) for `ip`.
    pub fn reconnect(&self, ip: IpAddr) {
        self.update_faults(|faults| {
            faults.isolated.remove(&ip);
        });
    }

    /// Sets the share of datagrams that are dropped, from 0 to 1.
    pub fn set_datagram_loss(&self, datagram_loss: f64) {
        self.update_faults(|faults| faults.datagram_loss = datagram_loss);
    }

    /// Silences every open connection permanently; new connections work.
    pub fn silence_open_connections(&self) {
        self.epoch.fetch_add(1, Ordering::Relaxed);
    }

    /// Delays the bytes that others read on connections to `ip`, open and new; bytes that they
    /// write still arrive.
    pub fn hold_answers(&self, ip: IpAddr) {
        self.update_faults(|faults| {
            faults.answers_held.insert(ip);
        });
    }

    /// Delivers the delayed bytes of `ip` and stops delaying.
    pub fn release_answers(&self, ip: IpAddr) {
        self.update_faults(|faults| {
            faults.answers_held.remove(&ip);
        });
    }

    /// Resets every open connection between VMs; new connections work.
    pub fn reset_open_connections(&self) {
        let mut reset_parent = self.reset_parent.write().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *reset_parent).cancel();
    }

    /// Returns the token whose cancellation resets a new connection from `local` to `remote`.
    fn reset_token(&self, local: IpAddr, remote: IpAddr) -> CancellationToken {
        if local == remote {
            return CancellationToken::new();
        }
        self.reset_parent.read().unwrap_or_else(PoisonError::into_inner).child_token()
    }

    fn update_faults(&self, change: impl FnOnce(&mut ActiveFaults)) {
        change(&mut self.faults.write().unwrap_or_else(PoisonError::into_inner));
    }

    fn reaches(&self, from: IpAddr, to: IpAddr) -> bool {
        if from == to {
            return true;
        }
        let faults = self.faults.read().unwrap_or_else(PoisonError::into_inner);
        let group = |ip| faults.group_of.iter().find(|(i, _)| *i == ip).map(|(_, g)| *g);
        let isolated = faults.isolated.contains(&from) || faults.isolated.contains(&to);
        !isolated && (faults.group_of.is_empty() || group(from) == group(to))
    }

    fn holds_answers(&self, from: IpAddr, to: IpAddr) -> bool {
        let faults = self.faults.read().unwrap_or_else(PoisonError::into_inner);
        from != to && faults.answers_held.contains(&to)
    }

    fn drops_datagram(&self) -> bool {
        let faults = self.faults.read().unwrap_or_else(PoisonError::into_inner);
        faults.datagram_loss > 0.0 && fastrand::f64() < faults.datagram_loss
    }
}

/// Transport of one node over the network.
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
            // A partition drops packets, so connecting ends only with the caller's timeout.
            while !network.reaches(local, to.ip()) {
                tokio::time::sleep(Duration::from_millis(STALL_CHECK_MS)).await;
            }
            let reset = network.reset_token(local, to.ip());
            let epoch = network.epoch.load(Ordering::Relaxed);
            if local != to.ip() {
                network.connections_opened.fetch_add(1, Ordering::Relaxed);
            }
            // The packets that open the connection queue on the links in both directions.
            tokio::time::sleep_until(network.links.pass(local, to.ip(), HANDSHAKE_BYTES)).await;
            tokio::time::sleep_until(network.links.pass(to.ip(), local, HANDSHAKE_BYTES)).await;
            let stream = TcpTransport::new(Some(local)).dial(to).await?;
            let link = LinkState { network, local, remote: to.ip(), epoch, timer: None };
            let reset = Box::pin(reset.cancelled_owned());
            let (reading, writing) = (None, None);
            Ok(Box::new(LabStream { stream, link, reset, reading, writing }) as Box<dyn Connection>)
        })
    }

    fn allows_datagram(&self, to: SocketAddr) -> bool {
        self.network.reaches(self.local, to.ip()) && !self.network.drops_datagram()
    }
}

/// Fault state of one connection.
#[derive(Debug)]
struct LinkState {
    network: Arc<Network>,
    local: IpAddr,
    remote: IpAddr,
    epoch: u64,
    timer: Option<Interval>,
}

impl LinkState {
    /// Returns whether the connection carries bytes at all.
    fn passes_bytes(&self) -> bool {
        let same_vm = self.local == self.remote;
        let silent = self.epoch != self.network.epoch.load(Ordering::Relaxed) && !same_vm;
        !silent && self.network.reaches(self.local, self.remote)
    }

    /// Returns whether bytes from the remote end may be read.
    fn passes_answers(&self) -> bool {
        self.passes_bytes() && !self.network.holds_answers(self.local, self.remote)
    }

    /// Waits until `passes` returns true.
    fn poll_until(&mut self, cx: &mut Context<'_>, passes: fn(&Self) -> bool) -> Poll<()> {
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
    link: LinkState,
    reset: Pin<Box<WaitForCancellationFutureOwned>>,
    /// Until when the bytes that were read or written last pass the links.
    reading: Option<Pin<Box<Sleep>>>,
    writing: Option<Pin<Box<Sleep>>>,
}

/// Returns whether the bytes that passed last have arrived.
fn poll_passed(passing: &mut Option<Pin<Box<Sleep>>>, cx: &mut Context<'_>) -> Poll<()> {
    if let Some(sleep) = passing {
        ready!(sleep.as_mut().poll(cx));
        *passing = None;
    }
    Poll::Ready(())
}

impl LabStream {
    /// Reads one segment, which then queues on the links.
    fn poll_read_segment(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0; SEGMENT_BYTES];
        let mut segment = ReadBuf::new(&mut bytes[..buf.remaining().min(SEGMENT_BYTES)]);
        let polled = Pin::new(&mut self.stream).poll_read(cx, &mut segment);
        let read = segment.filled().len();
        buf.put_slice(segment.filled());
        if read > 0 {
            let LinkState { network, local, remote, .. } = &self.link;
            let passed_at = network.links.pass_stream(*remote, *local, read);
            self.reading = Some(Box::pin(tokio::time::sleep_until(passed_at)));
        }
        polled
    }
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
        if self.link.poll_until(cx, LinkState::passes_answers).is_pending() {
            return Poll::Pending;
        }
        ready!(poll_passed(&mut self.reading, cx));
        // The connection may have gone silent since the check: discard what was read after that.
        let before = buf.filled().len();
        let polled = match self.link.network.links.are_shaped() {
            true => self.as_mut().poll_read_segment(cx, buf),
            false => Pin::new(&mut self.stream).poll_read(cx, buf),
        };
        if polled.is_ready() && self.link.poll_until(cx, LinkState::passes_bytes).is_pending() {
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
        if self.link.poll_until(cx, LinkState::passes_bytes).is_pending() {
            return Poll::Pending;
        }
        if !self.link.network.links.are_shaped() {
            return Pin::new(&mut self.stream).poll_write(cx, buf);
        }
        ready!(poll_passed(&mut self.writing, cx));
        let segment = &buf[..buf.len().min(SEGMENT_BYTES)];
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, segment))?;
        let passed_at =
            self.link.network.links.pass_stream(self.link.local, self.link.remote, written);
        self.writing = Some(Box::pin(tokio::time::sleep_until(passed_at)));
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
