//! A small deployment on loopback addresses: the store and the project's nodes as processes.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http;
use crate::store::Store;

/// The program and its settings variable, as in deploy/system.toml and DEPLOY.md.
const PROGRAM: &str = "target/release/goldcresttally-sidecar";
const TEMPLATE: &str = "platform/node.template.yaml";
const SETTINGS_VARIABLE: &str = "GOLDCRESTTALLY_SETTINGS";

/// Interval of the instances' heartbeats; the figure of the small sites.
pub const HEARTBEAT: Duration = Duration::from_millis(1500);

/// The bounds of the site fjl-ringbuss.
const BOUNDS: &str = r#"{"seed-lag-s":3,"addr-reuse-s":2,"stability-ms":3000,"ack-ms":4000,"catch-up-s":4,"drain-ms":2000,"grace-s":6,"loss-slack-ms":200,"config-apply-ms":2000,"rollback-slack-ms":250,"max-skew-ms":5000,"retry-budget-ratio":0.2,"budget-window-s":10,"budget-slack":58,"recovery-s":15}"#;

/// Ports relative to the first port of a deployment; the same on all machines.
const INBOUND: u16 = 0;
const OUTBOUND: u16 = 1;
const READY: u16 = 2;
const CONTROL: u16 = 3;
const APP: u16 = 4;
const STORE: u16 = 5;
const NODE_PORTS: u16 = 10;
const PORT_COUNT: u16 = 26;
const METRICS: u16 = 9464;

/// Time within which a node has to become ready.
const START_LIMIT: Duration = Duration::from_secs(20);

pub struct Node {
    pub ip: Ipv4Addr,
    pub service: String,
    base: u16,
    settings: PathBuf,
    child: Option<Child>,
}

