//! A fleet of nodes, each on its own loopback address, over a network with injectable faults.

mod monitor;
mod network;
mod shaping;
mod vm_location;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use goldcresttally_admission::Policy;
use goldcresttally_cli::NodeClient;
use goldcresttally_core::{BitRate, Generation};
use goldcresttally_proxy::Clock;
use goldcresttally_proxy::entry::Options;
use goldcresttally_standin::upstream::{Announce, Behaviour, Record};
use goldcresttally_standin::{Platform, Upstream};
use goldcresttallyd::{Node, NodeOptions, Settings};
use http::Method;
use serde_json::Value;

pub use monitor::Monitor;
pub use network::Network;
pub use shaping::{Direction, Links};
pub use vm_location::VmLocation;

/// Operator token of the only team in the lab's settings.
pub const TOKEN: &str = "lab-token";

/// Interval at which a condition is polled, in milliseconds.
const POLL_INTERVAL_MS: u64 = 20;

/// Options for all nodes of a fleet.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// Distribution mode: `tree`, `gossip` or `poll`.
    pub mode: String,
    /// Number of nodes that distribution is dimensioned for.
    pub fleet_size: u32,
    /// Admission policy beside the upstreams.
    pub policy: Policy,
    /// Options of the entry role.
    pub entry: Options,
    /// Whether a refusal names a less loaded node.
    pub redirects: bool,
    /// The rate of the VMs' links that the settings name; 0 if they name none.
    pub link: BitRate,
    /// Drain deadline of a planned stop, in milliseconds.
    pub drain_ms: u64,
    /// Whether calls are refused early and nested calls are preferred under an overload.
    pub overload_control: bool,
    /// Whether the limits of accounts are enforced. Callers state their key in `Authorization`.
    pub quotas: bool,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            mode: "tree".to_owned(),
            fleet_size: 100,
            policy: Policy::Ranked,
            entry: Options::default(),
            redirects: false,
            link: BitRate::default(),
            drain_ms: 10_000,
            overload_control: false,
            quotas: false,
        }
    }
}

/// One VM, with the node and the upstream that run on it.
#[derive(Debug)]
pub struct Vm {
    /// Addresses, failure domain and region of the VM.
    pub location: VmLocation,
    /// The node; absent while it is stopped.
    pub node: Option<Node>,
    /// The upstream; absent while it is stopped.
    pub upstream: Option<Upstream>,
    /// Further upstreams.
    more_upstreams: Vec<Upstream>,
    last_generation: Generation,
    /// Offset of the clock ahead of the timers, in microseconds.
    clock_offset_us: &'static AtomicU64,
}

/// A platform stand-in and the VMs that use it.
#[derive(Debug)]
pub struct Fleet {
    /// The platform stand-in.
    pub platform: Platform,
    /// The network between the nodes.
    pub network: Arc<Network>,
    /// The VMs.
    pub vms: Vec<Vm>,
    options: FleetOptions,
    seed: u64,
}

impl Fleet {
    /// Starts a platform stand-in and one node at each location.
    pub async fn start(
        options: FleetOptions,
        locations: Vec<VmLocation>,
        seed: u64,
    ) -> io::Result<Self> {
        let platform = Platform::start(vm_location::platform_address()).await?;
        let empty = |location| Vm {
            location,
            node: None,
            upstream: None,
            more_upstreams: Vec::new(),
            last_generation: Generation(0),
            // Leaked because the threads of a node share the clock and may outlive the fleet.
            clock_offset_us: Box::leak(Box::default()),
        };
        let vms = locations.into_iter().map(empty).collect();
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
            transport: Some(self.network.transport(vm.location.ip())),
            clock: Some(Clock::start_with_offset(vm.clock_offset_us)),
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
        let seeds: Vec<_> = self.vms.iter().take(3).map(|vm| vm.location.control()).collect();
        let text = self.vms[i].location.settings(self.platform.address(), &seeds, &self.options);
        Settings::parse(&text).map_err(io::Error::other)
    }

