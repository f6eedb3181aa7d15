//! Replays recorded traces against their stated outcomes.
//!
//! A line is `MS begin|dispatch|done|not_run|abandoned|settle ATTEMPT` with the result after ` => `.

use std::time::Duration;

use goldcresttally_core::{AttemptId, Deadline, Generation, MonoTime};
use goldcresttally_ledger::{Ledger, Options, Settlement};

fn step(ledger: &mut Ledger, now: MonoTime, action: &str, sequence: u64) -> String {
    let origin = "10.0.0.1:7400".parse().unwrap();
    let id = AttemptId { origin, generation: Generation(1), sequence };
    let deadline = Deadline::after(now, Duration::from_secs(1));
    let said = |result: Result<(), goldcresttally_ledger::Refusal>| match result {
        Ok(()) => "ok".to_owned(),
        Err(refusal) => refusal.to_string(),
    };
    match action {
        "begin" => said(ledger.begin(now, id, deadline, None)),
        "dispatch" => said(ledger.dispatch(id)),
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
        let (step_text, stated) = line.split_once(" => ").unwrap_or((line, ""));
        let words: Vec<&str> = step_text.split(' ').collect();
        let now = MonoTime::from_millis(words[0].parse().unwrap());
        let said = step(&mut ledger, now, words[1], words[2].parse().unwrap());
        assert_eq!(said, stated, "{name}: {line}");
    }
}

#[test]
fn connection_lost_while_queued() {
    replay("queued", include_str!("traces/lost-while-queued.trace"));
}

#[test]
fn question_overtakes_request() {
    replay("overtaken", include_str!("traces/question-overtakes.trace"));
}

#[test]
fn entry_paused_for_an_hour() {
    replay("paused", include_str!("traces/entry-paused.trace"));
}
