//! Encoding of membership datagrams in the packed format.

use std::net::SocketAddr;

use capnp::message::Builder;
use capnp::serialize_packed;
use goldcresttally_core::{Generation, NodeId, Version};
use goldcresttally_membership::{Body, Header, Message};

use crate::errors::{Error, Result};
use crate::wire_capnp::datagram;
use crate::{DATAGRAM_LIMIT_BYTES, address, reader_options, record};

/// Encodes `message` as a datagram.
pub fn encode(message: &Message) -> Result<Vec<u8>> {
    let mut builder = Builder::new_default();
    let mut to = builder.init_root::<datagram::Builder<'_>>();
    let from = message.header.from.0;
    let (high, low) = address::to_words(from.ip());
    to.set_from_ip_high(high);
    to.set_from_ip_low(low);
    to.set_from_port(from.port());
    to.set_generation(message.header.generation.0);
    to.set_version(message.header.version.0);
    to.set_refused(message.header.refused.0);
    let updates = to.reborrow().init_updates(message.updates.len() as u32);
    record::write_list(&message.updates, updates);
    write_body(&message.body, to.init_body());
    let mut bytes = Vec::with_capacity(256);
    serialize_packed::write_message(&mut bytes, &builder)?;
    Ok(bytes)
}

fn write_body(body: &Body, mut to: datagram::body::Builder<'_>) {
    match body {
        Body::Ping { sequence } => to.set_ping(*sequence),
        Body::Ack { sequence } => to.set_ack(*sequence),
        Body::Gossip => to.set_gossip(()),
        Body::Notice { position, direct } => {
            let mut to = to.init_notice();
            to.set_position(*position);
            to.set_direct(*direct);
        }
        Body::PingRequest { sequence, target } => {
            let mut to = to.init_ping_request();
            to.set_sequence(*sequence);
            let (high, low) = address::to_words(target.0.ip());
            to.set_target_ip_high(high);
            to.set_target_ip_low(low);
            to.set_target_port(target.0.port());
        }
    }
}

fn node_id(high: u64, low: u64, port: u16) -> NodeId {
    NodeId(SocketAddr::new(address::from_words(high, low), port))
}

/// Decodes a datagram; invalid records in it are passed to `on_invalid` and left out.
///
/// Fails if it is larger than [`DATAGRAM_LIMIT_BYTES`] or malformed.
pub fn decode(bytes: &[u8], on_invalid: &mut dyn FnMut(Error)) -> Result<Message> {
    if bytes.len() > DATAGRAM_LIMIT_BYTES {
        return Err(Error::Oversized { bytes: bytes.len() });
    }
    let reader = serialize_packed::read_message(bytes, reader_options())?;
    let from = reader.get_root::<datagram::Reader<'_>>()?;
    let header = Header {
        from: node_id(from.get_from_ip_high(), from.get_from_ip_low(), from.get_from_port()),
        generation: Generation(from.get_generation()),
        version: Version(from.get_version()),
        refused: Version(from.get_refused()),
    };
    let body = match from.get_body().which()? {
        datagram::body::Ping(sequence) => Body::Ping { sequence },
        datagram::body::Ack(sequence) => Body::Ack { sequence },
        datagram::body::Gossip(()) => Body::Gossip,
        datagram::body::Notice(notice) => {
            Body::Notice { position: notice.get_position(), direct: notice.get_direct() }
        }
        datagram::body::PingRequest(request) => Body::PingRequest {
            sequence: request.get_sequence(),
            target: node_id(
                request.get_target_ip_high(),
                request.get_target_ip_low(),
                request.get_target_port(),
            ),
        },
    };
    Ok(Message { header, body, updates: record::read_list(from.get_updates()?, on_invalid) })
}
