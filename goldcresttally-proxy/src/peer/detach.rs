//! Runs a task within the one that waits for it, and apart from it once that goes away.

use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio_util::task::TaskTracker;

type Task = Pin<Box<dyn Future<Output = ()> + Send>>;

/// A task that is polled by whoever waits for its result, which saves a switch between tasks; it
/// is spawned to run to its end when the wait is over or given up.
pub(super) struct Detaching {
    task: Option<Task>,
    tasks: TaskTracker,
}

impl Detaching {
    /// Takes a task that will be tracked in `tasks`.
    pub fn new(task: impl Future<Output = ()> + Send + 'static, tasks: TaskTracker) -> Self {
        Self { task: Some(Box::pin(task)), tasks }
    }

    /// Runs the task until its result comes through `result`; `None` when it ends without one.
    pub async fn until<T>(self, result: oneshot::Receiver<T>) -> Option<T> {
        Waiting { detaching: self, result }.await
    }
}

impl Drop for Detaching {
    fn drop(&mut self) {
        // Without a runtime the process, or the worker, is at its end.
        if let (Some(task), Ok(handle)) = (self.task.take(), Handle::try_current()) {
            self.tasks.spawn_on(task, &handle);
        }
    }
}

struct Waiting<T> {
    detaching: Detaching,
    result: oneshot::Receiver<T>,
}

impl<T> Future for Waiting<T> {
    type Output = Option<T>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<T>> {
        let ended = |task: &mut Task| task.as_mut().poll(cx).is_ready();
        if self.detaching.task.as_mut().is_some_and(ended) {
            self.detaching.task = None;
        }
        Pin::new(&mut self.result).poll(cx).map(Result::ok)
    }
}
