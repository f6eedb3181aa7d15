//! Plays one scenario of the review against the project's nodes.
//!
//! `standin SCENARIO with|without RECORD`: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.

mod answers;
mod client;
mod deployment;
mod http;
mod instance;
mod json;
mod leave;
mod record;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// What a scenario shows.
pub enum Outcome {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [scenario, disruption, path] = args.as_slice() else {
        eprintln!("usage: standin SCENARIO with|without RECORD");
        return ExitCode::from(2);
    };
    let trouble = match disruption.as_str() {
        "with" => true,
        "without" => false,
        other => {
            eprintln!("{other}: must be with or without");
            return ExitCode::from(2);
        }
    };
    let record = match Record::create(Path::new(path)) {
        Ok(record) => Arc::new(record),
        Err(e) => {
            eprintln!("{path}: {e}");
            return ExitCode::from(2);
        }
    };
    let outcome = match scenario.as_str() {
        "late-heartbeats" => leave::play(&record, leave::Disruption::LateHeartbeats, trouble),
        "odd-heartbeat" => leave::play(&record, leave::Disruption::OddHeartbeat, trouble),
        "quiet-link" => answers::play(&record, answers::Disruption::Freeze, trouble),
        "planned-stop" => answers::play(&record, answers::Disruption::PlannedStop, trouble),
        _ => Err(format!("unknown scenario {scenario}")),
    };
    match outcome {
        Ok(Outcome::Held) => ExitCode::SUCCESS,
        Ok(Outcome::Broken) => ExitCode::from(1),
        Err(cause) => {
            record.note(format_args!("could not run: {cause}"));
            eprintln!("{cause}");
            ExitCode::from(2)
        }
    }
}
