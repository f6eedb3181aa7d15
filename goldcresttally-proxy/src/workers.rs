//! Worker threads that serve calls, each with its own runtime.
//!
//! A call stays on the thread that accepted its connection, so that no step of it waits for another
//! thread to wake up. Only the admission and the ledger are shared between threads.

use std::cell::Cell;
use std::io;
use std::thread::JoinHandle;

use tokio::runtime::{Builder, Handle};
use tokio_util::sync::CancellationToken;

thread_local! {
    static INDEX: Cell<usize> = const { Cell::new(0) };
}

/// Name of the worker threads.
pub const THREAD_NAME: &str = "calls";

/// Returns the index of the current worker thread; 0 outside any worker.
pub fn current_index() -> usize {
    INDEX.get()
}

#[derive(Debug)]
struct Worker {
    handle: Handle,
    thread: JoinHandle<()>,
}

/// The worker threads of a node.
#[derive(Debug)]
pub struct Workers {
    threads: Vec<Worker>,
    /// The runtime that serves calls if there are no worker threads.
    shared: Option<Handle>,
    stop: CancellationToken,
}

impl Workers {
    /// Starts `count` threads; with 0, calls are served on the current runtime.
    ///
    /// Fails if a runtime or thread cannot be created.
    pub fn start(count: usize) -> io::Result<Self> {
        let stop = CancellationToken::new();
        let threads =
            (0..count).map(|i| Worker::start(i, stop.clone())).collect::<Result<_, _>>()?;
        let shared = (count == 0).then(Handle::current);
        Ok(Self { threads, shared, stop })
    }

    /// Returns the runtimes to serve calls on.
    pub fn handles(&self) -> Vec<Handle> {
        self.threads.iter().map(|w| w.handle.clone()).chain(self.shared.clone()).collect()
    }

    /// Stops the threads immediately, dropping the tasks that still run on them, and joins them.
    pub async fn stop(self) {
        self.stop.cancel();
        if self.threads.is_empty() {
            return;
        }
        let join = || self.threads.into_iter().for_each(|w| drop(w.thread.join()));
        // A panic of a thread was already reported by the panic hook.
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
