//! Representation of IP addresses as two 64-bit words.

use std::net::{IpAddr, Ipv6Addr};

/// Returns the high and low word of an address; IPv4 addresses become IPv4-mapped IPv6 addresses.
pub(crate) fn to_words(ip: IpAddr) -> (u64, u64) {
    let bits = match ip {
        IpAddr::V4(v4) => v4.to_ipv6_mapped().to_bits(),
        IpAddr::V6(v6) => v6.to_bits(),
    };
    ((bits >> 64) as u64, bits as u64)
}

/// Returns the address with the given words; IPv4-mapped addresses become IPv4 addresses.
pub(crate) fn from_words(high: u64, low: u64) -> IpAddr {
    let v6 = Ipv6Addr::from_bits(u128::from(high) << 64 | u128::from(low));
    v6.to_canonical()
}
