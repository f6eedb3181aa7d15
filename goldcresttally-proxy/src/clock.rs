//! Reads steady time for the decision crates.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use goldcresttally_core::{Deadline, MonoTime};
use rustix::time::{ClockId, clock_gettime};

/// Time by which a clock that nobody sets is offset_us.
static ZERO_OFFSET: AtomicU64 = AtomicU64::new(0);

/// The clock of one process; it goes on while the VM is suspended, unlike `Instant`.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Duration,
    /// In microseconds.
    offset_us: &'static AtomicU64,
}

impl Clock {
    /// Returns a clock whose origin is now.
    pub fn start() -> Self {
        Self::start_with_offset(&ZERO_OFFSET)
    }

    /// Returns a clock that is offset_us by as many microseconds as `offset_us` holds: a test that adds to
    /// it suspends the process for that time, as timers do not notice.
    pub fn start_with_offset(offset_us: &'static AtomicU64) -> Self {
        Self { origin: since_boot(), offset_us }
    }

    /// Returns the time since the origin.
    pub fn now(&self) -> MonoTime {
        let elapsed = since_boot().saturating_sub(self.origin).as_micros() as u64;
        MonoTime(elapsed + self.offset_us.load(Ordering::Relaxed))
    }

    /// Returns the instant of a deadline, for timers.
    pub fn instant(&self, deadline: Deadline) -> tokio::time::Instant {
        tokio::time::Instant::now() + deadline.remaining(self.now())
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Returns wall-clock time in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64)
}
