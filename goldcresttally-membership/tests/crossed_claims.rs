//! Claims that come twice, late and in any order lead to the same view.

mod common;

use common::{node, record};
use goldcresttally_core::{Generation, Incarnation, MonoTime};
use goldcresttally_membership::{Event, Membership, Options, Record, Status};

fn view(claims: &[Record]) -> Vec<(u64, u64, Status)> {
    let now = MonoTime::from_millis(1000);
    let mut machine = Membership::new(Options::default(), record(0, 1), 1, now);
    for claim in claims {
        machine.on_event(now, Event::RecordsReceived(vec![claim.clone()]), &mut Vec::new());
    }
    let mut view: Vec<_> =
        machine.records().map(|r| (r.generation.0, r.incarnation.0, r.status)).collect();
    view.sort_unstable();
    view
}

#[test]
fn order_does_not_matter() {
    arbtest::arbtest(|u| {
        // The first claim of each node is one of life: deaths of strangers are not kept.
        let mut claims: Vec<Record> = (1..4).map(|n| record(n, 1)).collect();
        for _ in 0..u.int_in_range(0..=12)? {
            claims.push(Record {
                generation: Generation(u.int_in_range(1..=3)?),
                incarnation: Incarnation(u.int_in_range(0..=3)?),
                status: *u.choose(&[Status::Alive, Status::Suspect, Status::Dead, Status::Left])?,
                ..record(u.int_in_range(1..=3)?, 1)
            });
        }
        let mut crossed = claims[3..].to_vec();
        crossed.extend_from_within(..crossed.len() / 2);
        for i in (1..crossed.len()).rev() {
            crossed.swap(i, u.int_in_range(0..=i)?);
        }
        let crossed: Vec<_> = claims[..3].iter().cloned().chain(crossed).collect();
        assert_eq!(view(&claims), view(&crossed));
        Ok(())
    });
}

#[test]
fn own_death_is_refuted() {
    arbtest::arbtest(|u| {
        let now = MonoTime::from_millis(1000);
        let mut machine = Membership::new(Options::default(), record(0, 1), 1, now);
        for _ in 0..u.int_in_range(1..=8)? {
            let claim = Record {
                incarnation: Incarnation(u.int_in_range(0..=9)?),
                status: *u.choose(&[Status::Suspect, Status::Dead])?,
                ..record(0, 1)
            };
            machine.on_event(now, Event::RecordsReceived(vec![claim.clone()]), &mut Vec::new());
            assert!(machine.own().supersedes(&claim));
            assert_eq!(machine.own().status, Status::Alive);
            assert_eq!(machine.own().id, node(0));
        }
        Ok(())
    });
}

#[test]
fn repair_finds_differences() {
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
fn bulk_is_not_passed_on() {
    let now = MonoTime::from_millis(1000);
    let mut machine = Membership::new(Options::default(), record(0, 1), 1, now);
    let records: Vec<_> = (1..500).map(|n| record(n, 1)).collect();
    machine.on_event(now, Event::RecordsReceived(records), &mut Vec::new());
    machine.on_event(now, Event::RecordsReceived(vec![record(600, 1)]), &mut Vec::new());
    let mut told = std::collections::BTreeSet::new();
    for tick in 0..600 {
        let now = MonoTime::from_millis(1000 + tick * 50);
        let mut actions = Vec::new();
        machine.on_event(now, Event::Tick, &mut actions);
        for action in actions {
            let goldcresttally_membership::Action::Send { message, .. } = action else { continue };
            told.extend(message.updates.iter().filter(|r| r.status == Status::Alive).map(|r| r.id));
        }
    }
    // Its own record and the one that came alone.
    assert_eq!(told.len(), 2);
}
