//! Graceful shutdown, which lets calls in flight finish, and immediate termination.

use std::time::Duration;

use goldcresttally_core::Deadline;
use tokio::time::Instant;

use super::Node;
use crate::control::Command;
use crate::events::{self, emit};

/// Time that operator connections and remaining tasks have to close, in milliseconds.
const CLOSE_TIMEOUT_MS: u64 = 200;

/// Time in which gossip tells nearly all members that this node is leaving, in milliseconds: a few
/// gossip rounds.
const GOSSIP_SPREAD_MS: u64 = 1000;

/// Interval at which the calls in flight are checked during a drain, in milliseconds.
const DRAIN_CHECK_INTERVAL_MS: u64 = 20;

impl Node {
    /// Stops the node gracefully: informs the members, takes no new calls and finishes those in
    /// flight.
    ///
    /// New calls are forwarded to other nodes during the leave notice, or refused as not run.
    /// Returns whether all calls in flight ended before the drain deadline, and their responses were
    /// delivered.
    pub async fn stop(mut self) -> bool {
        let requests = self.settings.requests.clone();
        let now = self.state.clock.now();
        let after = |ms| Deadline::after(now, Duration::from_millis(ms));
        let drain_deadline = after(requests.drain_ms);
        emit(events::NODE_LEAVING, format_args!("{}", self.state.identity.node));
        self.state.set_leaving(after(requests.leave_notice_ms), drain_deadline);
        self.peer.drain();
        // Sending fails if the control thread has ended; it has informed the members then.
        let _ = self.control.commands.send(Command::Leave).await;
        // Members that have not heard yet still send calls here, which are refused as not run.
        let notice = requests.leave_notice_ms.min(GOSSIP_SPREAD_MS);
        tokio::time::sleep(Duration::from_millis(notice)).await;
        self.wait_for_calls(drain_deadline).await;
        // Wait again, as a call may have entered between the last check and the refusal.
        self.state.refuse_calls();
        let drained = self.wait_for_calls(drain_deadline).await;
        if !drained {
            emit(events::DRAIN_TIMED_OUT, format_args!("after {} ms", requests.drain_ms));
            self.state.abort_calls();
        }
        let min_deadline = Instant::now() + Duration::from_millis(CLOSE_TIMEOUT_MS);
        let close_deadline = after(requests.drain_ms + requests.flush_ms);
        let close_deadline = self.state.clock.instant(close_deadline).max(min_deadline);
        self.stop_calls.cancel();
        let delivered = join_by(close_deadline, &mut self.call_listeners).await;
        self.stop.cancel();
        let delivered = join_by(close_deadline, &mut self.peer_listeners).await && delivered;
        self.close().await;
        drained && delivered
    }

    /// Stops the node immediately, as a crash would; calls in flight are aborted.
    pub async fn kill(mut self) {
        self.call_listeners.append(&mut self.peer_listeners);
        self.call_listeners.append(&mut self.listeners);
        join_by(Instant::now(), &mut self.call_listeners).await;
        self.workers.stop().await;
        self.control.stop().await;
    }

    /// Waits until no call that entered here and no attempt from another node is in flight.
    ///
    /// Returns `false` if some still are at `limit`.
    async fn wait_for_calls(&self, limit: Deadline) -> bool {
        loop {
            let running: usize =
                self.peer.loads().iter().map(|(_, _, l)| l.running + l.waiting).sum();
            if running + self.state.calls_in_flight() == 0 {
                return true;
            }
            if limit.is_past(self.state.clock.now()) {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(DRAIN_CHECK_INTERVAL_MS)).await;
        }
    }

    /// Stops the remaining listeners, the workers and the control thread.
    async fn close(mut self) {
        let limit = Instant::now() + Duration::from_millis(CLOSE_TIMEOUT_MS);
        join_by(limit, &mut self.listeners).await;
        self.tasks.close();
        // Remaining tasks serve connections to other nodes and to upstreams.
        let calls_ended = tokio::time::timeout_at(limit, self.tasks.wait());
        let (_, ()) = tokio::join!(calls_ended, self.control.stop());
        let node = self.state.identity.node;
        self.workers.stop().await;
        emit(events::NODE_STOPPED, format_args!("{node}"));
    }
}

/// Waits for tasks to end and aborts those still running at `deadline`; returns whether none were.
async fn join_by(deadline: Instant, tasks: &mut Vec<tokio::task::JoinHandle<()>>) -> bool {
    let mut all_ended = true;
    for mut task in tasks.drain(..) {
        if tokio::time::timeout_at(deadline, &mut task).await.is_err() {
            task.abort();
            // Its listener is closed only when the task has ended.
            let _ = task.await;
            all_ended = false;
        }
    }
    all_ended
}
