//! Duplicated, delayed and reordered records lead to the same membership view.

mod common;

use common::{node, record};
use goldcresttally_core::{Generation, Incarnation, MonoTime};
use goldcresttally_membership::{Event, Membership, Options, Record, Status};

fn view(received: &[Record]) -> Vec<(u64, u64, Status)> {
    let now = MonoTime::from_millis(1000);
    let mut machine = Membership::new(Options::default(), record(0, 1), 1, now);
    for update in received {
        machine.on_event(now, Event::RecordsReceived(vec![update.clone()]), &mut Vec::new());
    }
    let mut view: Vec<_> =
        machine.records().map(|r| (r.generation.0, r.incarnation.0, r.status)).collect();
    view.sort_unstable();
    view
}

#[test]
fn record_order_does_not_change_view() {
    arbtest::arbtest(|u| {
        // The first record of each node is alive: the death of an unknown node is not stored.
        let mut received: Vec<Record> = (1..4).map(|n| record(n, 1)).collect();
        for _ in 0..u.int_in_range(0..=12)? {
            received.push(Record {
                generation: Generation(u.int_in_range(1..=3)?),
                incarnation: Incarnation(u.int_in_range(0..=3)?),
                status: *u.choose(&[Status::Alive, Status::Suspect, Status::Dead, Status::Left])?,
                ..record(u.int_in_range(1..=3)?, 1)
            });
        }
        let mut reordered = received[3..].to_vec();
        reordered.extend_from_within(..reordered.len() / 2);
        for i in (1..reordered.len()).rev() {
            reordered.swap(i, u.int_in_range(0..=i)?);
        }
        let reordered: Vec<_> = received[..3].iter().cloned().chain(reordered).collect();
        assert_eq!(view(&received), view(&reordered));
        Ok(())
    });
}

#[test]
fn node_refutes_own_death() {
    arbtest::arbtest(|u| {
        let now = MonoTime::from_millis(1000);
        let mut machine = Membership::new(Options::default(), record(0, 1), 1, now);
        for _ in 0..u.int_in_range(1..=8)? {
            let update = Record {
                incarnation: Incarnation(u.int_in_range(0..=9)?),
                status: *u.choose(&[Status::Suspect, Status::Dead])?,
                ..record(0, 1)
            };
            machine.on_event(now, Event::RecordsReceived(vec![update.clone()]), &mut Vec::new());
            assert!(machine.own().supersedes(&update));
            assert_eq!(machine.own().status, Status::Alive);
            assert_eq!(machine.own().id, node(0));
        }
        Ok(())
    });
}

#[test]
fn sync_finds_differing_records() {
    let now = MonoTime::from_millis(1000);
    let mut one = Membership::new(Options::default(), record(0, 1), 1, now);
    let two = Membership::new(Options::default(), record(1, 1), 2, now);
    let records: Vec<_> = (2..50).map(|n| record(n, 1)).collect();
    one.on_event(now, Event::RecordsReceived(records), &mut Vec::new());
    let differing = one.differing_records(&two.bucket_hashes());
    assert!(differing.len() >= 48);
    assert!(one.differing_records(&one.bucket_hashes()).is_empty());
}

#[test]
fn bulk_records_are_not_rebroadcast() {
    let now = MonoTime::from_millis(1000);
    let mut machine = Membership::new(Options::default(), record(0, 1), 1, now);
    let records: Vec<_> = (1..500).map(|n| record(n, 1)).collect();
    machine.on_event(now, Event::RecordsReceived(records), &mut Vec::new());
    machine.on_event(now, Event::RecordsReceived(vec![record(600, 1)]), &mut Vec::new());
    let mut broadcast_ids = std::collections::BTreeSet::new();
    for tick in 0..600 {
        let now = MonoTime::from_millis(1000 + tick * 50);
        let mut actions = Vec::new();
        machine.on_event(now, Event::Tick, &mut actions);
        for action in actions {
            let goldcresttally_membership::Action::Send { message, .. } = action else { continue };
            broadcast_ids
                .extend(message.updates.iter().filter(|r| r.status == Status::Alive).map(|r| r.id));
        }
    }
    // Only its own record and the single new one are broadcast, not the bulk.
    assert_eq!(broadcast_ids.len(), 2);
}
