//! Samples the versions in force at all nodes, independently of the distribution code.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use goldcresttally_proxy::NodeState;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Interval at which all nodes are sampled, in milliseconds.
const SAMPLE_INTERVAL_MS: u64 = 5;

/// Expected content of a version: the queue limit of each service.
type QueueLimits = HashMap<String, u32>;

#[derive(Debug, Default)]
struct Observations {
    states: Vec<Option<Arc<NodeState>>>,
    /// Newest version seen in force at each address.
    newest: Vec<u64>,
    /// When each version was first seen in force at each address.
    first_seen_at: HashMap<(usize, u64), Instant>,
    /// Expected content of each version.
    expected: HashMap<u64, QueueLimits>,
    /// Last version whose content was compared, by address.
    checked: HashMap<usize, u64>,
    reverted: u64,
    partial: u64,
}

/// Background task that records regressions and wrong content of the versions in force.
#[derive(Debug)]
pub struct Monitor {
    observations: Arc<Mutex<Observations>>,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl Monitor {
    /// Starts sampling `nodes` addresses.
    pub fn start(nodes: usize) -> Self {
        let observations = Observations {
            states: vec![None; nodes],
            newest: vec![0; nodes],
            ..Observations::default()
        };
        let observations = Arc::new(Mutex::new(observations));
        let stop = CancellationToken::new();
        let task = tokio::spawn(watch(Arc::clone(&observations), stop.clone()));
        Self { observations, stop, task }
    }

    /// Sets the node that runs at an address; `None` while it is stopped.
    pub fn set_node(&self, i: usize, state: Option<Arc<NodeState>>) {
        self.lock().states[i] = state;
    }

    /// Sets the expected content of a version.
    pub fn expect(&self, version: u64, contents: QueueLimits) {
        self.lock().expected.insert(version, contents);
    }

    /// Returns when `version` or a later one was first seen in force at an address.
    pub fn first_seen(&self, i: usize, version: u64) -> Option<Instant> {
        let observations = self.lock();
        let reached =
            observations.first_seen_at.iter().filter(|((n, v), _)| *n == i && *v >= version);
        reached.map(|(_, at)| *at).min()
    }

    /// Returns the number of samples in which an address was at an older version than before.
    pub fn reverted(&self) -> u64 {
        self.lock().reverted
    }

    /// Returns the number of times that a version in force differed from its expected content.
    pub fn partial(&self) -> u64 {
        self.lock().partial
    }

    /// Stops sampling.
    pub async fn stop(self) {
        self.stop.cancel();
        // A panic in the task has already been printed.
        let _ = self.task.await;
    }

    fn lock(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn watch(observations: Arc<Mutex<Observations>>, stop: CancellationToken) {
    while !stop.is_cancelled() {
        observations.lock().unwrap_or_else(PoisonError::into_inner).sample();
        tokio::time::sleep(Duration::from_millis(SAMPLE_INTERVAL_MS)).await;
    }
}

impl Observations {
    fn sample(&mut self) {
        let now = Instant::now();
        for i in 0..self.states.len() {
            let Some(state) = self.states[i].clone() else { continue };
            // A node that is not ready has no version in force.
            if !state.is_ready() {
                continue;
            }
            let active = state.active_config();
            let version = active.snapshot.version().0;
            self.reverted += u64::from(version < self.newest[i]);
            if version > self.newest[i] {
                self.newest[i] = version;
                self.first_seen_at.insert((i, version), now);
            }
            if self.checked.get(&i) != Some(&version) {
                self.check(version, &active.snapshot);
                self.checked.insert(i, version);
            }
        }
    }

    fn check(&mut self, version: u64, snapshot: &goldcresttally_config::Snapshot) {
        let Some(expected) = self.expected.get(&version) else { return };
        let actual: QueueLimits =
            snapshot.services().map(|s| (s.name.to_string(), s.queue)).collect();
        self.partial += u64::from(actual != *expected);
    }
}
