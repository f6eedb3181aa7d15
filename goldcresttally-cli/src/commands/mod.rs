//! Implementation of the commands.

mod fleet;
mod sections;
mod table;
mod versions;

use std::io::Write;

use serde_json::Value;

use crate::cli::Cli;
use crate::client::NodeClient;
use crate::errors::{Error, ExitStatus};

/// Command line, node client and output stream of a command.
pub(crate) struct Context<'a> {
    pub cli: &'a Cli,
    pub client: NodeClient,
    pub out: &'a mut dyn Write,
}

/// Runs the command that `cli` selects and prints its result to `out`.
///
/// Fails if the command is unknown, the request fails or `out` cannot be written.
pub async fn run(cli: &Cli, out: &mut dyn Write) -> Result<(), Error> {
    let client = NodeClient::new(cli.node, cli.token.clone());
    let mut cx = Context { cli, client, out };
    let positional: Vec<&str> = cli.positional.iter().map(String::as_str).collect();
    match positional.as_slice() {
        ["section", "list"] => sections::list(&mut cx).await,
        ["section", "get", name] => sections::get(&mut cx, name).await,
        ["section", "put", name, file] => sections::put(&mut cx, name, file).await,
        ["section", "rm", name] => sections::remove(&mut cx, name).await,
        ["validate"] => versions::validate(&mut cx).await,
        ["diff"] => versions::diff(&mut cx).await,
        ["accept"] => versions::accept(&mut cx).await,
        ["history"] => versions::history(&mut cx).await,
        ["watch"] => versions::watch(&mut cx, None).await,
        ["watch", version] => versions::watch(&mut cx, Some(version)).await,
        ["nodes"] => fleet::nodes(&mut cx).await,
        ["status"] => fleet::status(&mut cx).await,
        ["report", "burn"] => fleet::burn_report(&mut cx).await,
        _ => Err(Error::usage(format!("`{}`: unknown command; see --help", positional.join(" ")))),
    }
}

impl Context<'_> {
    /// Prints `text` and a line break.
    pub fn line(&mut self, text: impl AsRef<str>) -> Result<(), Error> {
        writeln!(self.out, "{}", text.as_ref()).map_err(|e| output_error(&e))
    }

    /// Prints `text` unchanged.
    pub fn print(&mut self, text: &str) -> Result<(), Error> {
        write!(self.out, "{text}").map_err(|e| output_error(&e))
    }

    /// Prints `value` as JSON if `--json` was given; returns whether it did.
    pub fn json(&mut self, value: &Value) -> Result<bool, Error> {
        if self.cli.json {
            self.line(value.to_string())?;
        }
        Ok(self.cli.json)
    }
}

fn output_error(e: &std::io::Error) -> Error {
    Error::new(ExitStatus::Failure, format!("cannot write output: {e}"))
}
