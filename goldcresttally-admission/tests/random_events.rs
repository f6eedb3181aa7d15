//! Guards the invariants under random event sequences: the limit on running calls holds, no call is
//! refused twice or while it runs, and none waits beside an idle upstream.

mod common;

use common::Bench;
use goldcresttally_admission::{CallId, Event, Options, Outcome};

#[test]
fn limit_holds_and_calls_end_once() {
    check(false);
}

#[test]
fn limit_holds_and_calls_end_once_under_overload_control() {
    check(true);
}

fn check(overload_control: bool) {
    arbtest::arbtest(|u| {
        let limit = u.int_in_range(1..=6)?;
        let queue_capacity = u.int_in_range(0..=8)?;
        let floor_shares = vec![0.0, 0.2, 0.1];
        let mut bench = Bench::new(limit, queue_capacity, &floor_shares);
        bench.step(Event::Configure(Options {
            max_concurrency: limit,
            queue_capacity,
            floor_shares,
            overload_control,
            ..Options::default()
        }));
        let mut running: Vec<CallId> = Vec::new();
        let mut ended = std::collections::BTreeSet::new();
        for ms in 0..u.int_in_range(0..=80)? {
            bench.advance_to(ms);
            match u.int_in_range(0..=9)? {
                0..=4 => {
                    let rank = u.int_in_range(0..=3)?;
                    bench.offer_within(rank, u.int_in_range(0..=50)?, u.int_in_range(0..=50)?);
                }
                5..=7 if !running.is_empty() => {
                    let call = running.swap_remove(u.choose_index(running.len())?);
                    let outcome =
                        *u.choose(&[Outcome::Answered, Outcome::Shed, Outcome::Failed])?;
                    bench.finish_with(call, outcome);
                }
                8 => {
                    let call = CallId(u.int_in_range(0..=40)?);
                    running.retain(|c| *c != call);
                    bench.withdraw(call);
                }
                _ => {}
            }
            running.extend(bench.dispatched());
            for (call, _) in bench.refused() {
                assert!(ended.insert(call), "{call:?} refused twice");
                assert!(!running.contains(&call));
            }
            assert!(bench.running() <= limit as usize);
            assert_eq!(bench.running(), running.len());
            assert!(bench.running() > 0 || bench.waiting() == 0, "calls wait for an idle upstream");
        }
        Ok(())
    });
}
