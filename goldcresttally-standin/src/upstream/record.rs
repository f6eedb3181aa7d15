//! Record of the calls that upstreams ran, which tests and experiments compare with what callers
//! were told.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use serde::Serialize;

/// How often a call was started and finished.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Run {
    /// Number of times the call started.
    pub started: u32,
    /// Number of times the call finished and was answered, even if the response was truncated.
    pub finished: u32,
}

/// Runs of each call by its `x-call-id`; shared by all upstreams of an experiment.
#[derive(Debug, Default)]
pub struct Record {
    runs: Mutex<HashMap<String, Run>>,
    cancelled: AtomicU64,
    shed: AtomicU64,
}

impl Record {
    /// Records that a call started.
    pub fn start(&self, call: &str) {
        self.update(call, |run| run.started += 1);
    }

    /// Records that a call finished.
    pub fn finish(&self, call: &str) {
        self.update(call, |run| run.finished += 1);
    }

    /// Records that a call was cancelled while it ran.
    pub fn cancel(&self) {
        self.cancelled.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a call was shed.
    pub fn shed(&self) {
        self.shed.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns how often `call` ran.
    pub fn run(&self, call: &str) -> Run {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.get(call).copied().unwrap_or_default()
    }

    /// Returns the runs of all calls by `x-call-id`.
    pub fn runs(&self) -> HashMap<String, Run> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the number of calls that were cancelled while they ran.
    pub fn cancelled(&self) -> u64 {
        self.cancelled.load(Ordering::Relaxed)
    }

    /// Returns the number of calls that were shed.
    pub fn shed_count(&self) -> u64 {
        self.shed.load(Ordering::Relaxed)
    }

    fn update(&self, call: &str, apply: impl FnOnce(&mut Run)) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        apply(runs.entry(call.to_owned()).or_default());
    }
}
