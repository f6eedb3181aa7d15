//! Threads that serve calls, each with a runtime of its own.
//!
//! A call stays on the thread that accepted its connection, so that no step of it waits for
//! another thread to wake up; only the admission and the ledger are shared between threads.

use std::cell::Cell;
use std::io;
use std::thread::JoinHandle;

use tokio::runtime::{Builder, Handle};
use tokio_util::sync::CancellationToken;

thread_local! {
    static INDEX: Cell<usize> = const { Cell::new(0) };
}

/// Name of the threads.
pub const THREAD_NAME: &str = "calls";

/// Returns the index of the worker that runs this code; 0 outside any worker.
pub fn current_index() -> usize {
    INDEX.get()
}

#[derive(Debug)]
struct Worker {
    handle: Handle,
    thread: JoinHandle<()>,
}

/// Threads that serve calls.
#[derive(Debug)]
pub struct Workers {
    workers: Vec<Worker>,
    /// The runtime that serves calls when there are no threads for them.
    shared: Option<Handle>,
    stop: CancellationToken,
}

impl Workers {
    /// Starts `count` threads; with none, calls are served on the caller's runtime.
    pub fn start(count: usize) -> io::Result<Self> {
        let stop = CancellationToken::new();
        let workers =
            (0..count).map(|i| Worker::start(i, stop.clone())).collect::<Result<_, _>>()?;
        let shared = (count == 0).then(Handle::current);
        Ok(Self { workers, shared, stop })
    }

    /// Returns the runtimes of the threads.
    pub fn handles(&self) -> Vec<Handle> {
        self.workers.iter().map(|w| w.handle.clone()).chain(self.shared.clone()).collect()
    }

    /// Ends the threads at once, with whatever they still run, and joins them.
    pub async fn stop(self) {
        self.stop.cancel();
        if self.workers.is_empty() {
            return;
        }
        let join = || self.workers.into_iter().for_each(|w| drop(w.thread.join()));
        // A thread that panicked has printed why.
        let _ = tokio::task::spawn_blocking(join).await;
    }
}

impl Worker {
    fn start(index: usize, stop: CancellationToken) -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let run = move || {
            INDEX.set(index);
            runtime.block_on(stop.cancelled());
            // Dropping the runtime drops its tasks, which closes their connections.
            drop(runtime);
        };
        let thread = std::thread::Builder::new().name(THREAD_NAME.to_owned()).spawn(run)?;
        Ok(Self { handle, thread })
    }
}
