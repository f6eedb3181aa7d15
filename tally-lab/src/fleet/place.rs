//! Addresses and failure domain of a VM.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use goldcresttally_config::Digest;

use super::{FleetOptions, TOKEN};

const CONTROL_PORT: u16 = 7400;
const PEER_PORT: u16 = 7401;
const CALLS_PORT: u16 = 7402;
const OPERATOR_PORT: u16 = 7403;
const UPSTREAM_PORT: u16 = 7500;

/// VMs in one block of loopback addresses.
const BLOCK: usize = 200;

/// The place of one VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    ip: IpAddr,
    /// The failure domain.
    pub domain: String,
    /// The region.
    pub region: String,
}

/// Returns the address of the platform; its port is chosen when it starts.
pub(super) fn platform_address() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, net(), 250, 1)), 0)
}

/// Returns the second octet of this process's addresses, so that runs do not meet.
fn net() -> u8 {
    (16 + std::process::id() % 200) as u8
}

impl Place {
    /// Returns the place of VM `i`.
    pub fn new(i: usize, domain: &str, region: &str) -> Self {
        let ip = Ipv4Addr::new(127, net(), (i / BLOCK) as u8, (i % BLOCK + 1) as u8);
        Self { ip: IpAddr::V4(ip), domain: domain.to_owned(), region: region.to_owned() }
    }

    /// Spreads `count` VMs over `domains` failure domains in turn.
    pub fn spread(count: usize, domains: usize) -> Vec<Self> {
        (0..count).map(|i| Self::new(i, &format!("d{}", i % domains), "r1")).collect()
    }

    /// Returns the VM's IP number.
    pub fn ip(&self) -> IpAddr {
        self.ip
    }

    /// Returns the address of the control listener.
    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CONTROL_PORT)
    }

    /// Returns the address for callers.
    pub fn calls(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLS_PORT)
    }

    /// Returns the address for operators.
    pub fn operator(&self) -> SocketAddr {
        SocketAddr::new(self.ip, OPERATOR_PORT)
    }

    /// Returns the address of the upstream.
    pub fn upstream(&self) -> SocketAddr {
        SocketAddr::new(self.ip, UPSTREAM_PORT)
    }

    /// Writes the settings of the node here.
    pub fn settings(
        &self,
        platform: SocketAddr,
        seeds: &[SocketAddr],
        options: &FleetOptions,
    ) -> String {
        let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
        format!(
            "node:\n  control: {}\n  peer: {}\n  calls: {}\n  operator: {}\n  domain: {}\n  \
             region: {}\n  seeds: [{}]\nplatform: {platform}\nteams:\n  lab: {{token_sha256: {}}}\n\
             distribution: {{mode: {}, fleet_size: {}}}\n\
             requests: {{drain_ms: {}, redirects: {}, leave_notice_ms: 1000}}\n",
            self.control(),
            SocketAddr::new(self.ip, PEER_PORT),
            self.calls(),
            self.operator(),
            self.domain,
            self.region,
            seeds.join(", "),
            Digest::of(TOKEN.as_bytes()),
            options.mode,
            options.fleet_size,
            options.drain_ms,
            options.redirects,
        )
    }
}
