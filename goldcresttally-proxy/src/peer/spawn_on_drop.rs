//! Runs a future inside the task that waits for its result, and spawns it if that task goes away.

use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio_util::task::TaskTracker;

type Task = Pin<Box<dyn Future<Output = ()> + Send>>;

/// A future that is polled by the task that waits for its result, which avoids a task switch. When
/// the wait ends or is given up, the future is spawned and runs to completion.
pub(super) struct SpawnOnDrop {
    task: Option<Task>,
    tasks: TaskTracker,
}

impl SpawnOnDrop {
    /// Wraps `task`, which is tracked in `tasks` once it is spawned.
    pub fn new(task: impl Future<Output = ()> + Send + 'static, tasks: TaskTracker) -> Self {
        Self { task: Some(Box::pin(task)), tasks }
    }

    /// Polls the task until its result arrives over `result`; `None` if it ends without one.
    pub async fn until<T>(self, result: oneshot::Receiver<T>) -> Option<T> {
        ResultWait { inner: self, result }.await
    }
}

impl Drop for SpawnOnDrop {
    fn drop(&mut self) {
        // Without a runtime, the process or the worker thread is shutting down.
        if let (Some(task), Ok(handle)) = (self.task.take(), Handle::try_current()) {
            self.tasks.spawn_on(task, &handle);
        }
    }
}

struct ResultWait<T> {
    inner: SpawnOnDrop,
    result: oneshot::Receiver<T>,
}

impl<T> Future for ResultWait<T> {
    type Output = Option<T>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<T>> {
        let ended = |task: &mut Task| task.as_mut().poll(cx).is_ready();
        if self.inner.task.as_mut().is_some_and(ended) {
            self.inner.task = None;
        }
        Pin::new(&mut self.result).poll(cx).map(Result::ok)
    }
}
