//! Reports to the log how often the limits on clients took effect.

use std::sync::Arc;
use std::time::Duration;

use goldcresttally_proxy::clients::Clients;
use tokio_util::sync::CancellationToken;

use crate::events::{self, emit};

/// Interval between reports, in milliseconds.
const INTERVAL_MS: u64 = 10_000;

/// Logs one line for each interval in which limits took effect, until `stop` is cancelled.
pub async fn run(clients: Arc<Clients>, stop: CancellationToken) {
    let mut interval = tokio::time::interval(Duration::from_millis(INTERVAL_MS));
    let mut last = clients.counters.read();
    loop {
        tokio::select! {
            _ = interval.tick() => {}
            () = stop.cancelled() => return,
        }
        let counts = clients.counters.read();
        // Idle connections are closed all the time.
        let changes = counts
            .iter()
            .zip(&last)
            .filter(|((name, count), (_, before))| *name != "clients_idle" && count > before);
        let changes: Vec<_> = changes
            .map(|((name, count), (_, before))| format!("{name}={}", count - before))
            .collect();
        if !changes.is_empty() {
            let (changes, used) = (changes.join(" "), clients.budget.used());
            emit(events::CLIENTS_LIMITED, format_args!("{changes} bytes_in_use={used}"));
        }
        last = counts;
    }
}
