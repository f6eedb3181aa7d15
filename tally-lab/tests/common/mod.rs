//! A test harness: a small fleet that serves one service.
#![allow(dead_code, reason = "no test file uses every item")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use goldcresttally_standin::upstream::{Behaviour, Record};
use http::Method;
use tally_lab::documents;
use tally_lab::fleet::{Fleet, FleetOptions, VmLocation};
use tally_lab::load::{CallSpec, Caller, Outcome};

/// Maximum wait for a condition; a test that reaches it fails.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// A fleet in which some VMs run an upstream of the service `booking`.
pub struct Harness {
    pub fleet: Fleet,
    pub record: Arc<Record>,
    pub caller: Caller,
}

/// Returns the behaviour of an upstream whose calls take 1 ms.
pub fn fast_behaviour() -> Behaviour {
    Behaviour { service_ms: 1.0, ..Behaviour::default() }
}

impl Harness {
    pub async fn start(nodes: usize, upstreams: &[(usize, Behaviour)]) -> Self {
        Self::start_with(nodes, upstreams, &documents::service_section("booking", 4000, 64)).await
    }

    pub async fn start_with(nodes: usize, upstreams: &[(usize, Behaviour)], section: &str) -> Self {
        Self::start_fleet(FleetOptions::default(), nodes, upstreams, section).await
    }

    pub async fn start_fleet(
        options: FleetOptions,
        nodes: usize,
        upstreams: &[(usize, Behaviour)],
        section: &str,
    ) -> Self {
        let locations = VmLocation::spread(nodes, 2);
        let fleet = Fleet::start(options, locations, 1).await.unwrap();
        let mut harness = Self { fleet, record: Arc::default(), caller: Caller::default() };
        for (i, behaviour) in upstreams {
            harness.start_upstream(*i, behaviour.clone()).await;
        }
        harness.fleet.put_section(0, "ranks", &documents::ranks_section()).await.unwrap();
        harness.fleet.put_section(0, "booking", section).await.unwrap();
        let version = harness.fleet.accept(0).await.unwrap();
        assert!(harness.fleet.wait_version(version, WAIT_LIMIT).await);
        assert!(harness.fleet.wait_endpoints("booking", upstreams.len(), WAIT_LIMIT).await);
        harness
    }

    pub async fn start_upstream(&mut self, i: usize, behaviour: Behaviour) {
        let record = Arc::clone(&self.record);
        self.fleet.start_upstream(i, "booking", behaviour, &record).await.unwrap();
    }

    pub fn entry(&self, i: usize) -> SocketAddr {
        self.fleet.vms[i].location.calls()
    }

    pub async fn call(&self, entry: usize, spec: &CallSpec) -> Outcome {
        self.caller.call(self.entry(entry), spec).await.0
    }

    /// Starts a call; returns once it runs at an upstream.
    pub async fn call_until_running(
        &self,
        entry: usize,
        spec: &CallSpec,
    ) -> tokio::task::JoinHandle<Outcome> {
        let (caller, entry, sent) = (self.caller.clone(), self.entry(entry), spec.clone());
        let call = tokio::spawn(async move { caller.call(entry, &sent).await.0 });
        self.wait_until(|b| b.record.run(&spec.id).started > 0).await;
        call
    }

    pub async fn wait_until(&self, condition: impl Fn(&Self) -> bool) {
        let deadline = tokio::time::Instant::now() + WAIT_LIMIT;
        while !condition(self) {
            assert!(tokio::time::Instant::now() < deadline, "the condition did not hold in time");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    pub fn counter(&self, i: usize, name: &str) -> u64 {
        let state = self.fleet.vms[i].node.as_ref().unwrap().state();
        state.counters.read().into_iter().find(|(n, _)| *n == name).unwrap().1
    }

    /// Returns the retries that a node may make in addition to a share of its calls.
    pub fn retry_reserve(&self, i: usize) -> f64 {
        self.fleet.vms[i].node.as_ref().unwrap().state().retry_options().reserve
    }

    pub async fn stop(self) {
        self.fleet.shut_down().await;
    }
}

/// Returns a call of a kind (`read`, `write` or `keyed`) whose service time is `ms` milliseconds.
pub fn call_spec(id: &str, kind: &str, ms: f64) -> CallSpec {
    CallSpec {
        id: id.to_owned(),
        path: format!("/booking/urgent/{kind}"),
        method: Method::POST,
        key: (kind == "keyed").then(|| format!("key-{id}")),
        service_ms: Some(ms),
        body: Bytes::from_static(b"seats=2"),
    }
}
