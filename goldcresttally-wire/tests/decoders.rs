//! Encoding round trips, and decoding of arbitrary bytes from a peer never panics.

use std::sync::Arc;

use arbtest::arbitrary::{Result, Unstructured};
use goldcresttally_config::Digest;
use goldcresttally_core::{BitRate, Generation, Incarnation, NodeId, Version};
use goldcresttally_distribution::{ChangedSection, VersionUpdate};
use goldcresttally_membership::{Body, Header, Message, Record, Status, Upstream, UpstreamState};
use goldcresttally_wire::wire_capnp::{datagram as datagram_message, version_update};
use goldcresttally_wire::{
    DATAGRAM_LIMIT_BYTES, datagram, reader_options, record as wire_record, update,
};

fn node(u: &mut Unstructured<'_>) -> Result<NodeId> {
    Ok(NodeId((u.arbitrary::<[u8; 4]>()?, u.int_in_range(1..=u16::MAX)?).into()))
}

fn record(u: &mut Unstructured<'_>) -> Result<Record> {
    let state =
        *u.choose(&[UpstreamState::Starting, UpstreamState::Ready, UpstreamState::Draining])?;
    let release = *u.choose(&[None, Some("v2.11"), Some("2026-12-07_a")])?;
    let upstream = Upstream {
        service: "booking".parse().unwrap(),
        slots: u.arbitrary()?,
        state,
        release: release.map(|name| name.parse().unwrap()),
        trial_milli: u.arbitrary()?,
    };
    Ok(Record {
        id: node(u)?,
        peer: node(u)?.0,
        operator: node(u)?.0,
        domain: "no-east-1".parse().unwrap(),
        region: "no-east".parse().unwrap(),
        generation: Generation(u.arbitrary()?),
        incarnation: Incarnation(u.arbitrary()?),
        status: *u.choose(&[Status::Alive, Status::Suspect, Status::Dead, Status::Left])?,
        leaving: u.arbitrary()?,
        link: BitRate(u64::from(u.arbitrary::<u32>()?) * 1000),
        upstreams: if u.arbitrary()? { vec![upstream] } else { Vec::new() },
    })
}

fn message(u: &mut Unstructured<'_>) -> Result<Message> {
    let header = Header {
        from: node(u)?,
        generation: Generation(u.arbitrary()?),
        version: Version(u.arbitrary()?),
        refused: Version(u.arbitrary()?),
    };
    let body = match u.int_in_range(0..=4)? {
        0 => Body::Ping { sequence: u.arbitrary()? },
        1 => Body::Ack { sequence: u.arbitrary()? },
        2 => Body::PingRequest { sequence: u.arbitrary()?, target: node(u)? },
        3 => Body::Notice { position: u.arbitrary()?, direct: u.arbitrary()? },
        _ => Body::Gossip,
    };
    let updates = (0..u.int_in_range(0..=10)?).map(|_| record(u)).collect::<Result<_>>()?;
    Ok(Message { header, body, updates })
}

fn decode(bytes: &[u8]) -> goldcresttally_wire::Result<Message> {
    datagram::decode(bytes, &mut |_| {})
}

#[test]
fn datagrams_round_trip() {
    arbtest::arbtest(|u| {
        let message = message(u)?;
        let bytes = datagram::encode(&message).unwrap();
        assert!(bytes.len() <= DATAGRAM_LIMIT_BYTES, "{} bytes", bytes.len());
        assert_eq!(decode(&bytes).unwrap(), message);
        Ok(())
    });
}

#[test]
fn datagram_with_ten_records_fits_one_packet() {
    // Ten records, the default number of queued updates per datagram, must fit into an Ethernet
    // frame so that the datagram is not fragmented.
    let mut updates = Vec::new();
    for n in 0..10u8 {
        updates.push(Record {
            id: NodeId(([10, 200, 250, n], 7400).into()),
            peer: ([10, 200, 250, n], 7401).into(),
            operator: ([10, 200, 250, n], 7403).into(),
            domain: "slavonski-brod".parse().unwrap(),
            region: "slavonija".parse().unwrap(),
            generation: Generation(1_796_365_485_123),
            incarnation: Incarnation(12),
            status: Status::Alive,
            leaving: false,
            link: BitRate(14_000_000),
            upstreams: vec![Upstream {
                service: "certificates".parse().unwrap(),
                slots: 6,
                state: UpstreamState::Ready,
                release: Some("v2.11".parse().unwrap()),
                trial_milli: 60,
            }],
        });
    }
    let header = Header {
        from: updates[0].id,
        generation: Generation(1_796_365_485_123),
        version: Version(100_000),
        refused: Version(0),
    };
    let message = Message { header, body: Body::Ping { sequence: 1 << 40 }, updates };
    let bytes = datagram::encode(&message).unwrap();
    assert!(bytes.len() <= 1400, "{} bytes", bytes.len());
}

