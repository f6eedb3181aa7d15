//! Replays recorded traces and compares the results with the expected ones.
//!
//! A line is `MS begin|dispatch|done|not_run|abandoned|settle ATTEMPT`, followed by ` => ` and the
//! expected result if there is one.

use std::time::Duration;

use goldcresttally_core::{AttemptId, Deadline, Generation, MonoTime};
use goldcresttally_ledger::{Ledger, Options, Settlement};

fn step(ledger: &mut Ledger, now: MonoTime, action: &str, sequence: u64) -> String {
    let origin = "10.0.0.1:7400".parse().unwrap();
    let id = AttemptId { origin, generation: Generation(1), sequence };
    let deadline = Deadline::after(now, Duration::from_secs(1));
    let text_of = |result: Result<(), goldcresttally_ledger::Refusal>| match result {
        Ok(()) => "ok".to_owned(),
        Err(refusal) => refusal.to_string(),
    };
    match action {
        "begin" => text_of(ledger.begin(now, id, deadline, None)),
        "dispatch" => text_of(ledger.dispatch(id)),
        "done" => {
            ledger.done(id, None);
            String::new()
        }
        "not_run" => {
            ledger.not_run(id);
            String::new()
        }
        "abandoned" => {
            ledger.abandoned(id);
            String::new()
        }
        _ => match ledger.settle(now, id, deadline) {
            Settlement::NotRun => "not-run",
            Settlement::Running => "running",
            Settlement::Done(_) => "done",
            Settlement::Unknown => "unknown",
        }
        .to_owned(),
    }
}

fn replay(name: &str, text: &str) {
    let mut ledger = Ledger::new(Options::default());
    for line in text.lines().filter(|l| !l.is_empty() && !l.starts_with('#')) {
        let (step_text, expected) = line.split_once(" => ").unwrap_or((line, ""));
        let words: Vec<&str> = step_text.split(' ').collect();
        let now = MonoTime::from_millis(words[0].parse().unwrap());
        let actual = step(&mut ledger, now, words[1], words[2].parse().unwrap());
        assert_eq!(actual, expected, "{name}: {line}");
    }
}

#[test]
fn attempt_is_fenced_while_queued() {
    replay("queued", include_str!("traces/lost-while-queued.trace"));
}

#[test]
fn settlement_overtakes_request() {
    replay("overtaken", include_str!("traces/question-overtakes.trace"));
}

#[test]
fn entry_paused_beyond_retention() {
    replay("paused", include_str!("traces/entry-paused.trace"));
}
