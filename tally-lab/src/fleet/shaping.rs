//! Links with a limited rate: what passes a VM's link in one direction queues behind what passed
//! before.

use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use goldcresttally_core::{BitRate, Map};
use tokio::time::Instant;

/// Largest part of a stream that queues on a link at once, in bytes: a small window, as between
/// VMs that share a link.
pub const SEGMENT_BYTES: usize = 4096;

/// Time that the bytes of one stream may queue on a link, in milliseconds: its window.
const WINDOW_MS: u64 = 15;

/// Bytes of the packets that open a connection.
pub const HANDSHAKE_BYTES: usize = 120;

/// A direction of a VM's link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Direction {
    /// Towards the VM.
    In,
    /// From the VM.
    Out,
}

#[derive(Debug)]
struct Queue {
    rate: BitRate,
    /// When the bytes that queue now have passed.
    free_at: Instant,
    bytes: u64,
}

/// The shaped links of a network; others are not limited.
#[derive(Debug, Default)]
pub struct Links {
    /// Whether any link is shaped.
    shaped: AtomicBool,
    queues: Mutex<Map<(IpAddr, Direction), Queue>>,
}

impl Links {
    /// Limits both directions of a VM's link to `rate`.
    pub fn shape(&self, ip: IpAddr, rate: BitRate) {
        self.shaped.store(true, Ordering::Relaxed);
        let free_at = Instant::now();
        for direction in [Direction::In, Direction::Out] {
            self.lock().insert((ip, direction), Queue { rate, free_at, bytes: 0 });
        }
    }

    /// Returns whether any link is shaped. If none is, streams need not be cut into segments.
    pub fn are_shaped(&self) -> bool {
        self.shaped.load(Ordering::Relaxed)
    }

    /// Returns the bytes that have passed a shaped link in one direction.
    pub fn bytes(&self, ip: IpAddr, direction: Direction) -> u64 {
        self.lock().get(&(ip, direction)).map_or(0, |queue| queue.bytes)
    }

    /// Queues bytes of a stream; returns when it has room in its window for more.
    pub fn pass_stream(&self, from: IpAddr, to: IpAddr, bytes: usize) -> Instant {
        let now = Instant::now();
        let passed_at = self.pass(from, to, bytes);
        passed_at.checked_sub(Duration::from_millis(WINDOW_MS)).map_or(now, |at| at.max(now))
    }

    /// Queues bytes from one VM to another; returns when they have passed both links.
    pub fn pass(&self, from: IpAddr, to: IpAddr, bytes: usize) -> Instant {
        let mut passed_at = Instant::now();
        if from == to {
            return passed_at;
        }
        let mut queues = self.lock();
        for key in [(from, Direction::Out), (to, Direction::In)] {
            let Some(queue) = queues.get_mut(&key) else { continue };
            let bytes_per_s = queue.rate.bytes_per_s().max(1);
            let time = Duration::from_secs_f64(bytes as f64 / bytes_per_s as f64);
            queue.free_at = queue.free_at.max(passed_at) + time;
            queue.bytes += bytes as u64;
            passed_at = queue.free_at;
        }
        passed_at
    }

    fn lock(&self) -> MutexGuard<'_, Map<(IpAddr, Direction), Queue>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