#[test]
fn arbitrary_bytes_do_not_panic() {
    arbtest::arbtest(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        let _ = decode(&bytes);
        Ok(())
    });
}

#[test]
fn corrupted_datagrams_do_not_panic() {
    arbtest::arbtest(|u| {
        let mut bytes = datagram::encode(&message(u)?).unwrap();
        for _ in 0..u.int_in_range(1..=6)? {
            let at = u.choose_index(bytes.len())?;
            bytes[at] = u.arbitrary()?;
        }
        bytes.truncate(u.int_in_range(0..=bytes.len())?);
        let _ = decode(&bytes);
        Ok(())
    });
}

#[test]
fn oversized_datagram_is_refused() {
    let error = decode(&vec![0; DATAGRAM_LIMIT_BYTES + 1]).unwrap_err();
    assert!(error.to_string().contains("over the limit"), "{error}");
}

#[test]
fn updates_round_trip() {
    arbtest::arbtest(|u| {
        let mut changed = Vec::new();
        for n in 0..u.int_in_range(0..=4)? {
            let body: String = u.arbitrary()?;
            changed.push(ChangedSection {
                name: format!("s{n}").parse().unwrap(),
                body: Arc::from(body),
            });
        }
        let sent = VersionUpdate {
            version: Version(u.arbitrary()?),
            base: Version(u.arbitrary()?),
            manifest: Digest(u.arbitrary()?),
            changed,
            removed: vec!["gone".parse().unwrap()],
        };
        let mut builder = capnp::message::Builder::new_default();
        update::write(&sent, builder.init_root());
        let words = capnp::serialize::write_message_to_words(&builder);
        let reader = capnp::serialize::read_message(&*words, reader_options()).unwrap();
        let root = reader.get_root::<version_update::Reader<'_>>().unwrap();
        assert_eq!(update::read(root).unwrap(), sent);
        Ok(())
    });
}

#[test]
fn odd_record_hides_no_other() {
    arbtest::arbtest(|u| {
        let good = record(u)?;
        let mut builder = capnp::message::Builder::new_default();
        let root = builder.init_root::<datagram_message::Builder<'_>>();
        let mut updates = root.init_updates(2);
        wire_record::write(&good, updates.reborrow().get(0));
        let mut odd = updates.get(1);
        match u.int_in_range(0..=3)? {
            // A name that is too long, one that is not text, a port of 0, and nothing at all.
            0 => odd.set_domain("x".repeat(200)),
            1 => odd.set_domain("\u{1}\u{2}"),
            2 => {
                wire_record::write(&good, odd.reborrow());
                odd.set_control_port(0);
            }
            _ => {}
        }
        let mut bytes = Vec::new();
        capnp::serialize_packed::write_message(&mut bytes, &builder).unwrap();
        assert_eq!(decode(&bytes).unwrap().updates, [good]);
        Ok(())
    });
}

#[test]
fn rollout_stages_and_reports_keep_their_values() {
    use std::time::Duration;

    use goldcresttally_core::Rate;
    use goldcresttally_rollout::{ClassCount, Phase, Report, Stage};
    use goldcresttally_wire::rollout;
    use goldcresttally_wire::wire_capnp::{rollout_report, rollout_stage};

    let phases = [Phase::Canary, Phase::Open, Phase::Shift, Phase::Completed, Phase::RolledBack];
    for phase in phases {
        for (rate, valid) in [(None, None), (Some(Rate(0.0)), Some(Duration::from_millis(1500)))] {
            let release = "v2.11".parse().unwrap();
            let stage = Stage { release, order: 7, epoch: 3, phase, rate, share_milli: 60, valid };
            let mut builder = capnp::message::Builder::new_default();
            rollout::write_stage(&stage, builder.init_root());
            let reader = builder.get_root_as_reader::<rollout_stage::Reader<'_>>().unwrap();
            assert_eq!(rollout::read_stage(reader).unwrap(), Some(stage.clone()));
            for (release, held) in [(None, None), (Some(stage.release.clone()), Some(stage))] {
                let count = ClassCount { answered: 5, failed: 1, total_ms: 812 };
                let report = Report {
                    release,
                    epoch: 3,
                    received: 99,
                    in_flight: 2,
                    classes: vec![(1, count), (u32::MAX, ClassCount::default())],
                    held,
                    is_informed: true,
                };
                let mut builder = capnp::message::Builder::new_default();
                rollout::write_report(&report, builder.init_root());
                let reader = builder.get_root_as_reader::<rollout_report::Reader<'_>>().unwrap();
                assert_eq!(rollout::read_report(reader).unwrap(), report);
            }
        }
    }
    let mut builder = capnp::message::Builder::new_default();
    let empty = builder.init_root::<rollout_stage::Builder<'_>>();
    assert_eq!(rollout::read_stage(empty.into_reader()).unwrap(), None);
}
