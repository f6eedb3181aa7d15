//! Reads steady time for the decision crates.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use goldcresttally_core::{Deadline, MonoTime};
use rustix::time::{ClockId, clock_gettime};

/// The clock of one process; it goes on while the VM is suspended, unlike `Instant`.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// Returns a clock whose origin is now.
    pub fn start() -> Self {
        Self { origin: since_boot() }
    }

    /// Returns the time since the origin.
    pub fn now(&self) -> MonoTime {
        MonoTime(since_boot().saturating_sub(self.origin).as_micros() as u64)
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
