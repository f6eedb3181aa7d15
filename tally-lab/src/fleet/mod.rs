//! Nodes on loopback addresses of their own, over a network that can be cut.

mod monitor;
mod network;
mod place;

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use goldcresttally_admission::Policy;
use goldcresttally_cli::NodeClient;
use goldcresttally_core::Generation;
use goldcresttally_proxy::Clock;
use goldcresttally_proxy::entry::Options;
use goldcresttally_standin::upstream::{Announce, Behaviour, Record};
use goldcresttally_standin::{Platform, Upstream};
use goldcresttallyd::{Node, NodeOptions, Settings};
use http::Method;
use serde_json::Value;

pub use monitor::Monitor;
pub use network::Network;
pub use place::Place;

/// The token of the lab's only team.
pub const TOKEN: &str = "lab-token";

/// Interval between looks at a condition that is waited for, in milliseconds.
const LOOK_INTERVAL_MS: u64 = 20;

/// Choices for all nodes of a fleet.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// How versions are spread.
    pub mode: String,
    /// Number of nodes that the deployment is made for.
    pub fleet_size: u32,
    /// How calls are ordered and limited beside the upstreams.
    pub policy: Policy,
    /// Choices of the entry.
    pub entry: Options,
    /// Whether a refusal names a less loaded node.
    pub redirects: bool,
    /// Time that calls in flight have to end in a planned stop, in milliseconds.
    pub drain_ms: u64,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            mode: "tree".to_owned(),
            fleet_size: 100,
            policy: Policy::Ranked,
            entry: Options::default(),
            redirects: false,
            drain_ms: 10_000,
        }
    }
}

/// One VM: its place, its node while that runs, and its upstream while that runs.
#[derive(Debug)]
pub struct Vm {
    /// Its addresses and failure domain.
    pub place: Place,
    /// The node.
    pub node: Option<Node>,
    /// The upstream.
    pub upstream: Option<Upstream>,
    last_generation: Generation,
    /// Time by which its clock is ahead of its timers, in microseconds.
    ahead_us: &'static AtomicU64,
}

/// A platform and VMs.
#[derive(Debug)]
pub struct Fleet {
    /// The platform.
    pub platform: Platform,
    /// The network between the nodes.
    pub network: Arc<Network>,
    /// The VMs.
    pub vms: Vec<Vm>,
    options: FleetOptions,
    seed: u64,
}

impl Fleet {
    /// Starts a platform and one node in each place.
    pub async fn start(options: FleetOptions, places: Vec<Place>, seed: u64) -> io::Result<Self> {
        let platform = Platform::start(place::platform_address()).await?;
        let empty = |place| Vm {
            place,
            node: None,
            upstream: None,
            last_generation: Generation(0),
            // Clocks are shared with all threads of a node, which may outlive the fleet.
            ahead_us: Box::leak(Box::default()),
        };
        let vms = places.into_iter().map(empty).collect();
        let mut fleet = Self { platform, network: Arc::default(), vms, options, seed };
        for i in 0..fleet.vms.len() {
            fleet.start_node(i).await?;
        }
        Ok(fleet)
    }

    /// Starts the node of a VM.
    pub async fn start_node(&mut self, i: usize) -> io::Result<()> {
        let settings = self.settings(i)?;
        let vm = &mut self.vms[i];
        let options = NodeOptions {
            transport: Some(self.network.transport(vm.place.ip())),
            clock: Some(Clock::start_with_offset(vm.ahead_us)),
            policy: self.options.policy,
            entry: self.options.entry,
            seed: self.seed.wrapping_mul(1000) + i as u64,
            after_generation: vm.last_generation,
            ..NodeOptions::default()
        };
        let node = Node::start(settings, options).await?;
        vm.last_generation = node.state().identity.generation;
        vm.node = Some(node);
        Ok(())
    }

    fn settings(&self, i: usize) -> io::Result<Settings> {
        let seeds: Vec<_> = self.vms.iter().take(3).map(|vm| vm.place.control()).collect();
        let text = self.vms[i].place.settings(self.platform.address(), &seeds, &self.options);
        Settings::parse(&text).map_err(io::Error::other)
    }

