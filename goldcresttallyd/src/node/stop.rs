//! The planned stop, which cuts nothing in flight, and the sudden one.

use std::time::Duration;

use goldcresttally_core::Deadline;
use tokio::time::Instant;

use super::Node;
use crate::control::Command;
use crate::events::{self, emit};

/// Time that operators' connections have to close, in milliseconds.
const CLOSE_LIMIT_MS: u64 = 200;

/// Time that connections have to write out what they hold once nothing is in flight, in
/// milliseconds: a few buffers over the slowest link of a VM.
const FLUSH_LIMIT_MS: u64 = 1000;

/// Time within which nearly all others know that this node leaves, in milliseconds: some rounds
/// of gossip.
const GOSSIP_NOTICE_MS: u64 = 1000;

/// Interval at which it is checked whether calls have ended, in milliseconds.
const IDLE_CHECK_MS: u64 = 20;

impl Node {
    /// Stops as planned: tells the others, takes nothing new, and finishes what is in flight.
    ///
    /// Callers that still come are served through other nodes, or refused as not run.
    /// Returns whether all that was in flight ended before the drain deadline.
    pub async fn stop(mut self) -> bool {
        let requests = self.settings.requests.clone();
        let now = self.state.clock.now();
        let after = |ms| Deadline::after(now, Duration::from_millis(ms));
        let ends_by = after(requests.drain_ms);
        emit(events::NODE_LEAVING, format_args!("{}", self.state.identity.node));
        self.state.set_leaving(after(requests.leave_notice_ms), ends_by);
        self.peer.drain();
        // A control thread that has ended has told the others already.
        let _ = self.control.commands.send(Command::Leave).await;
        // Until the others know, they send calls here; these are refused as not run.
        let notice = requests.leave_notice_ms.min(GOSSIP_NOTICE_MS);
        tokio::time::sleep(Duration::from_millis(notice)).await;
        self.calls_end(ends_by).await;
        // A call may have come between the last look and the refusal.
        self.state.refuse_calls();
        let ended = self.calls_end(ends_by).await;
        if !ended {
            emit(events::DRAIN_TIMED_OUT, format_args!("after {} ms", requests.drain_ms));
            self.state.abort_calls();
        }
        let flush = Instant::now() + Duration::from_millis(FLUSH_LIMIT_MS);
        let least = Instant::now() + Duration::from_millis(CLOSE_LIMIT_MS);
        let limit = flush.min(self.state.clock.instant(ends_by)).max(least);
        self.stop_calls.cancel();
        join_by(limit, &mut self.call_listeners).await;
        self.stop.cancel();
        join_by(limit, &mut self.peer_listeners).await;
        self.close().await;
        ended
    }

    /// Ends at once, as a crash would: cuts what is in flight.
    pub async fn kill(mut self) {
        self.call_listeners.append(&mut self.peer_listeners);
        self.call_listeners.append(&mut self.listeners);
        join_by(Instant::now(), &mut self.call_listeners).await;
        self.workers.stop().await;
        self.control.stop().await;
    }

    /// Waits until neither calls that entered here nor attempts of other entries are in flight.
    async fn calls_end(&self, limit: Deadline) -> bool {
        loop {
            let running: usize =
                self.peer.loads().iter().map(|(_, _, l)| l.running + l.waiting).sum();
            if running + self.state.calls_in_flight() == 0 {
                return true;
            }
            if limit.is_past(self.state.clock.now()) {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(IDLE_CHECK_MS)).await;
        }
    }

    async fn close(mut self) {
        let limit = Instant::now() + Duration::from_millis(CLOSE_LIMIT_MS);
        join_by(limit, &mut self.listeners).await;
        self.tasks.close();
        // What is left are connections that others keep open.
        let _ = tokio::time::timeout_at(limit, self.tasks.wait()).await;
        let node = self.state.identity.node;
        self.workers.stop().await;
        self.control.stop().await;
        emit(events::NODE_STOPPED, format_args!("{node}"));
    }
}

/// Waits for tasks to end; those that have not by `deadline` are aborted.
async fn join_by(deadline: Instant, tasks: &mut Vec<tokio::task::JoinHandle<()>>) -> bool {
    let mut ended = true;
    for mut task in tasks.drain(..) {
        if tokio::time::timeout_at(deadline, &mut task).await.is_err() {
            task.abort();
            // Its listener is closed only once it has ended.
            let _ = task.await;
            ended = false;
        }
    }
    ended
}
