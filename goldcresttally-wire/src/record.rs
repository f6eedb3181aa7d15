//! Membership records.

use std::net::SocketAddr;

use goldcresttally_core::errors::invalid;
use goldcresttally_core::{Generation, Incarnation};
use goldcresttally_membership::{Record, Status, Upstream, UpstreamState};

use crate::errors::Result;
use crate::wire_capnp;

/// Writes `record`.
pub fn write(record: &Record, mut to: wire_capnp::record::Builder<'_>) {
    to.set_id(record.id.to_string());
    to.set_peer(record.peer.to_string());
    to.set_operator(record.operator.to_string());
    to.set_domain(record.domain.as_str());
    to.set_region(record.region.as_str());
    to.set_generation(record.generation.0);
    to.set_incarnation(record.incarnation.0);
    to.set_status(write_status(record.status));
    to.set_leaving(record.leaving);
    let mut list = to.init_upstreams(record.upstreams.len() as u32);
    for (i, upstream) in record.upstreams.iter().enumerate() {
        let mut to = list.reborrow().get(i as u32);
        to.set_service(upstream.service.as_str());
        to.set_slots(upstream.slots);
        to.set_state(write_state(upstream.state));
    }
}

/// Reads a record.
pub fn read(from: wire_capnp::record::Reader<'_>) -> Result<Record> {
    let mut upstreams = Vec::with_capacity(from.get_upstreams()?.len().min(64) as usize);
    for upstream in from.get_upstreams()? {
        upstreams.push(Upstream {
            service: upstream.get_service()?.to_str()?.parse()?,
            slots: upstream.get_slots(),
            state: read_state(upstream.get_state()?),
        });
    }
    Ok(Record {
        id: from.get_id()?.to_str()?.parse()?,
        peer: read_address(from.get_peer()?.to_str()?)?,
        operator: read_address(from.get_operator()?.to_str()?)?,
        domain: from.get_domain()?.to_str()?.parse()?,
        region: from.get_region()?.to_str()?.parse()?,
        generation: Generation(from.get_generation()),
        incarnation: Incarnation(from.get_incarnation()),
        status: read_status(from.get_status()?),
        leaving: from.get_leaving(),
        upstreams,
    })
}

/// Writes a list of records into one that was initialised to the same length.
pub fn write_list(
    records: &[Record],
    mut to: capnp::struct_list::Builder<'_, wire_capnp::record::Owned>,
) {
    for (i, record) in records.iter().enumerate() {
        write(record, to.reborrow().get(i as u32));
    }
}

/// Reads a list of records; one that cannot be read fails the whole list.
pub fn read_list(
    from: capnp::struct_list::Reader<'_, wire_capnp::record::Owned>,
) -> Result<Vec<Record>> {
    from.iter().map(read).collect()
}

fn read_address(text: &str) -> Result<SocketAddr> {
    match text.parse() {
        Ok(address) => Ok(address),
        Err(_) => Ok(invalid("address", text, "IP:port")?),
    }
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
