//! Refusal of calls while this node is short of processor time.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use goldcresttally_admission::{CallUrgency, ProcessorLoad};
use goldcresttally_core::MonoTime;

/// The processor load of a node, shared by the threads that serve calls.
#[derive(Debug, Default)]
pub struct Processor {
    load: Mutex<ProcessorLoad>,
}

/// A change that a probe has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessorChange {
    /// Whether the node is short of processor time now.
    pub short: bool,
    /// Time for which its tasks wait for the processor.
    pub delay: Duration,
}

impl Processor {
    /// Records that a probe ran `lateness` after it was due; returns what has changed by this.
    pub fn on_probe(&self, now: MonoTime, lateness: Duration) -> Option<ProcessorChange> {
        let mut load = self.lock();
        let short = load.on_probe(now, lateness)?;
        Some(ProcessorChange { short, delay: load.delay() })
    }

    /// Returns the share of the calls that is refused, and the time for which tasks wait.
    pub fn state(&self) -> (f64, Duration) {
        let load = self.lock();
        (load.refused_share(), load.delay())
    }

    /// Returns whether a call may be served, or else the time after which its caller may come back.
    pub(crate) fn admit(&self, now: MonoTime, call: &CallUrgency) -> Result<(), Duration> {
        let mut load = self.lock();
        match load.admit(now, call, fastrand::f64()) {
            true => Ok(()),
            false => Err(load.retry_after(fastrand::f64())),
        }
    }

    fn lock(&self) -> MutexGuard<'_, ProcessorLoad> {
        self.load.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
