//! Monotonic and wall-clock time.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use goldcresttally_core::{Deadline, MonoTime};
use rustix::time::{ClockId, clock_gettime};

/// The offset of clocks outside tests.
static ZERO_OFFSET: AtomicU64 = AtomicU64::new(0);

/// A process's monotonic clock. Unlike `Instant`, it advances while the VM is suspended.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Duration,
    /// Time added to the clock, in microseconds.
    offset_us: &'static AtomicU64,
}

impl Clock {
    /// Returns a clock whose origin is now.
    pub fn start() -> Self {
        Self::start_with_offset(&ZERO_OFFSET)
    }

    /// Returns a clock that is ahead by `offset_us` microseconds.
    ///
    /// A test simulates a suspended process by increasing the offset, which timers do not notice
    /// either.
    pub fn start_with_offset(offset_us: &'static AtomicU64) -> Self {
        Self { origin: since_boot(), offset_us }
    }

    /// Returns the time since the origin.
    pub fn now(&self) -> MonoTime {
        let elapsed = since_boot().saturating_sub(self.origin).as_micros() as u64;
        MonoTime(elapsed + self.offset_us.load(Ordering::Relaxed))
    }

    /// Converts a deadline to an instant for timers.
    pub fn instant(&self, deadline: Deadline) -> tokio::time::Instant {
        tokio::time::Instant::now() + deadline.remaining(self.now())
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64)
}