    /// Starts an upstream on a VM, which announces itself to the node of that VM.
    pub async fn start_upstream(
        &mut self,
        i: usize,
        service: &str,
        behaviour: Behaviour,
        record: &Arc<Record>,
    ) -> io::Result<()> {
        let vm = &mut self.vms[i];
        let announce = Announce { node: vm.location.operator(), service: service.to_owned() };
        let record = Arc::clone(record);
        let started =
            Upstream::start(vm.location.upstream(), behaviour, Some(announce), record).await;
        vm.upstream = Some(started?);
        Ok(())
    }

    /// Starts one more upstream on a VM, at its own address.
    pub async fn add_upstream(
        &mut self,
        i: usize,
        address: SocketAddr,
        service: &str,
        behaviour: Behaviour,
        record: &Arc<Record>,
    ) -> Result<(), String> {
        let vm = &mut self.vms[i];
        let announce = Announce { node: vm.location.operator(), service: service.to_owned() };
        let started = Upstream::start(address, behaviour, Some(announce), Arc::clone(record)).await;
        vm.more_upstreams.push(started.map_err(|e| e.to_string())?);
        Ok(())
    }

    /// Kills the node of a VM without a drain, as a crash does.
    pub async fn kill_node(&mut self, i: usize) {
        if let Some(node) = self.vms[i].node.take() {
            self.network.isolate(self.vms[i].location.ip());
            node.kill().await;
            self.network.reconnect(self.vms[i].location.ip());
        }
    }

    /// Advances the clock of a VM but not its timers, as a suspension of the VM does.
    pub fn suspend(&self, i: usize, time: Duration) {
        self.vms[i].clock_offset_us.fetch_add(time.as_micros() as u64, Ordering::Relaxed);
    }

    /// Stops the node of a VM with a drain; returns whether all calls in flight ended in time.
    pub async fn stop_node(&mut self, i: usize) -> bool {
        match self.vms[i].node.take() {
            Some(node) => node.stop().await,
            None => true,
        }
    }

    /// Returns an operator client for the node of a VM.
    pub fn operator(&self, i: usize) -> NodeClient {
        NodeClient::new(self.vms[i].location.operator(), Some(TOKEN.to_owned()))
    }

    /// Writes a section through the node of a VM, on top of its current revision.
    pub async fn put_section(&self, i: usize, name: &str, text: &str) -> Result<Value, String> {
        let client = self.operator(i);
        let path = format!("/v1/sections/{name}");
        let current = client.json(Method::GET, &path, String::new()).await;
        let revision = current.ok().and_then(|d| d["revision"].as_u64()).unwrap_or(0);
        let path = format!("{path}?revision={revision}");
        client.json(Method::PUT, &path, text.to_owned()).await.map_err(|e| e.to_string())
    }

    /// Accepts the section drafts through the node of a VM; returns the new version.
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

    /// Returns the version in force at a VM's node, or 0 if it is stopped or not ready.
    pub fn version(&self, i: usize) -> u64 {
        let node = self.vms[i].node.as_ref().filter(|n| n.state().is_ready());
        node.map_or(0, |n| n.state().active_config().snapshot.version().0)
    }

    /// Waits until `condition` holds; returns false if `limit` passes first.
    pub async fn wait(&self, limit: Duration, condition: impl Fn(&Self) -> bool) -> bool {
        let deadline = tokio::time::Instant::now() + limit;
        while !condition(self) {
            if tokio::time::Instant::now() >= deadline {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
        true
    }

    /// Waits until every running node has `version` or a later one in force.
    pub async fn wait_version(&self, version: u64, limit: Duration) -> bool {
        let in_force =
            |f: &Self| (0..f.vms.len()).all(|i| f.vms[i].node.is_none() || f.version(i) >= version);
        self.wait(limit, in_force).await
    }

    /// Waits until every running node sees exactly `count` ready endpoints of a service.
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

    /// Stops upstreams, nodes and the platform without a drain.
    pub async fn shut_down(self) {
        for vm in self.vms {
            for upstream in vm.upstream.into_iter().chain(vm.more_upstreams) {
                upstream.stop().await;
            }
            self.network.isolate(vm.location.ip());
            if let Some(node) = vm.node {
                node.kill().await;
            }
        }
        self.platform.stop().await;
    }
}