impl Node {
    fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip.into(), self.base + port)
    }

    /// The address to which clients on the machine send requests.
    pub fn outbound(&self) -> SocketAddr {
        self.at(OUTBOUND)
    }

    /// The address to which the instance on the machine sends heartbeats.
    pub fn control(&self) -> SocketAddr {
        self.at(CONTROL)
    }

    /// The address of the instance on the machine.
    pub fn app(&self) -> SocketAddr {
        self.at(APP)
    }

    pub fn start(&mut self) -> Result<(), String> {
        let log = self.settings.with_extension("log");
        let log = File::options().create(true).append(true).open(log).map_err(|e| e.to_string())?;
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env(SETTINGS_VARIABLE, &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn();
        self.child = Some(child.map_err(|e| format!("{PROGRAM}: {e}"))?);
        Ok(())
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the process has ended, at most for `limit`; kills it then, as the platform does.
    pub fn wait_until_ended(&mut self, limit: Duration) -> Result<(), String> {
        let until = Instant::now() + limit;
        let child = self.child.as_mut().ok_or("the node does not run")?;
        while child.try_wait().map_err(|e| e.to_string())?.is_none() {
            if Instant::now() > until {
                break;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        self.kill();
        Ok(())
    }

    /// Sends a signal to the process, by its name.
    pub fn signal(&self, name: &str) -> Result<(), String> {
        let id = self.child.as_ref().map_or(0, Child::id);
        let sent = Command::new("sh").args(["-c", &format!("kill -{name} {id}")]).status();
        match sent {
            Ok(status) if id > 0 && status.success() => Ok(()),
            _ => Err(format!("cannot send {name} to process {id}")),
        }
    }

    pub fn wait_until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + START_LIMIT;
        let limit = Duration::from_secs(1);
        while Instant::now() < until {
            let path = "/goldcresttally/ready";
            let answer = http::call(self.at(READY), "GET", path, "host: node\r\n", "", limit);
            if answer.is_some_and(|a| a.status() == 200) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(format!("{} did not become ready", self.ip))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Deployment {
    pub store: Arc<Store>,
    pub nodes: Vec<Node>,
    folder: PathBuf,
}

impl Deployment {
    /// Starts the store and a node for each of `services`, in two zones.
    pub fn start(services: &[&str]) -> Result<Self, String> {
        let (network, base) = free_network(services.len() as u8)?;
        let ip = |host: u8| Ipv4Addr::new(127, network.0, network.1, host);
        let store_address = SocketAddr::new(ip(250).into(), base + STORE);
        let store = Store::start(store_address).map_err(|e| e.to_string())?;
        let folder = std::env::temp_dir().join(format!("tally-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let template = fs::read_to_string(TEMPLATE).map_err(|e| format!("{TEMPLATE}: {e}"))?;
        let mut deployment = Self { store, nodes: Vec::new(), folder: folder.clone() };
        let seeds: Vec<_> = (1..=services.len().min(3) as u8)
            .map(|host| format!("\"{}:{}\"", ip(host), base + CONTROL))
            .collect();
        for (i, service) in services.iter().enumerate() {
            let ip = ip(i as u8 + 1);
            let settings = folder.join(format!("{ip}.yaml"));
            let mut node = Node { ip, service: (*service).to_owned(), base, settings, child: None };
            let text = render(&template, &node, i, &store_address, &seeds.join(","))?;
            fs::write(&node.settings, text).map_err(|e| e.to_string())?;
            node.start()?;
            deployment.nodes.push(node);
        }
        Ok(deployment)
    }

    pub fn wait_until_ready(&self) -> Result<(), String> {
        self.nodes.iter().try_for_each(Node::wait_until_ready)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.nodes.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn render(
    template: &str,
    node: &Node,
    i: usize,
    store: &SocketAddr,
    seeds: &str,
) -> Result<String, String> {
    let fields = [
        ("{{ip}}", node.ip.to_string()),
        ("{{port-range.0}}", (node.base + NODE_PORTS).to_string()),
        ("{{port-range.1}}", (node.base + PORT_COUNT - 1).to_string()),
        ("{{listen.inbound}}", node.at(INBOUND).to_string()),
        ("{{listen.outbound}}", node.at(OUTBOUND).to_string()),
        ("{{listen.ready}}", node.at(READY).to_string()),
        ("{{listen.control}}", node.at(CONTROL).to_string()),
        ("{{zone}}", format!("zone-{}", i % 2)),
        ("{{region}}", "region".to_owned()),
        ("{{service}}", node.service.clone()),
        ("{{app-addr}}", node.app().to_string()),
        ("{{seeds|json}}", format!("[{seeds}]")),
        ("{{platform.address}}", store.to_string()),
        ("{{platform.reads-per-s}}", "2000".to_owned()),
        ("{{limits.link-mbps}}", "1000.0".to_owned()),
        ("{{heartbeat-ms}}", HEARTBEAT.as_millis().to_string()),
        ("{{bounds|json}}", BOUNDS.to_owned()),
    ];
    let text =
        fields.iter().fold(template.to_owned(), |text, (name, value)| text.replace(name, value));
    match text.contains("{{") {
        true => Err("the template has a field that this deployment does not know".to_owned()),
        false => Ok(text),
    }
}

/// Finds a loopback network and a range of ports that are free on all of its machines.
fn free_network(machines: u8) -> Result<((u8, u8), u16), String> {
    let id = std::process::id();
    for attempt in 0..20_u32 {
        let network = (100 + ((id + attempt) % 100) as u8, (id / 100 % 250) as u8 + 1);
        let base = 20_000 + ((id + attempt * 37) % 300) as u16 * 40;
        let is_free = |host: u8, port: u16| {
            let ip = Ipv4Addr::new(127, network.0, network.1, host);
            TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok()
        };
        let ports = (base..base + PORT_COUNT).chain([METRICS]);
        if ports.into_iter().all(|port| (1..=machines).chain([250]).all(|host| is_free(host, port)))
        {
            return Ok((network, base));
        }
    }
    Err("no free ports".to_owned())
}
