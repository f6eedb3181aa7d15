//! Sends counters and gauges to a StatsD server.

use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use cadence::{Counted, Gauged, StatsdClient, UdpMetricSink};
use goldcresttally_core::Map;
use goldcresttally_proxy::Peer;
use tokio_util::sync::CancellationToken;

use crate::events::{self, emit};
use crate::settings::MetricsSettings;

/// Sends counters and gauges at the configured interval until `stop` is cancelled.
pub async fn run(settings: MetricsSettings, peer: Arc<Peer>, stop: CancellationToken) {
    let client = match connect(&settings) {
        Ok(client) => client,
        Err(e) => return emit(events::METRICS_FAILED, format_args!("{e}")),
    };
    let mut last: Map<&'static str, u64> = Map::default();
    let mut interval = tokio::time::interval(Duration::from_millis(settings.interval_ms.max(100)));
    let mut failing = false;
    loop {
        tokio::select! {
            _ = interval.tick() => {}
            () = stop.cancelled() => return,
        }
        let result = report(&client, &peer, &mut last);
        // Logged once per outage, not once per report.
        if let Some(e) = result.as_ref().err().filter(|_| !failing) {
            emit(events::METRICS_FAILED, format_args!("{e}"));
        }
        failing = result.is_err();
    }
}

fn connect(settings: &MetricsSettings) -> Result<StatsdClient, Box<dyn std::error::Error>> {
    let local = if settings.statsd.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let socket = UdpSocket::bind(local)?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(settings.statsd, socket)?;
    Ok(StatsdClient::from_sink(&settings.prefix, sink))
}

fn report(
    client: &StatsdClient,
    peer: &Peer,
    last: &mut Map<&'static str, u64>,
) -> cadence::MetricResult<()> {
    let state = peer.state();
    for (name, value) in state.counters.read().into_iter().chain(state.clients.counters.read()) {
        let before = last.insert(name, value).unwrap_or(0);
        client.count(name, value.saturating_sub(before))?;
    }
    let (entries, bytes) = peer.ledger_size();
    client.gauge("ledger_entries", entries as u64)?;
    client.gauge("ledger_answer_bytes", bytes as u64)?;
    let version = peer.state().active_config().snapshot.version();
    client.gauge("version_in_force", version.0)?;
    for (service, _, load) in peer.loads() {
        client.gauge(&format!("upstream.{service}.running"), load.running as u64)?;
        client.gauge(&format!("upstream.{service}.waiting"), load.waiting as u64)?;
        client.gauge(&format!("upstream.{service}.limit"), load.limit as u64)?;
    }
    Ok(())
}
