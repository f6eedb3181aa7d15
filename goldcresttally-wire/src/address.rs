//! IP numbers as two words.

use std::net::{IpAddr, Ipv6Addr};

/// Returns the words of an IP number; an IPv4 address is mapped.
pub(crate) fn words(ip: IpAddr) -> (u64, u64) {
    let bits = match ip {
        IpAddr::V4(v4) => v4.to_ipv6_mapped().to_bits(),
        IpAddr::V6(v6) => v6.to_bits(),
    };
    ((bits >> 64) as u64, bits as u64)
}

/// Returns the IP number that two words hold.
pub(crate) fn ip(high: u64, low: u64) -> IpAddr {
    let v6 = Ipv6Addr::from_bits(u128::from(high) << 64 | u128::from(low));
    v6.to_canonical()
}
