//! `goldcresttallyd`: the node beside an upstream.

use std::process::ExitCode;

use getopts::Options;
use goldcresttally_core::Generation;
use goldcresttallyd::events::{self, emit};
use goldcresttallyd::{Node, NodeOptions, Settings, logging};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for a wrong command line or wrong settings.
const EXIT_USAGE: u8 = 2;

/// How a run of the node ended.
enum End {
    /// It was told to stop, and all in flight ended.
    Stopped,
    /// It was told to stop, and the drain deadline passed.
    Overrun,
    /// A later generation was seen at its address; it starts again with one that is later still.
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
    // Calls are served by threads of their own; this runtime has the operators' interface.
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

async fn serve(path: &str, settings: Settings) -> Result<ExitCode, String> {
    let mut after_generation = Generation(0);
    loop {
        let options = NodeOptions { after_generation, ..NodeOptions::default() };
        let node = Node::start(settings.clone(), options)
            .await
            .map_err(|e| format!("cannot start: {e}"))?;
        match run_until_end(path, node).await? {
            End::Stopped => return Ok(ExitCode::SUCCESS),
            End::Overrun => return Ok(ExitCode::FAILURE),
            End::Superseded(generation) => after_generation = generation,
        }
    }
}

async fn run_until_end(path: &str, node: Node) -> Result<End, String> {
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| e.to_string())?;
    let mut hangup = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(path, &node),
            () = node.control_ended() => {
                let seen = node.state().latest_generation();
                node.stop().await;
                return Ok(End::Superseded(seen));
            }
        }
    }
    Ok(if node.stop().await { End::Stopped } else { End::Overrun })
}

/// Reads the settings again; wrong ones change nothing.
fn reload(path: &str, node: &Node) {
    let read = std::fs::read_to_string(path).map_err(|e| e.to_string());
    match read.and_then(|text| Settings::parse(&text).map_err(|e| e.to_string())) {
        Ok(settings) => node.reload(&settings),
        Err(e) => emit(events::SETTINGS_REFUSED, format_args!("{path}: {e}")),
    }
}
