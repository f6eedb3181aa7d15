//! The local tasks of the control plane, all of which end with it.

use std::time::Duration;

use tokio::task::AbortHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// A set of local tasks that is joined when the control plane stops.
///
/// Tasks hold the control plane's sockets. One that outlived it would keep their addresses bound,
/// so that no other node could start there in the same process.
#[derive(Debug, Default)]
pub(super) struct LocalTasks {
    tracker: TaskTracker,
    /// Cancelled to drop the tasks that have not ended in time.
    abort: CancellationToken,
}

impl LocalTasks {
    /// Spawns a task on the current thread's `LocalSet`.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) -> AbortHandle {
        let abort = self.abort.clone();
        let task = async move {
            // `None` if the task was dropped.
            let _: Option<()> = abort.run_until_cancelled(task).await;
        };
        self.tracker.spawn_local(task).abort_handle()
    }

    /// Waits until all tasks have ended, and drops those that still run after `limit`.
    ///
    /// Returns the number of dropped tasks.
    pub async fn join(&self, limit: Duration) -> usize {
        self.tracker.close();
        if tokio::time::timeout(limit, self.tracker.wait()).await.is_ok() {
            return 0;
        }
        let remaining = self.tracker.len();
        self.abort.cancel();
        self.tracker.wait().await;
        remaining
    }
}
