//! `tally-lab`: command-line tool that runs the experiments.

use std::process::ExitCode;

use getopts::Options;
use goldcresttally_admission::Policy;
use tally_lab::experiments::{converge, demo, faults, flood, hop, link, scale};
use tally_lab::output::Report;

/// Exit code for a wrong command line.
const EXIT_USAGE: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let options = options();
    let matches = match options.parse(&args) {
        Ok(matches) => matches,
        Err(e) => {
            eprintln!("tally-lab: {e}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if matches.opt_present("help") || matches.free.is_empty() {
        print!(
            "{}",
            options.usage("Usage: tally-lab demo|converge|flood|hop|link|faults|scale [OPTIONS]")
        );
        return ExitCode::SUCCESS;
    }
    match run(&matches).await {
        Ok(report) => {
            report.print();
            if report.ok { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(message) => {
            eprintln!("tally-lab: {message}");
            ExitCode::FAILURE
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "seed", "seed of the random number generators (1)", "N");
    options.optopt("n", "nodes", "converge, scale: number of nodes (25, 3700)", "N");
    options.optopt("c", "changes", "converge: number of accepted changes (10)", "N");
    options.optopt(
        "f",
        "fault",
        "converge: none, store-outage, lost-answer, partition, herd, loss, silence or race (none)",
        "FAULT",
    );
    options.optopt("m", "mode", "converge: tree, gossip or poll (tree)", "MODE");
    options.optopt("", "pause-ms", "converge: interval between changes (1000)", "MS");
    options.optopt("", "site", "flood: fjordleik or agency (fjordleik)", "SITE");
    options.optopt("p", "policy", "flood: fifo, strict or ranked (ranked)", "POLICY");
    options.optopt("", "flood", "flood: urgent, least or least-then-urgent (least)", "RANK");
    options.optopt(
        "l",
        "load",
        "flood: offered load of that rank in multiples of capacity (5)",
        "X",
    );
    options.optopt("t", "seconds", "flood, hop, link, faults: duration (8, 5, 10, 30)", "S");
    options.optflag("", "no-retry-budget", "flood: do not limit retries");
    options.optflag("", "no-throttle", "flood: do not throttle at the entry");
    options.optflag("", "redirects", "flood: refusals name a less loaded node");
    options.optflag("", "no-settle", "faults: do not settle attempts whose connection broke");
    options.optopt("", "events", "faults: comma-separated kinds to inject (all)", "KINDS");
    options.optflag("h", "help", "print this help and exit");
    options
}

fn get<T>(matches: &getopts::Matches, name: &str, default: T) -> Result<T, String>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    matches.opt_get_default(name, default).map_err(|e| format!("--{name}: {e}"))
}

async fn run(matches: &getopts::Matches) -> Result<Report, String> {
    let seed = matches.opt_get_default("seed", 1u64).map_err(|e| e.to_string())?;
    match matches.free[0].as_str() {
        "demo" => demo::run(seed).await,
        "converge" => {
            let options = converge::Options {
                nodes: get(matches, "nodes", 25)?,
                changes: get(matches, "changes", 10)?,
                fault: get(matches, "fault", converge::Fault::None)?,
                mode: get(matches, "mode", "tree".to_owned())?,
                pause_ms: get(matches, "pause-ms", 1000)?,
                seed,
            };
            converge::run(options).await
        }
        "flood" => {
            let options = flood::Options {
                site: get(matches, "site", flood::Site::Fjordleik)?,
                policy: get(matches, "policy", Policy::Ranked)?,
                flood: get(matches, "flood", "least".to_owned())?,
                load: get(matches, "load", 5.0)?,
                seconds: get(matches, "seconds", 8)?,
                retry_budget: !matches.opt_present("no-retry-budget"),
                throttle: !matches.opt_present("no-throttle"),
                redirects: matches.opt_present("redirects"),
                seed,
            };
            flood::run(options).await
        }
        "hop" => {
            let seconds = get(matches, "seconds", 5)?;
            hop::run(hop::Options { seconds, seed }).await
        }
        "link" => {
            let seconds = get(matches, "seconds", 10)?;
            link::run(link::Options { seconds, seed }).await
        }
        "scale" => scale::run(get(matches, "nodes", 3700)?, seed),
        "faults" => {
            let options = faults::Options {
                seconds: get(matches, "seconds", 30)?,
                settle: !matches.opt_present("no-settle"),
                kinds: faults::parse_kinds(&get(matches, "events", "all".to_owned())?)?,
                seed,
            };
            faults::run(options).await
        }
        other => Err(format!("`{other}`: unknown experiment")),
    }
}
