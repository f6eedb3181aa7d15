//! Serves counters, gauges and latency quantiles as text, one value per line.

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;

use axum::Router;
use axum::routing::get;
use goldcresttally_proxy::Peer;
use goldcresttally_report::Recorder;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::client_listener;

/// HTTP path of the metrics.
pub const PATH: &str = "/metrics";

/// Quantiles reported for each latency histogram.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// Serves the metrics at `address` until `stop` is cancelled.
///
/// # Errors
///
/// Returns an error if the listener cannot be bound.
pub async fn serve(
    address: SocketAddr,
    peer: Arc<Peer>,
    recorder: Arc<Recorder>,
    stop: CancellationToken,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let clients = Arc::clone(&peer.state().clients);
    let handler = move || async move { render(&peer, &recorder) };
    let router = Router::new().route(PATH, get(handler));
    client_listener::serve(listener, clients, router, 0, stop).await;
    Ok(())
}

/// Renders the metrics of a node.
pub fn render(peer: &Peer, recorder: &Recorder) -> String {
    let mut text = String::new();
    let mut line = |name: &str, labels: &str, value: f64| {
        // Writing to a `String` cannot fail.
        let _ = writeln!(text, "goldcresttally_{name}{labels} {value}");
    };
    let state = peer.state();
    for (name, value) in state.counters.read() {
        line(&format!("{name}_total"), "", value as f64);
    }
    for (name, value) in state.clients.counters.read() {
        line(&format!("{name}_total"), "", value as f64);
    }
    line("clients_bytes", "", state.clients.budget.used() as f64);
    line("version_in_force", "", state.active_config().snapshot.version().0 as f64);
    line("ready", "", f64::from(u8::from(state.is_ready() && !state.is_leaving())));
    if let Some(is_open) = peer.is_rollout_gate_open() {
        line("rollout_gate_open", "", f64::from(u8::from(is_open)));
    }
    line("calls_in_flight", "", state.calls_in_flight() as f64);
    line("ledger_entries", "", peer.ledger_size().0 as f64);
    let transfers = peer.transfer_load();
    line("link_in_granted_bytes", "", transfers.granted_bytes as f64);
    line("link_in_waiting_bytes", "", transfers.waiting_bytes as f64);
    if let Some(limits) = state.account_limits() {
        for (account, usage) in limits.quotas.usage(state.clock.now()) {
            let labels = format!("{{account=\"{account}\"}}");
            line("account_tokens", &labels, usage.stock);
            line("account_waiting", &labels, usage.waiting);
        }
    }
    for (service, _, load) in peer.loads() {
        let labels = format!("{{service=\"{service}\"}}");
        line("upstream_running", &labels, load.running as f64);
        line("upstream_waiting", &labels, load.waiting as f64);
        line("upstream_limit", &labels, load.limit as f64);
    }
    for series in recorder.summary().series() {
        let labels = |more: &str| {
            format!("{{service=\"{}\",rank=\"{}\"{more}}}", series.service, series.rank)
        };
        line("latency_count", &labels(""), series.latency_us.len() as f64);
        for quantile in QUANTILES {
            let ms = series.latency_us.value_at_quantile(quantile) as f64 / 1000.0;
            line("latency_ms", &labels(&format!(",quantile=\"{quantile}\"")), ms);
        }
    }
    text
}
