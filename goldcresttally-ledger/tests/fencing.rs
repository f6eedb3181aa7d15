//! An attempt that was asked about before it ran never runs; one that ran is never denied.

use std::time::Duration;

use bytes::Bytes;
use goldcresttally_core::{AttemptId, Deadline, Generation, MonoTime};
use goldcresttally_ledger::{Answer, Ledger, Options, Refusal, Settlement};
use http::{HeaderMap, StatusCode};

const NOW: MonoTime = MonoTime(1_000_000);

fn id(sequence: u64) -> AttemptId {
    AttemptId { origin: "127.0.0.1:1".parse().unwrap(), generation: Generation(1), sequence }
}

fn soon() -> Deadline {
    Deadline::after(NOW, Duration::from_secs(1))
}

fn answer(body: &'static [u8]) -> Answer {
    Answer { status: StatusCode::OK, headers: HeaderMap::new(), body: Bytes::from_static(body) }
}

#[test]
fn unseen_is_fenced() {
    let mut ledger = Ledger::new(Options::default());
    assert_eq!(ledger.settle(NOW, id(1), soon()), Settlement::NotRun);
    assert_eq!(ledger.begin(NOW, id(1), soon(), None), Err(Refusal::Fenced));
}

#[test]
fn waiting_is_fenced() {
    let mut ledger = Ledger::new(Options::default());
    ledger.begin(NOW, id(1), soon(), None).unwrap();
    assert_eq!(ledger.settle(NOW, id(1), soon()), Settlement::NotRun);
    assert_eq!(ledger.dispatch(id(1)), Err(Refusal::Fenced));
}

#[test]
fn running_then_done() {
    let mut ledger = Ledger::new(Options::default());
    ledger.begin(NOW, id(1), soon(), None).unwrap();
    ledger.dispatch(id(1)).unwrap();
    assert_eq!(ledger.settle(NOW, id(1), soon()), Settlement::Running);
    ledger.done(id(1), Some(answer(b"booked")));
    assert_eq!(ledger.settle(NOW, id(1), soon()), Settlement::Done(Some(answer(b"booked"))));
    assert_eq!(ledger.begin(NOW, id(1), soon(), None), Err(Refusal::Repeated));
}

#[test]
fn abandoned_is_unknown() {
    let mut ledger = Ledger::new(Options::default());
    ledger.begin(NOW, id(1), soon(), None).unwrap();
    ledger.dispatch(id(1)).unwrap();
    ledger.abandoned(id(1));
    assert_eq!(ledger.settle(NOW, id(1), soon()), Settlement::Unknown);
}

#[test]
fn forgotten_is_not_denied() {
    let mut ledger = Ledger::new(Options::default());
    ledger.begin(NOW, id(7), soon(), None).unwrap();
    ledger.dispatch(id(7)).unwrap();
    ledger.done(id(7), None);
    let later = NOW + Duration::from_hours(1);
    // "Not seen" would be a lie: the ledger has forgotten that it ran.
    assert_eq!(ledger.settle(later, id(7), soon()), Settlement::Unknown);
    assert_eq!(ledger.settle(later, id(6), soon()), Settlement::Unknown);
    assert_eq!(ledger.begin(later, id(5), soon(), None), Err(Refusal::Forgotten));
    assert_eq!(ledger.settle(later, id(8), soon()), Settlement::NotRun);
}

#[test]
fn full_ledger_refuses() {
    let mut ledger = Ledger::new(Options { max_entries: 2, ..Options::default() });
    ledger.begin(NOW, id(1), soon(), None).unwrap();
    ledger.begin(NOW, id(2), soon(), None).unwrap();
    assert_eq!(ledger.begin(NOW, id(3), soon(), None), Err(Refusal::Full));
    assert_eq!(ledger.len(), 2);
}

#[test]
fn answers_are_bounded() {
    let mut ledger = Ledger::new(Options { max_total_answer_bytes: 300, ..Options::default() });
    for n in 1..=10 {
        ledger.begin(NOW, id(n), soon(), None).unwrap();
        ledger.dispatch(id(n)).unwrap();
        ledger.done(id(n), Some(answer(b"0123456789")));
        assert!(ledger.answer_bytes() <= 300);
    }
    // What became of the attempt outlives its answer.
    assert_eq!(ledger.settle(NOW, id(1), soon()), Settlement::Done(None));
}

#[test]
fn forgotten_origins_are_unknown() {
    let mut ledger = Ledger::new(Options { max_origins: 1, ..Options::default() });
    let other = |n| AttemptId { generation: Generation(n), ..id(1) };
    for n in 1..=3 {
        ledger.begin(NOW, other(n), soon(), None).unwrap();
        ledger.dispatch(other(n)).unwrap();
        ledger.done(other(n), None);
    }
    let later = NOW + Duration::from_hours(1);
    for n in 1..=3 {
        assert_eq!(ledger.settle(later, other(n), soon()), Settlement::Unknown);
    }
}

#[test]
fn not_run_never_runs() {
    arbtest::arbtest(|u| {
        let options = Options { max_entries: 4, max_origins: 2, ..Options::default() };
        let mut ledger = Ledger::new(options);
        let mut denied = std::collections::BTreeSet::new();
        let mut ran = std::collections::BTreeSet::new();
        let mut now = NOW;
        for _ in 0..u.int_in_range(0..=60)? {
            now = now + Duration::from_millis(u.int_in_range(0..=4000)?);
            let id = AttemptId {
                generation: Generation(u.int_in_range(1..=3)?),
                ..id(u.int_in_range(1..=4)?)
            };
            let deadline = Deadline::after(now, Duration::from_millis(500));
            match u.int_in_range(0..=5)? {
                0 => drop(ledger.begin(now, id, deadline, None)),
                1 if ledger.dispatch(id).is_ok() => {
                    assert!(ran.insert(id), "{id} ran twice");
                    assert!(!denied.contains(&id), "{id} ran after it was denied");
                }
                2 => ledger.done(id, None),
                3 => ledger.not_run(id),
                4 => ledger.abandoned(id),
                _ => {
                    if ledger.settle(now, id, deadline) == Settlement::NotRun {
                        denied.insert(id);
                        // A driver says "not run" only of attempts that it did not dispatch.
                    }
                }
            }
        }
        Ok(())
    });
}
