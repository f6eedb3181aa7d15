//! `goldcresttally-standin`: runs a stand-in platform or upstream for manual testing.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use getopts::Options;
use goldcresttally_standin::upstream::{Announce, Behaviour};
use goldcresttally_standin::{Platform, Upstream};

/// Exit code for any error, usually an invalid command line.
const EXIT_USAGE: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match run(&args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("goldcresttally-standin: {message}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("l", "listen", "address to listen on", "IP:PORT");
    options.optopt(
        "n",
        "node",
        "operator address of the node to announce the upstream to",
        "IP:PORT",
    );
    options.optopt("s", "service", "service that the upstream is announced as", "SERVICE");
    options.optopt("", "slots", "calls that the upstream runs concurrently (default: 8)", "N");
    options.optopt("", "service-ms", "service time of a call, in milliseconds (default: 5)", "MS");
    options.optopt(
        "",
        "cold-start-ms",
        "time from start until the upstream is ready, in milliseconds (default: 0)",
        "MS",
    );
    options.optflag("h", "help", "print this help and exit");
    options
}

async fn run(args: &[String]) -> Result<(), String> {
    let options = options();
    let matches = options.parse(args).map_err(|e| e.to_string())?;
    let role = matches.free.first().map(String::as_str);
    if matches.opt_present("help") || role.is_none() {
        print!(
            "{}",
            options.usage("Usage: goldcresttally-standin platform|upstream --listen IP:PORT")
        );
        return Ok(());
    }
    let listen: SocketAddr = required_option(&matches, "listen")?;
    match role {
        Some("platform") => {
            let platform = Platform::start(listen)
                .await
                .map_err(|e| format!("cannot listen on {listen}: {e}"))?;
            println!("platform at {}; PUT /faults sets the injected faults", platform.address());
            wait_for_interrupt().await;
            platform.stop().await;
            Ok(())
        }
        Some("upstream") => run_upstream(listen, &matches).await,
        Some(other) => Err(format!("`{other}`: expected `platform` or `upstream`")),
        None => Ok(()),
    }
}

async fn run_upstream(listen: SocketAddr, matches: &getopts::Matches) -> Result<(), String> {
    let announce = Announce {
        node: required_option(matches, "node")?,
        service: required_option(matches, "service")?,
    };
    let default = Behaviour::default();
    let behaviour = Behaviour {
        slots: optional_value(matches, "slots", default.slots)?,
        service_ms: optional_value(matches, "service-ms", default.service_ms)?,
        cold_start_ms: optional_value(matches, "cold-start-ms", default.cold_start_ms)?,
        ..default
    };
    let started = Upstream::start(listen, behaviour, Some(announce), Arc::default()).await;
    let upstream = started.map_err(|e| format!("cannot listen on {listen}: {e}"))?;
    println!("upstream at {}; PUT /stand-in/behaviour changes its behaviour", upstream.address());
    wait_for_interrupt().await;
    upstream.stop().await;
    Ok(())
}

fn required_option<T: std::str::FromStr>(
    matches: &getopts::Matches,
    name: &str,
) -> Result<T, String> {
    let text = matches.opt_str(name).ok_or_else(|| format!("--{name} is required; see --help"))?;
    text.parse().or(Err(format!("--{name}: invalid value `{text}`")))
}

fn optional_value<T: std::str::FromStr>(
    matches: &getopts::Matches,
    name: &str,
    default: T,
) -> Result<T, String> {
    match matches.opt_str(name) {
        None => Ok(default),
        Some(_) => required_option(matches, name),
    }
}

async fn wait_for_interrupt() {
    // If no handler can be installed, this returns at once and the stand-in stops.
    let _ = tokio::signal::ctrl_c().await;
}