    /// Starts an upstream on a VM, announced to the node there.
    pub async fn start_upstream(
        &mut self,
        i: usize,
        service: &str,
        behaviour: Behaviour,
        record: &Arc<Record>,
    ) -> io::Result<()> {
        let vm = &mut self.vms[i];
        let announce = Announce { node: vm.place.operator(), service: service.to_owned() };
        let record = Arc::clone(record);
        let started = Upstream::start(vm.place.upstream(), behaviour, Some(announce), record).await;
        vm.upstream = Some(started?);
        Ok(())
    }

    /// Kills the node of a VM as a crash would.
    pub async fn kill_node(&mut self, i: usize) {
        if let Some(node) = self.vms[i].node.take() {
            self.network.cut_off(self.vms[i].place.ip());
            node.kill().await;
            self.network.restore(self.vms[i].place.ip());
        }
    }

    /// Lets time pass at a VM that its timers do not notice, as while it is suspended.
    pub fn suspend(&self, i: usize, time: Duration) {
        self.vms[i].ahead_us.fetch_add(time.as_micros() as u64, Ordering::Relaxed);
    }

    /// Stops the node of a VM as planned; returns whether all in flight ended.
    pub async fn stop_node(&mut self, i: usize) -> bool {
        match self.vms[i].node.take() {
            Some(node) => node.stop().await,
            None => true,
        }
    }

    /// Returns a client of the operator interface of a VM's node.
    pub fn operator(&self, i: usize) -> NodeClient {
        NodeClient::new(self.vms[i].place.operator(), Some(TOKEN.to_owned()))
    }

    /// Writes a section through the node of a VM, based on whatever revision it is at.
    pub async fn put_section(&self, i: usize, name: &str, text: &str) -> Result<Value, String> {
        let client = self.operator(i);
        let path = format!("/v1/sections/{name}");
        let held = client.json(Method::GET, &path, String::new()).await;
        let revision = held.ok().and_then(|d| d["revision"].as_u64()).unwrap_or(0);
        let path = format!("{path}?revision={revision}");
        client.json(Method::PUT, &path, text.to_owned()).await.map_err(|e| e.to_string())
    }

    /// Accepts the drafts through the node of a VM; returns the version.
    pub async fn accept(&self, i: usize) -> Result<u64, String> {
        let client = self.operator(i);
        let path = format!("/v1/accept?operation={:032x}", fastrand::u128(..));
        let mut last = String::new();
        for _ in 0..5 {
            match client.json(Method::POST, &path, String::new()).await {
                Ok(accepted) => return accepted["version"].as_u64().ok_or("no version".to_owned()),
                Err(e) => last = e.to_string(),
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Err(last)
    }

    /// Returns the version in force at a VM's node; 0 when it does not run or may not serve yet.
    pub fn version(&self, i: usize) -> u64 {
        let node = self.vms[i].node.as_ref().filter(|n| n.state().is_ready());
        node.map_or(0, |n| n.state().active_config().snapshot.version().0)
    }

    /// Waits until `condition` holds; returns whether it did in time.
    pub async fn wait(&self, limit: Duration, condition: impl Fn(&Self) -> bool) -> bool {
        let deadline = tokio::time::Instant::now() + limit;
        while !condition(self) {
            if tokio::time::Instant::now() >= deadline {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(LOOK_INTERVAL_MS)).await;
        }
        true
    }

    /// Waits until every running node has `version` in force.
    pub async fn wait_version(&self, version: u64, limit: Duration) -> bool {
        let in_force =
            |f: &Self| (0..f.vms.len()).all(|i| f.vms[i].node.is_none() || f.version(i) >= version);
        self.wait(limit, in_force).await
    }

    /// Waits until every running node sees `count` endpoints of a service.
    pub async fn wait_endpoints(&self, service: &str, count: usize, limit: Duration) -> bool {
        let Ok(name) = service.parse() else {
            return false;
        };
        let seen = |f: &Self| {
            f.vms.iter().filter_map(|vm| vm.node.as_ref()).all(|node| {
                let endpoints = node.state().endpoints();
                endpoints.get(&name).map_or(0, |e| e.iter().filter(|e| e.ready).count()) == count
            })
        };
        self.wait(limit, seen).await
    }

    /// Stops everything at once.
    pub async fn shut_down(self) {
        for vm in self.vms {
            if let Some(upstream) = vm.upstream {
                upstream.stop().await;
            }
            self.network.cut_off(vm.place.ip());
            if let Some(node) = vm.node {
                node.kill().await;
            }
        }
        self.platform.stop().await;
    }
}
