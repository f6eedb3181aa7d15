//! Version distribution over real sockets: outages, partitions, restarts and races never revert a
//! node to an older version.

mod common;

use std::sync::Arc;

use common::{Harness, WAIT_LIMIT};
use goldcresttally_standin::platform::Faults;
use tally_lab::documents::filler_section;
use tally_lab::fleet::Monitor;

fn watch(harness: &Harness) -> Monitor {
    let monitor = Monitor::start(harness.fleet.vms.len());
    for i in 0..harness.fleet.vms.len() {
        watch_node(harness, &monitor, i);
    }
    monitor
}

fn watch_node(harness: &Harness, monitor: &Monitor, i: usize) {
    let node = harness.fleet.vms[i].node.as_ref();
    monitor.set_node(i, node.map(|n| Arc::clone(n.state())));
}

async fn accept_change(harness: &Harness, i: usize, n: usize) -> u64 {
    harness.fleet.put_section(i, "filler", &filler_section("filler", n)).await.unwrap();
    harness.fleet.accept(i).await.unwrap()
}

async fn finish(harness: Harness, monitor: Monitor) {
    assert_eq!(monitor.reverted(), 0);
    monitor.stop().await;
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn outage_after_accept_does_not_stop_rollout() {
    let harness = Harness::start(5, &[]).await;
    let monitor = watch(&harness);
    let version = accept_change(&harness, 3, 1).await;
    harness.fleet.platform.set_faults(Faults { down: true, ..Faults::default() });
    assert!(harness.fleet.wait_version(version, WAIT_LIMIT).await);
    finish(harness, monitor).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn node_restarted_in_outage_does_not_revert() {
    let mut harness = Harness::start(4, &[]).await;
    let monitor = watch(&harness);
    let version = accept_change(&harness, 1, 1).await;
    assert!(harness.fleet.wait_version(version, WAIT_LIMIT).await);
    harness.fleet.platform.set_faults(Faults { silent: true, ..Faults::default() });
    monitor.set_node(2, None);
    harness.fleet.kill_node(2).await;
    harness.fleet.start_node(2).await.unwrap();
    watch_node(&harness, &monitor, 2);
    assert!(harness.fleet.wait_version(version, WAIT_LIMIT).await);
    finish(harness, monitor).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_without_floor_do_not_become_ready_in_outage() {
    let mut harness = Harness::start(2, &[]).await;
    harness.fleet.platform.set_faults(Faults { down: true, ..Faults::default() });
    for i in 0..2 {
        harness.fleet.kill_node(i).await;
    }
    for i in 0..2 {
        harness.fleet.start_node(i).await.unwrap();
    }
    // Neither node knows its version floor, so neither may become ready.
    tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    let ready = |i: usize| harness.fleet.vms[i].node.as_ref().unwrap().state().is_ready();
    assert!(!ready(0) && !ready(1));
    harness.fleet.platform.set_faults(Faults::default());
    assert!(harness.fleet.wait_version(1, WAIT_LIMIT).await);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn partitioned_domain_catches_up_without_revert() {
    let harness = Harness::start(6, &[]).await;
    let monitor = watch(&harness);
    let ip = |i: usize| harness.fleet.vms[i].location.ip();
    let (cut, rest) = (vec![ip(0), ip(2), ip(4)], vec![ip(1), ip(3), ip(5)]);
    harness.fleet.platform.set_faults(Faults { cut: cut.clone(), ..Faults::default() });
    harness.fleet.network.partition(&[cut, rest]);
    let version = accept_change(&harness, 1, 1).await;
    let others_updated =
        |f: &tally_lab::fleet::Fleet| [1, 3, 5].iter().all(|i| f.version(*i) == version);
    assert!(harness.fleet.wait(WAIT_LIMIT, others_updated).await);
    assert_eq!(harness.fleet.version(0), 1);
    harness.fleet.platform.set_faults(Faults::default());
    harness.fleet.network.heal();
    assert!(harness.fleet.wait_version(version, WAIT_LIMIT).await);
    finish(harness, monitor).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn restart_of_half_the_nodes_does_not_revert() {
    let mut harness = Harness::start(6, &[]).await;
    let monitor = watch(&harness);
    let version = accept_change(&harness, 0, 1).await;
    assert!(harness.fleet.wait_version(version, WAIT_LIMIT).await);
    // The restarted nodes include all seeds.
    for i in 0..3 {
        monitor.set_node(i, None);
        harness.fleet.kill_node(i).await;
    }
    for i in 0..3 {
        harness.fleet.start_node(i).await.unwrap();
        watch_node(&harness, &monitor, i);
    }
    let version = accept_change(&harness, 5, 2).await;
    assert!(harness.fleet.wait_version(version, WAIT_LIMIT).await);
    finish(harness, monitor).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_control_connections_do_not_stop_rollout() {
    let harness = Harness::start(5, &[]).await;
    let monitor = watch(&harness);
    for n in 1..=2 {
        harness.fleet.network.silence_open_connections();
        let version = accept_change(&harness, n, n).await;
        assert!(harness.fleet.wait_version(version, WAIT_LIMIT).await);
    }
    finish(harness, monitor).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_accepts_do_not_share_a_version() {
    let harness = Harness::start(3, &[]).await;
    let monitor = watch(&harness);
    let (a, b) = tokio::join!(harness.fleet.accept(0), harness.fleet.accept(2));
    let mut versions: Vec<u64> = [a, b].into_iter().filter_map(Result::ok).collect();
    versions.sort_unstable();
    versions.dedup();
    let accepted = harness.fleet.platform.table().scan("history/").len() as u64 - 1;
    assert_eq!(versions.len() as u64, accepted, "accepts and new versions differ in number");
    assert!(harness.fleet.wait_version(accepted + 1, WAIT_LIMIT).await);
    finish(harness, monitor).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn version_with_wrong_digest_is_not_applied() {
    let harness = Harness::start(3, &[]).await;
    // The content of this update does not match its digest.
    let update = goldcresttally_distribution::VersionUpdate {
        version: goldcresttally_core::Version(9),
        base: goldcresttally_core::Version(0),
        manifest: goldcresttally_config::Digest::of(b"another"),
        changed: Vec::new(),
        removed: Vec::new(),
    };
    let commands = harness.fleet.vms[1].node.as_ref().unwrap().commands().clone();
    commands
        .send(goldcresttallyd::control::Command::VersionAccepted(Arc::new(update)))
        .await
        .unwrap();
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    assert_eq!(harness.fleet.version(1), 1);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_version_is_reported_as_lagging() {
    use goldcresttally_config::{Manifest, SectionEntry};
    use goldcresttally_distribution::{ChangedSection, VersionUpdate};
    let harness = Harness::start(3, &[]).await;
    // Valid only for a node of a later release: its route names a service that is not defined.
    let changed = vec![ChangedSection {
        name: "later".parse().unwrap(),
        body: Arc::from("routes: [{path: /x, service: ghost, rank: urgent, idempotent: true}]"),
    }];
    let entries: Vec<SectionEntry> = changed.iter().map(ChangedSection::entry).collect();
    let version = goldcresttally_core::Version(7);
    let manifest = Manifest::new(version, entries).digest();
    let base = goldcresttally_core::Version(0);
    let update = VersionUpdate { version, base, manifest, changed, removed: Vec::new() };
    let commands = harness.fleet.vms[1].node.as_ref().unwrap().commands().clone();
    commands
        .send(goldcresttallyd::control::Command::VersionAccepted(Arc::new(update)))
        .await
        .unwrap();
    let client = harness.fleet.operator(1);
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
    harness.stop().await;
}
