//! Reads monotonic time for the decision crates.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use goldcresttally_core::{Deadline, MonoTime};

/// The clock of one process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Returns a clock whose origin is now.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the time since the origin.
    pub fn now(&self) -> MonoTime {
        MonoTime(self.origin.elapsed().as_micros() as u64)
    }

    /// Returns the instant of a deadline, for timers.
    pub fn instant(&self, deadline: Deadline) -> tokio::time::Instant {
        (self.origin + std::time::Duration::from_micros(deadline.0.0)).into()
    }
}

/// Returns wall-clock time in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64)
}
