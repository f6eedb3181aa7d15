//! Demonstration of the whole system in one process, with a line of output per step.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use goldcresttally_standin::upstream::{Behaviour, Record};
use http::Method;
use serde_json::json;
use tokio::task::JoinSet;

use crate::documents;
use crate::fleet::{Fleet, FleetOptions, VmLocation};
use crate::load::{CallSpec, CallStats, Caller, Outcome};
use crate::output::Report;

/// Maximum time of a step, in seconds.
const STEP_LIMIT_S: u64 = 10;

/// Calls made during the drain and the planned stop.
const CALLS: usize = 400;

/// Runs the demonstration; fails if a step does not end in time or has an unexpected result.
pub async fn run(seed: u64) -> Result<Report, String> {
    let started = Instant::now();
    let log_step = |text: &str| eprintln!("{:>6.2} s  {text}", started.elapsed().as_secs_f64());
    let limit = Duration::from_secs(STEP_LIMIT_S);
    let locations = VmLocation::in_domains(&["no-east-1", "no-east-1", "no-east-2"]);
    let mut fleet =
        Fleet::start(FleetOptions::default(), locations, seed).await.map_err(|e| e.to_string())?;
    log_step("started a platform stand-in and three nodes in two failure domains");
    let record = Arc::new(Record::default());
    for i in 0..3 {
        let behaviour = Behaviour { slots: 12, ..Behaviour::default() };
        fleet.start_upstream(i, "booking", behaviour, &record).await.map_err(|e| e.to_string())?;
    }
    fleet.put_section(0, "ranks", &documents::ranks_section()).await?;
    fleet.put_section(1, "booking", &documents::service_section("booking", 3000, 64)).await?;
    log_step("wrote two sections");
    let version = fleet.accept(2).await?;
    let accepted = Instant::now();
    if !fleet.wait_version(version, limit).await {
        return Err(format!("version {version} is not in force on all nodes"));
    }
    let convergence_ms = accepted.elapsed().as_millis() as u64;
    log_step(&format!(
        "version {version} is in force on all nodes {convergence_ms} ms after the accept"
    ));
    if !fleet.wait_endpoints("booking", 3, limit).await {
        return Err("not every node sees the three upstreams".to_owned());
    }
    log_step("all nodes see the three announced upstreams");

    let written = fleet
        .put_section(
            0,
            "bad",
            "routes: [{path: /x, service: nowhere, rank: urgent, idempotent: true}]",
        )
        .await;
    let accept_result = fleet.accept(0).await;
    if written.is_err() || accept_result.is_ok() {
        return Err("a route to an undefined service was accepted".to_owned());
    }
    log_step(&format!(
        "an invalid document is refused as a whole: {}",
        accept_result.err().unwrap_or_default()
    ));

    let entries: Vec<_> = fleet.vms.iter().map(|vm| vm.location.calls()).collect();
    let load = tokio::spawn(call_all(entries));
    tokio::time::sleep(Duration::from_millis(300)).await;
    if let Some(upstream) = &fleet.vms[1].upstream {
        upstream.drain();
    }
    log_step("draining one upstream while calls are made");
    if !fleet.wait_endpoints("booking", 2, limit).await {
        return Err("a node still has the draining upstream as an endpoint".to_owned());
    }
    log_step("no node sends new calls to the draining upstream");
    let drained = fleet.stop_node(2).await;
    log_step("stopped one node with a drain");
    let stats = load.await.map_err(|e| e.to_string())?;
    let violations = stats.violations(&record);
    let answered = stats.answered();
    log_step(&format!("{answered} of {} calls were answered; {violations:?}", stats.offered()));
    let ok = drained && violations.is_empty() && stats.broken() == 0 && answered == stats.offered();
    let mut figures = json!({
        "experiment": "demo",
        "nodes": 3,
        "convergence_ms": convergence_ms,
        "calls": stats.offered(),
        "answered": answered,
        "seconds": started.elapsed().as_secs_f64(),
    });
    violations.add_to(&mut figures);
    fleet.shut_down().await;
    Ok(Report { ok, figures })
}

/// Makes calls of all ranks and kinds through the two nodes that keep running.
async fn call_all(entries: Vec<std::net::SocketAddr>) -> CallStats {
    let caller = Caller::default();
    let mut calls = JoinSet::new();
    for n in 0..CALLS {
        let rank = documents::RANKS[n % 3];
        let kind = ["read", "write", "keyed"][n / 3 % 3];
        let spec = CallSpec {
            id: format!("call-{n}"),
            path: format!("/booking/{rank}/{kind}"),
            method: Method::POST,
            key: (kind == "keyed").then(|| format!("key-{n}")),
            body: Bytes::from("seats=2"),
            ..CallSpec::default()
        };
        let (caller, entry) = (caller.clone(), entries[n % 2]);
        calls.spawn(async move {
            let (outcome, latency) = caller.call(entry, &spec).await;
            (rank, spec, outcome, latency)
        });
        tokio::time::sleep(Duration::from_millis(8)).await;
    }
    let mut stats = CallStats::default();
    while let Some(ended) = calls.join_next().await {
        let Ok((rank, spec, outcome, latency)) = ended else {
            continue;
        };
        if outcome != Outcome::Answered {
            eprintln!("          {} to {}: {outcome:?}", spec.id, spec.path);
        }
        let at_most_once = !spec.path.ends_with("read");
        stats.add(rank, &spec.id, at_most_once, outcome, latency, Duration::from_secs(1));
    }
    stats
}
