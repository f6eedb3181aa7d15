//! Uploads far beyond what a link carries: it stays busy with those that are on time, its queue
//! stays short, and the others are refused at once with the time after which they could come.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use arbtest::arbtest;
use goldcresttally_admission::{
    TransferAction, TransferEvent, TransferId, TransferRequest, Transfers,
};
use goldcresttally_core::{BitRate, Deadline, MonoTime};

/// The links of the users' smallest VMs.
const LINK: BitRate = BitRate(11_000_000);

/// Length of an upload, in bytes.
const BODY_BYTES: u64 = 60_000;

/// Time from the arrival of a body to its answer, in milliseconds.
const WORK_MS: u64 = 150;

/// Target and timeout of an upload, in milliseconds.
const TARGET_MS: u64 = 1000;
const TIMEOUT_MS: u64 = 1500;

/// Maximum time that a short message waits behind bodies on the link, in milliseconds: 66 ms for
/// the longest body, which is sent whole here, and 20 ms for what is granted ahead of it.
const MAX_QUEUE_MS: u64 = 86;

/// Round trip of a grant, in milliseconds.
const ROUND_TRIP_MS: u64 = 2;

fn request(now: MonoTime, bytes: u64, rank: usize) -> TransferRequest {
    TransferRequest {
        bytes,
        rank,
        on_time_by: Deadline::after(now, Duration::from_millis(TARGET_MS)),
        deadline: Deadline::after(now, Duration::from_millis(TIMEOUT_MS)),
        work: Duration::from_millis(WORK_MS),
    }
}

#[derive(Debug, Default)]
struct Seen {
    offered: u64,
    on_time: u64,
    late: u64,
    refused: u64,
    /// Refusals later than one tick after the request.
    refused_late: u64,
    longest_queue_ms: u64,
    busy_ms: u64,
}

/// Plays `seconds` of uploads at `load` times what the link carries.
fn play(load: f64, seconds: u64, random: u64, link: BitRate) -> Seen {
    let mut rng = fastrand::Rng::with_seed(random);
    let mut transfers = Transfers::new(link);
    let mut actions = Vec::new();
    let mut seen = Seen::default();
    let mut asked: BTreeMap<TransferId, (MonoTime, u64)> = BTreeMap::new();
    // Granted bodies on the link, first in, first out, after the round trip of the grant.
    let mut on_link: VecDeque<(MonoTime, TransferId, u64)> = VecDeque::new();
    let per_ms = LINK.bytes_per_s() as f64 / 1000.0;
    let arrivals_per_ms = load * per_ms / BODY_BYTES as f64;
    let mut credit = 0.0;
    for ms in 0..seconds * 1000 {
        let now = MonoTime::from_millis(1000 + ms);
        if rng.f64() < arrivals_per_ms {
            seen.offered += 1;
            let id = TransferId(seen.offered);
            let bytes = rng.u64(BODY_BYTES / 2..BODY_BYTES * 3 / 2);
            asked.insert(id, (now, bytes));
            let event = TransferEvent::Request(id, request(now, bytes, 2));
            transfers.on_event(now, event, &mut actions);
        }
        if ms % 50 == 0 {
            transfers.on_event(now, TransferEvent::Tick, &mut actions);
        }
        credit += per_ms;
        let mut busy = false;
        while let Some((at, id, left)) = on_link.front_mut()
            && *at <= now
            && credit >= 1.0
        {
            busy = true;
            let bytes = (*left).min(credit as u64);
            credit -= bytes as f64;
            *left -= bytes;
            let (id, ended) = (*id, *left == 0);
            transfers.on_event(now, TransferEvent::Received(id, bytes), &mut actions);
            if ended {
                on_link.pop_front();
                transfers.on_event(now, TransferEvent::End(id), &mut actions);
                let answered = now + Duration::from_millis(WORK_MS);
                match answered.since(asked[&id].0) <= Duration::from_millis(TARGET_MS) {
                    true => seen.on_time += 1,
                    false => seen.late += 1,
                }
            }
        }
        seen.busy_ms += u64::from(busy);
        credit = if busy { credit } else { 0.0 };
        for action in actions.drain(..) {
            match action {
                TransferAction::Grant(id) => {
                    let at = now + Duration::from_millis(ROUND_TRIP_MS);
                    on_link.push_back((at, id, asked[&id].1));
                }
                TransferAction::Refuse(id, after) => {
                    assert!(after > Duration::ZERO);
                    seen.refused += 1;
                    seen.refused_late += u64::from(now != asked[&id].0);
                }
            }
        }
        let queued: u64 = on_link.iter().map(|(_, _, left)| left).sum();
        seen.longest_queue_ms = seen.longest_queue_ms.max((queued as f64 / per_ms) as u64);
    }
    seen
}

