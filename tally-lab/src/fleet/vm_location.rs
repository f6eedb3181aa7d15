//! Addresses, failure domain and region of a VM.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};

use goldcresttally_config::Digest;

use super::{FleetOptions, TOKEN};

const CONTROL_PORT: u16 = 7400;
const PEER_PORT: u16 = 7401;
const CALLS_PORT: u16 = 7402;
const OPERATOR_PORT: u16 = 7403;
const UPSTREAM_PORT: u16 = 7500;

/// Number of address blocks; after the last one they are reused from the first.
const BLOCK_COUNT: usize = 240;

static NEXT_BLOCK: AtomicUsize = AtomicUsize::new(0);

/// VMs in one block of loopback addresses.
const VMS_PER_BLOCK: usize = 200;

/// Addresses, failure domain and region of one VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmLocation {
    ip: IpAddr,
    /// The failure domain.
    pub domain: String,
    /// The region.
    pub region: String,
}

/// Returns the address of the platform stand-in; port 0 lets the system choose one.
pub(super) fn platform_address() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, second_octet(), 250, 1)), 0)
}

/// Returns the second octet of this process's addresses, derived from the process id so that
/// concurrent runs rarely share addresses.
fn second_octet() -> u8 {
    (16 + std::process::id() % 200) as u8
}

impl VmLocation {
    /// Returns one location per entry of `domains`, at addresses that no other fleet of this
    /// process uses (until the blocks are reused).
    pub fn in_domains(domains: &[&str]) -> Vec<Self> {
        let blocks = domains.len().div_ceil(VMS_PER_BLOCK);
        let first_block = NEXT_BLOCK.fetch_add(blocks, Ordering::Relaxed);
        let location = |(i, domain): (usize, &&str)| {
            let (block, host) =
                ((first_block + i / VMS_PER_BLOCK) % BLOCK_COUNT, i % VMS_PER_BLOCK + 1);
            let ip = Ipv4Addr::new(127, second_octet(), block as u8, host as u8);
            Self { ip: IpAddr::V4(ip), domain: (*domain).to_owned(), region: "r1".to_owned() }
        };
        domains.iter().enumerate().map(location).collect()
    }

    /// Returns `count` locations, assigned to `domains` failure domains round-robin.
    pub fn spread(count: usize, domains: usize) -> Vec<Self> {
        let names: Vec<String> = (0..count).map(|i| format!("d{}", i % domains)).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        Self::in_domains(&names)
    }

    /// Returns the VM's IP address.
    pub fn ip(&self) -> IpAddr {
        self.ip
    }

    /// Returns the address of the control listener.
    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CONTROL_PORT)
    }

    /// Returns the address of the callers' listener.
    pub fn calls(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLS_PORT)
    }

    /// Returns the address of the operator interface.
    pub fn operator(&self) -> SocketAddr {
        SocketAddr::new(self.ip, OPERATOR_PORT)
    }

    /// Returns the address of the upstream.
    pub fn upstream(&self) -> SocketAddr {
        SocketAddr::new(self.ip, UPSTREAM_PORT)
    }

    /// Returns the settings file of the node at this location.
    pub fn settings(
        &self,
        platform: SocketAddr,
        seeds: &[SocketAddr],
        options: &FleetOptions,
    ) -> String {
        let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
        format!(
            "node:\n  control: {}\n  peer: {}\n  calls: {}\n  operator: {}\n  domain: {}\n  \
             region: {}\n  seeds: [{}]\n  link: {}\nplatform: {platform}\nteams:\n  lab: {{token_sha256: {}}}\n\
             distribution: {{mode: {}, fleet_size: {}}}\n\
             requests: {{drain_ms: {}, redirects: {}, leave_notice_ms: 1000, \
             overload_control: {}}}\n\
             quotas: {{enabled: {}}}\n\
             conventions: {{account_key_header: Authorization, account_key_scheme: Bearer}}\n",
            self.control(),
            SocketAddr::new(self.ip, PEER_PORT),
            self.calls(),
            self.operator(),
            self.domain,
            self.region,
            seeds.join(", "),
            options.link,
            Digest::of(TOKEN.as_bytes()),
            options.mode,
            options.fleet_size,
            options.drain_ms,
            options.redirects,
            options.overload_control,
            options.quotas,
        )
    }
}
