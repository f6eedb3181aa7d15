//! Watches the versions in force at all nodes, from outside the code that distributes them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use goldcresttally_proxy::NodeState;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Interval between looks at all nodes, in milliseconds.
const SAMPLE_INTERVAL_MS: u64 = 5;

/// What each version must hold: the queue limit of each service.
type Contents = HashMap<String, u32>;

#[derive(Debug, Default)]
struct Seen {
    states: Vec<Option<Arc<NodeState>>>,
    /// The newest version served at each address.
    newest: Vec<u64>,
    first: HashMap<(usize, u64), Instant>,
    expected: HashMap<u64, Contents>,
    checked: HashMap<usize, u64>,
    reverted: u64,
    partial: u64,
}

/// Watches the versions in force at all nodes.
#[derive(Debug)]
pub struct Monitor {
    seen: Arc<Mutex<Seen>>,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl Monitor {
    /// Starts watching `nodes` addresses.
    pub fn start(nodes: usize) -> Self {
        let seen = Seen { states: vec![None; nodes], newest: vec![0; nodes], ..Seen::default() };
        let seen = Arc::new(Mutex::new(seen));
        let stop = CancellationToken::new();
        let task = tokio::spawn(watch(Arc::clone(&seen), stop.clone()));
        Self { seen, stop, task }
    }

    /// Sets the node that runs at an address now.
    pub fn set_node(&self, i: usize, state: Option<Arc<NodeState>>) {
        self.lock().states[i] = state;
    }

    /// Sets what a version must hold.
    pub fn expect(&self, version: u64, contents: Contents) {
        self.lock().expected.insert(version, contents);
    }

    /// Returns when `version`, or a later one, was first seen at an address.
    pub fn first_seen(&self, i: usize, version: u64) -> Option<Instant> {
        let seen = self.lock();
        let later = seen.first.iter().filter(|((n, v), _)| *n == i && *v >= version);
        later.map(|(_, at)| *at).min()
    }

    /// Returns how often an address went back to an older version.
    pub fn reverted(&self) -> u64 {
        self.lock().reverted
    }

    /// Returns how often a version was in force with other content than it must hold.
    pub fn partial(&self) -> u64 {
        self.lock().partial
    }

    /// Stops watching.
    pub async fn stop(self) {
        self.stop.cancel();
        // A panic of the task was printed where it happened.
        let _ = self.task.await;
    }

    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn watch(seen: Arc<Mutex<Seen>>, stop: CancellationToken) {
    while !stop.is_cancelled() {
        seen.lock().unwrap_or_else(PoisonError::into_inner).sample();
        tokio::time::sleep(Duration::from_millis(SAMPLE_INTERVAL_MS)).await;
    }
}

impl Seen {
    fn sample(&mut self) {
        let now = Instant::now();
        for i in 0..self.states.len() {
            let Some(state) = self.states[i].clone() else { continue };
            // A node that may not serve yet has nothing in force.
            if !state.is_ready() {
                continue;
            }
            let serving = state.active_config();
            let version = serving.snapshot.version().0;
            self.reverted += u64::from(version < self.newest[i]);
            if version > self.newest[i] {
                self.newest[i] = version;
                self.first.insert((i, version), now);
            }
            if self.checked.get(&i) != Some(&version) {
                self.check(version, &serving.snapshot);
                self.checked.insert(i, version);
            }
        }
    }

    fn check(&mut self, version: u64, snapshot: &goldcresttally_config::Snapshot) {
        let Some(expected) = self.expected.get(&version) else { return };
        let held: Contents = snapshot.services().map(|s| (s.name.to_string(), s.queue)).collect();
        self.partial += u64::from(held != *expected);
    }
}
