//! Versions over real sockets: outages, cuts, restarts and races never take a node back.

mod common;

use std::sync::Arc;

use common::{Bench, LIMIT};
use goldcresttally_standin::platform::Faults;
use tally_lab::documents::filler_section;
use tally_lab::fleet::Monitor;

fn watch(bench: &Bench) -> Monitor {
    let monitor = Monitor::start(bench.fleet.vms.len());
    for i in 0..bench.fleet.vms.len() {
        watch_node(bench, &monitor, i);
    }
    monitor
}

fn watch_node(bench: &Bench, monitor: &Monitor, i: usize) {
    let node = bench.fleet.vms[i].node.as_ref();
    monitor.set_node(i, node.map(|n| Arc::clone(n.state())));
}

async fn change(bench: &Bench, i: usize, n: usize) -> u64 {
    bench.fleet.put_section(i, "filler", &filler_section("filler", n)).await.unwrap();
    bench.fleet.accept(i).await.unwrap()
}

async fn finish(bench: Bench, monitor: Monitor) {
    assert_eq!(monitor.reverted(), 0);
    monitor.stop().await;
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn accept_then_outage() {
    let bench = Bench::start(5, &[]).await;
    let monitor = watch(&bench);
    let version = change(&bench, 3, 1).await;
    bench.fleet.platform.set_faults(Faults { down: true, ..Faults::default() });
    assert!(bench.fleet.wait_version(version, LIMIT).await);
    finish(bench, monitor).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn restart_in_outage() {
    let mut bench = Bench::start(4, &[]).await;
    let monitor = watch(&bench);
    let version = change(&bench, 1, 1).await;
    assert!(bench.fleet.wait_version(version, LIMIT).await);
    bench.fleet.platform.set_faults(Faults { silent: true, ..Faults::default() });
    monitor.set_node(2, None);
    bench.fleet.kill_node(2).await;
    bench.fleet.start_node(2).await.unwrap();
    watch_node(&bench, &monitor, 2);
    assert!(bench.fleet.wait_version(version, LIMIT).await);
    finish(bench, monitor).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn alone_in_outage_serves_nothing() {
    let mut bench = Bench::start(2, &[]).await;
    bench.fleet.platform.set_faults(Faults { down: true, ..Faults::default() });
    for i in 0..2 {
        bench.fleet.kill_node(i).await;
    }
    for i in 0..2 {
        bench.fleet.start_node(i).await.unwrap();
    }
    // Neither knows its floor, and neither guesses.
    tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    let ready = |i: usize| bench.fleet.vms[i].node.as_ref().unwrap().state().is_ready();
    assert!(!ready(0) && !ready(1));
    bench.fleet.platform.set_faults(Faults::default());
    assert!(bench.fleet.wait_version(1, LIMIT).await);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_domain_catches_up() {
    let bench = Bench::start(6, &[]).await;
    let monitor = watch(&bench);
    let ip = |i: usize| bench.fleet.vms[i].location.ip();
    let (cut, rest) = (vec![ip(0), ip(2), ip(4)], vec![ip(1), ip(3), ip(5)]);
    bench.fleet.platform.set_faults(Faults { cut: cut.clone(), ..Faults::default() });
    bench.fleet.network.partition(&[cut, rest]);
    let version = change(&bench, 1, 1).await;
    let outside = |f: &tally_lab::fleet::Fleet| [1, 3, 5].iter().all(|i| f.version(*i) == version);
    assert!(bench.fleet.wait(LIMIT, outside).await);
    assert_eq!(bench.fleet.version(0), 1);
    bench.fleet.platform.set_faults(Faults::default());
    bench.fleet.network.heal();
    assert!(bench.fleet.wait_version(version, LIMIT).await);
    finish(bench, monitor).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn half_restarts_at_once() {
    let mut bench = Bench::start(6, &[]).await;
    let monitor = watch(&bench);
    let version = change(&bench, 0, 1).await;
    assert!(bench.fleet.wait_version(version, LIMIT).await);
    // All seeds are among those that restart.
    for i in 0..3 {
        monitor.set_node(i, None);
        bench.fleet.kill_node(i).await;
    }
    for i in 0..3 {
        bench.fleet.start_node(i).await.unwrap();
        watch_node(&bench, &monitor, i);
    }
    let version = change(&bench, 5, 2).await;
    assert!(bench.fleet.wait_version(version, LIMIT).await);
    finish(bench, monitor).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_control_connections() {
    let bench = Bench::start(5, &[]).await;
    let monitor = watch(&bench);
    for n in 1..=2 {
        bench.fleet.network.silence_open_connections();
        let version = change(&bench, n, n).await;
        assert!(bench.fleet.wait_version(version, LIMIT).await);
    }
    finish(bench, monitor).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_operators() {
    let bench = Bench::start(3, &[]).await;
    let monitor = watch(&bench);
    let (a, b) = tokio::join!(bench.fleet.accept(0), bench.fleet.accept(2));
    let mut versions: Vec<u64> = [a, b].into_iter().filter_map(Result::ok).collect();
    versions.sort_unstable();
    versions.dedup();
    let accepted = bench.fleet.platform.table().scan("history/").len() as u64 - 1;
    assert_eq!(versions.len() as u64, accepted, "each operator has a version of its own or none");
    assert!(bench.fleet.wait_version(accepted + 1, LIMIT).await);
    finish(bench, monitor).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn spoilt_version_is_refused_whole() {
    let bench = Bench::start(3, &[]).await;
    // An update whose content is not what its digest says cannot come into force.
    let update = goldcresttally_distribution::VersionUpdate {
        version: goldcresttally_core::Version(9),
        base: goldcresttally_core::Version(0),
        manifest: goldcresttally_config::Digest::of(b"another"),
        changed: Vec::new(),
        removed: Vec::new(),
    };
    let commands = bench.fleet.vms[1].node.as_ref().unwrap().commands().clone();
    commands
        .send(goldcresttallyd::control::Command::VersionAccepted(Arc::new(update)))
        .await
        .unwrap();
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    assert_eq!(bench.fleet.version(1), 1);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_version_is_reported() {
    use goldcresttally_config::{Manifest, SectionEntry};
    use goldcresttally_distribution::{ChangedSection, VersionUpdate};
    let bench = Bench::start(3, &[]).await;
    // As a node of a later release might accept it: this release finds it invalid.
    let changed = vec![ChangedSection {
        name: "later".parse().unwrap(),
        body: Arc::from("routes: [{path: /x, service: ghost, rank: urgent, idempotent: true}]"),
    }];
    let entries: Vec<SectionEntry> = changed.iter().map(ChangedSection::entry).collect();
    let version = goldcresttally_core::Version(7);
    let manifest = Manifest::new(version, entries).digest();
    let base = goldcresttally_core::Version(0);
    let update = VersionUpdate { version, base, manifest, changed, removed: Vec::new() };
    let commands = bench.fleet.vms[1].node.as_ref().unwrap().commands().clone();
    commands
        .send(goldcresttallyd::control::Command::VersionAccepted(Arc::new(update)))
        .await
        .unwrap();
    let client = bench.fleet.operator(1);
    for i in 0..200 {
        let path = "/v1/rollout?version=7";
        let rollout = client.json(http::Method::GET, path, String::new()).await.unwrap();
        let lagging = rollout["lagging"].as_array().unwrap().clone();
        if lagging.len() == 3 && lagging.iter().all(|n| n["reason"] == "refused") {
            break;
        }
        assert!(i < 199, "{rollout}");
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    let status = client.json(http::Method::GET, "/v1/status", String::new()).await.unwrap();
    assert_eq!(status["control"]["refused"], 7);
    let refusal = status["control"]["refusal"].as_str().unwrap();
    assert!(refusal.contains("section later") && refusal.contains("ghost"), "{refusal}");
    assert_eq!(status["control"]["version"], 1);
    bench.stop().await;
}
