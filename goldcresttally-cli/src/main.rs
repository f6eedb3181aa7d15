//! `goldcresttally`: the command-line tool for operators.

use std::process::ExitCode;

use goldcresttally_cli::cli::Parsed;
use goldcresttally_cli::{Cli, Error, commands};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let parsed = Cli::parse(&args, |name| std::env::var(name).ok());
    let result = match &parsed {
        Ok(Parsed::Text(text)) => {
            print!("{text}");
            Ok(())
        }
        Ok(Parsed::Command(cli)) => commands::run(cli, &mut std::io::stdout()).await,
        Err(e) => Err(e.clone()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => report_error(&e, args.iter().any(|a| a == "--json" || a == "-j")),
    }
}

fn report_error(error: &Error, json: bool) -> ExitCode {
    match &error.details {
        Some(details) if json => eprintln!("{details}"),
        _ => eprintln!("goldcresttally: {error}"),
    }
    ExitCode::from(error.status as u8)
}
