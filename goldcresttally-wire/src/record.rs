//! Conversion of membership records.

use std::net::{IpAddr, SocketAddr};

use goldcresttally_core::{BitRate, Generation, Incarnation, NodeId};
use goldcresttally_membership::{Record, Status, Upstream, UpstreamState};

use crate::errors::{Error, Result};
use crate::{address, wire_capnp};

/// Bits in a kilobit.
const BITS_PER_KBIT: u64 = 1000;

/// Writes `record` to a message.
pub fn write(record: &Record, mut to: wire_capnp::record::Builder<'_>) {
    write_addresses(record, to.reborrow());
    to.set_domain(record.domain.as_str());
    to.set_region(record.region.as_str());
    to.set_generation(record.generation.0);
    to.set_incarnation(record.incarnation.0);
    to.set_status(write_status(record.status));
    to.set_leaving(record.leaving);
    to.set_link_kbits((record.link.0 / BITS_PER_KBIT).min(u32::MAX.into()) as u32);
    let mut list = to.init_upstreams(record.upstreams.len() as u32);
    for (i, upstream) in record.upstreams.iter().enumerate() {
        let mut to = list.reborrow().get(i as u32);
        to.set_service(upstream.service.as_str());
        to.set_slots(upstream.slots);
        to.set_state(write_state(upstream.state));
        to.set_trial_milli(upstream.trial_milli);
        if let Some(release) = &upstream.release {
            to.set_release(release.as_str());
        }
    }
}

/// Reads a record from a message.
pub fn read(from: wire_capnp::record::Reader<'_>) -> Result<Record> {
    let mut upstreams = Vec::with_capacity(from.get_upstreams()?.len().min(64) as usize);
    for upstream in from.get_upstreams()? {
        let release = upstream.get_release()?.to_str()?;
        upstreams.push(Upstream {
            service: upstream.get_service()?.to_str()?.parse()?,
            slots: upstream.get_slots(),
            state: read_state(upstream.get_state()?),
            trial_milli: upstream.get_trial_milli(),
            release: if release.is_empty() { None } else { Some(release.parse()?) },
        });
    }
    let control = address::from_words(from.get_ip_high(), from.get_ip_low());
    let peer = (from.get_peer_ip_high(), from.get_peer_ip_low());
    let operator = (from.get_operator_ip_high(), from.get_operator_ip_low());
    if from.get_control_port() == 0 {
        return Err(Error::Unknown { what: "control port" });
    }
    Ok(Record {
        id: NodeId(SocketAddr::new(control, from.get_control_port())),
        peer: SocketAddr::new(ip_or(control, peer), from.get_peer_port()),
        operator: SocketAddr::new(ip_or(control, operator), from.get_operator_port()),
        domain: from.get_domain()?.to_str()?.parse()?,
        region: from.get_region()?.to_str()?.parse()?,
        generation: Generation(from.get_generation()),
        incarnation: Incarnation(from.get_incarnation()),
        status: read_status(from.get_status()?),
        leaving: from.get_leaving(),
        link: BitRate(u64::from(from.get_link_kbits()) * BITS_PER_KBIT),
        upstreams,
    })
}

/// Writes `records` to a list that was initialised with the same length.
pub fn write_list(
    records: &[Record],
    mut to: capnp::struct_list::Builder<'_, wire_capnp::record::Owned>,
) {
    for (i, record) in records.iter().enumerate() {
        write(record, to.reborrow().get(i as u32));
    }
}

/// Reads a list of records; invalid ones are passed to `on_invalid` and left out.
pub fn read_list(
    from: capnp::struct_list::Reader<'_, wire_capnp::record::Owned>,
    on_invalid: &mut dyn FnMut(Error),
) -> Vec<Record> {
    from.iter().filter_map(|record| read(record).map_err(&mut *on_invalid).ok()).collect()
}

fn write_addresses(record: &Record, mut to: wire_capnp::record::Builder<'_>) {
    let control = record.id.0.ip();
    let (high, low) = address::to_words(control);
    to.set_ip_high(high);
    to.set_ip_low(low);
    to.set_control_port(record.id.0.port());
    to.set_peer_port(record.peer.port());
    to.set_operator_port(record.operator.port());
    if record.peer.ip() != control {
        let (high, low) = address::to_words(record.peer.ip());
        to.set_peer_ip_high(high);
        to.set_peer_ip_low(low);
    }
    if record.operator.ip() != control {
        let (high, low) = address::to_words(record.operator.ip());
        to.set_operator_ip_high(high);
        to.set_operator_ip_low(low);
    }
}

/// Returns the address with the given words, or `control` if both are zero.
fn ip_or(control: IpAddr, (high, low): (u64, u64)) -> IpAddr {
    if (high, low) == (0, 0) { control } else { address::from_words(high, low) }
}

fn write_status(status: Status) -> wire_capnp::Status {
    match status {
        Status::Alive => wire_capnp::Status::Alive,
        Status::Suspect => wire_capnp::Status::Suspect,
        Status::Dead => wire_capnp::Status::Dead,
        Status::Left => wire_capnp::Status::Left,
    }
}

fn read_status(status: wire_capnp::Status) -> Status {
    match status {
        wire_capnp::Status::Alive => Status::Alive,
        wire_capnp::Status::Suspect => Status::Suspect,
        wire_capnp::Status::Dead => Status::Dead,
        wire_capnp::Status::Left => Status::Left,
    }
}

fn write_state(state: UpstreamState) -> wire_capnp::UpstreamState {
    match state {
        UpstreamState::Starting => wire_capnp::UpstreamState::Starting,
        UpstreamState::Ready => wire_capnp::UpstreamState::Ready,
        UpstreamState::Draining => wire_capnp::UpstreamState::Draining,
    }
}

fn read_state(state: wire_capnp::UpstreamState) -> UpstreamState {
    match state {
        wire_capnp::UpstreamState::Starting => UpstreamState::Starting,
        wire_capnp::UpstreamState::Ready => UpstreamState::Ready,
        wire_capnp::UpstreamState::Draining => UpstreamState::Draining,
    }
}
