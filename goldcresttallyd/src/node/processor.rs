//! Probes the delay of tasks on a thread that serves calls.

use std::sync::Arc;

use goldcresttally_admission::PROBE_INTERVAL;
use goldcresttally_proxy::NodeState;
use goldcresttally_proxy::processor::ProcessorChange;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::events::{self, emit};

/// Runs probes on the current runtime until `stop`. A probe waits for the processor like the tasks
/// of the calls do.
pub(super) async fn probe(state: Arc<NodeState>, stop: CancellationToken) {
    loop {
        let due = Instant::now() + PROBE_INTERVAL;
        tokio::select! {
            () = tokio::time::sleep_until(due) => {}
            () = stop.cancelled() => return,
        }
        let lateness = due.elapsed();
        let change = state.processor.on_probe(state.clock.now(), lateness);
        if let Some(ProcessorChange { short, delay }) = change {
            let delay_ms = delay.as_millis();
            emit(events::PROCESSOR_SHORT, format_args!("short={short} delay_ms={delay_ms}"));
        }
    }
}
