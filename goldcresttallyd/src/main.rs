//! `goldcresttallyd`, the node daemon that runs beside an upstream.

use std::process::ExitCode;

use getopts::Options;
use goldcresttally_core::Generation;
use goldcresttallyd::events::{self, emit};
use goldcresttallyd::{Node, NodeOptions, Settings, logging};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit code for an invalid command line, invalid settings or a failed start.
const EXIT_USAGE: u8 = 2;

/// The reason why a node has stopped.
enum StopReason {
    /// A signal; all calls in flight finished.
    Drained,
    /// A signal; the drain deadline passed with calls in flight.
    DrainTimedOut,
    /// A later generation was seen at this address; the node restarts with one that exceeds it.
    Superseded(Generation),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match run(&args) {
        Ok(code) => code,
        Err(message) => {
            eprintln!("goldcresttallyd: {message}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn run(args: &[String]) -> Result<ExitCode, String> {
    let options = options();
    let matches = options.parse(args).map_err(|e| format!("{e}; see --help"))?;
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: goldcresttallyd --settings FILE [--check-settings]"));
        return Ok(ExitCode::SUCCESS);
    }
    if matches.opt_present("version") {
        println!("goldcresttallyd {}", env!("CARGO_PKG_VERSION"));
        return Ok(ExitCode::SUCCESS);
    }
    let path = matches.opt_str("settings").ok_or("--settings FILE is missing; see --help")?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    let settings = Settings::parse(&text).map_err(|e| format!("{path}: {e}"))?;
    if matches.opt_present("check-settings") {
        println!("{path}: valid");
        return Ok(ExitCode::SUCCESS);
    }
    logging::init(&settings.log)?;
    // Worker threads serve the calls; this runtime serves the operator API.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    runtime.block_on(serve(&path, settings))
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "read settings from FILE (YAML)", "FILE");
    options.optflag("c", "check-settings", "check the settings and exit");
    options.optflag("h", "help", "print this help and exit");
    options.optflag("V", "version", "print the version and exit");
    options
}

/// Runs the node, and restarts it with a later generation each time it is superseded.
async fn serve(path: &str, settings: Settings) -> Result<ExitCode, String> {
    // Before the node starts: without a handler, an early SIGHUP would end the process.
    let mut signals = Signals::subscribe().map_err(|e| e.to_string())?;
    let mut after_generation = Generation(0);
    loop {
        let options = NodeOptions { after_generation, ..NodeOptions::default() };
        let node = Node::start(settings.clone(), options)
            .await
            .map_err(|e| format!("cannot start: {e}"))?;
        match run_until_stopped(path, node, &mut signals).await {
            StopReason::Drained => return Ok(ExitCode::SUCCESS),
            StopReason::DrainTimedOut => return Ok(ExitCode::FAILURE),
            StopReason::Superseded(generation) => after_generation = generation,
        }
    }
}

/// Runs a node until a signal stops it or it is superseded; reloads the settings on `SIGHUP`.
async fn run_until_stopped(path: &str, node: Node, signals: &mut Signals) -> StopReason {
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.hangup.recv() => reload(path, &node),
            () = node.control_ended() => {
                let latest = node.state().latest_generation();
                node.stop().await;
                return StopReason::Superseded(latest);
            }
        }
    }
    if node.stop().await { StopReason::Drained } else { StopReason::DrainTimedOut }
}

/// The signals that stop the node or reload its settings.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn subscribe() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// Reloads the settings; invalid ones are logged and change nothing.
fn reload(path: &str, node: &Node) {
    let read = std::fs::read_to_string(path).map_err(|e| e.to_string());
    match read.and_then(|text| Settings::parse(&text).map_err(|e| e.to_string())) {
        Ok(settings) => node.reload(&settings),
        Err(e) => emit(events::SETTINGS_REFUSED, format_args!("{path}: {e}")),
    }
}