#[test]
fn link_carries_uploads_that_are_on_time() {
    for seed in 0..20 {
        let seen = play(2.5, 20, seed, LINK);
        let capacity = 20.0 * LINK.bytes_per_s() as f64 / BODY_BYTES as f64;
        let share = seen.on_time as f64 / capacity;
        assert!(share >= 0.85, "{share:.2} of the link in time: {seen:?}");
        assert!(seen.late * 100 <= seen.on_time, "{seen:?}");
    }
}

#[test]
fn queue_on_link_stays_short() {
    for load in [0.5, 0.9, 1.5, 2.5] {
        let seen = play(load, 20, 7, LINK);
        assert!(seen.longest_queue_ms <= MAX_QUEUE_MS, "load {load}: {seen:?}");
    }
}

#[test]
fn refusals_come_at_once() {
    let seen = play(2.5, 20, 3, LINK);
    assert!(seen.refused > seen.offered / 3, "{seen:?}");
    assert!(seen.refused_late * 20 <= seen.refused, "{seen:?}");
}

#[test]
fn nothing_is_refused_below_capacity() {
    let seen = play(0.5, 20, 5, LINK);
    assert_eq!(seen.refused, 0, "{seen:?}");
    assert_eq!(seen.late, 0, "{seen:?}");
}

#[test]
fn unknown_rate_is_measured() {
    let seen = play(2.5, 20, 5, BitRate(0));
    let capacity = 20.0 * LINK.bytes_per_s() as f64 / BODY_BYTES as f64;
    assert!(seen.on_time as f64 >= 0.6 * capacity, "{seen:?}");
}

#[test]
fn urgent_body_goes_first() {
    let now = MonoTime::from_millis(1000);
    let mut transfers = Transfers::new(LINK);
    let mut actions = Vec::new();
    for (id, rank) in [(1, 2), (2, 2), (3, 0)] {
        let event = TransferEvent::Request(TransferId(id), request(now, BODY_BYTES, rank));
        transfers.on_event(now, event, &mut actions);
    }
    transfers.on_event(now, TransferEvent::End(TransferId(1)), &mut actions);
    let granted = [TransferAction::Grant(TransferId(1)), TransferAction::Grant(TransferId(3))];
    assert_eq!(actions, granted);
}

#[test]
fn unused_grant_ends() {
    let now = MonoTime::from_millis(1000);
    let mut transfers = Transfers::new(LINK);
    let mut actions = Vec::new();
    let event = TransferEvent::Request(TransferId(1), request(now, BODY_BYTES, 2));
    transfers.on_event(now, event, &mut actions);
    assert!(transfers.is_granted(now, TransferId(1)));
    // The process was paused: its grant has run out, whether or not a tick has noticed.
    let later = now + Duration::from_secs(3);
    assert!(!transfers.is_granted(later, TransferId(1)));
    transfers.on_event(later, TransferEvent::Tick, &mut actions);
    assert_eq!(transfers.load().granted_bytes, 0);
}

#[test]
fn random_events_keep_the_count_of_bytes() {
    arbtest(|u| {
        let mut transfers = Transfers::new(BitRate(u.int_in_range(0..=20_000_000)?));
        let mut actions = Vec::new();
        let mut now = MonoTime::from_millis(1000);
        for n in 0..u.int_in_range(1..=60)? {
            now = now + Duration::from_millis(u.int_in_range(0..=400)?);
            let id = TransferId(u.int_in_range(0..=10)?);
            let event = match u.int_in_range(0..=4)? {
                0 => {
                    let bytes = u.int_in_range(0..=400_000)?;
                    TransferEvent::Request(TransferId(n + 100), request(now, bytes, 1))
                }
                1 => TransferEvent::Received(TransferId(100 + id.0), u.int_in_range(0..=90_000)?),
                2 => TransferEvent::End(TransferId(100 + id.0)),
                3 => TransferEvent::Withdraw(TransferId(100 + id.0)),
                _ => TransferEvent::Tick,
            };
            transfers.on_event(now, event, &mut actions);
        }
        now = now + Duration::from_secs(5);
        transfers.on_event(now, TransferEvent::Tick, &mut actions);
        for _ in 0..100 {
            now = now + Duration::from_secs(2);
            transfers.on_event(now, TransferEvent::Tick, &mut actions);
        }
        let load = transfers.load();
        assert_eq!((load.granted_bytes, load.waiting_bytes), (0, 0));
        Ok(())
    });
}
