//! Replays recorded traces and compares the actions with the expected ones.
//!
//! A line is `MS offer CALL RANK DEADLINE_MS TARGET_MS`, `MS finish CALL answered|shed|failed`,
//! `MS withdraw CALL`, `MS drain`, `MS open` or `MS tick`. If actions are expected, they follow
//! after ` => `. The first line is `options SLOTS QUEUE FLOOR...`.

mod common;

use common::Bench;
use goldcresttally_admission::{CallId, Event, Outcome};

fn replay(name: &str, text: &str) {
    let mut lines = text.lines().filter(|l| !l.is_empty() && !l.starts_with('#'));
    let options: Vec<&str> = lines.next().unwrap().split(' ').collect();
    let floors: Vec<f64> = options[3..].iter().map(|f| f.parse().unwrap()).collect();
    let mut bench = Bench::new(options[1].parse().unwrap(), options[2].parse().unwrap(), &floors);
    for line in lines {
        let (step, expected) = line.split_once(" => ").unwrap_or((line, ""));
        let words: Vec<&str> = step.split(' ').collect();
        let number = |i: usize| words[i].parse::<u64>().unwrap();
        bench.advance_to(number(0));
        match words[1] {
            "offer" => {
                bench.offer_within(number(3) as usize, number(4), number(5));
            }
            "finish" => {
                let outcome = match words[3] {
                    "answered" => Outcome::Answered,
                    "shed" => Outcome::Shed,
                    _ => Outcome::Failed,
                };
                bench.finish_with(CallId(number(2)), outcome);
            }
            "withdraw" => bench.withdraw(CallId(number(2))),
            "drain" => bench.step(Event::Drain),
            "open" => bench.step(Event::Open),
            _ => {}
        }
        let dispatched = bench.dispatched().into_iter().map(|c| format!("run {}", c.0));
        let refused = bench.refused().into_iter().map(|(c, why)| format!("refuse {} {why}", c.0));
        let actions: Vec<String> = dispatched.chain(refused).collect();
        assert_eq!(actions.join(", "), expected, "{name}: {line}");
    }
}

#[test]
fn urgent_call_overtakes_flood() {
    replay("least flood", include_str!("traces/least-flood.trace"));
}

#[test]
fn pause_expires_waiting_calls() {
    replay("paused", include_str!("traces/paused-while-queued.trace"));
}

#[test]
fn upstream_reopens_after_drain() {
    replay("drain", include_str!("traces/drain-then-reopen.trace"));
}
