//! What ran at the upstreams, so that tests and the lab can count it there.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use serde::Serialize;

/// How often one call ran.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Run {
    /// Times that it started.
    pub started: u32,
    /// Times that it ended in an answer.
    pub finished: u32,
}

/// What ran, by the call's `x-call-id`; shared by the upstreams of one experiment.
#[derive(Debug, Default)]
pub struct Record {
    runs: Mutex<HashMap<String, Run>>,
    cancelled: AtomicU64,
    shed: AtomicU64,
}

impl Record {
    /// Notes that a call started.
    pub fn start(&self, call: &str) {
        self.update(call, |run| run.started += 1);
    }

    /// Notes that a call ended in an answer.
    pub fn finish(&self, call: &str) {
        self.update(call, |run| run.finished += 1);
    }

    /// Notes that a call was cancelled while it ran.
    pub fn cancel(&self) {
        self.cancelled.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes that a call was shed.
    pub fn shed(&self) {
        self.shed.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns how often `call` ran.
    pub fn run(&self, call: &str) -> Run {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.get(call).copied().unwrap_or_default()
    }

    /// Returns all calls that ran.
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

    fn update(&self, call: &str, change: impl FnOnce(&mut Run)) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        change(runs.entry(call.to_owned()).or_default());
    }
}
