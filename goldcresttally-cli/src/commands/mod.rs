//! What each command does.

mod fleet;
mod sections;
mod table;
mod versions;

use std::io::Write;

use serde_json::Value;

use crate::cli::Cli;
use crate::client::NodeClient;
use crate::errors::{Error, ExitStatus};

/// What a command works with.
pub(crate) struct Context<'a> {
    pub cli: &'a Cli,
    pub client: NodeClient,
    pub out: &'a mut dyn Write,
}

/// Runs the command of `cli`, printing to `out`.
pub async fn run(cli: &Cli, out: &mut dyn Write) -> Result<(), Error> {
    let client = NodeClient::new(cli.node, cli.token.clone());
    let mut cx = Context { cli, client, out };
    let words: Vec<&str> = cli.words.iter().map(String::as_str).collect();
    match words.as_slice() {
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
        ["report", "burn"] => fleet::burn(&mut cx).await,
        _ => Err(Error::usage(format!("`{}`: no such command; see --help", words.join(" ")))),
    }
}

impl Context<'_> {
    /// Prints a line.
    pub fn line(&mut self, text: impl AsRef<str>) -> Result<(), Error> {
        writeln!(self.out, "{}", text.as_ref()).map_err(|e| output_failed(&e))
    }

    /// Prints text as it is.
    pub fn print(&mut self, text: &str) -> Result<(), Error> {
        write!(self.out, "{text}").map_err(|e| output_failed(&e))
    }

    /// Prints JSON when that is asked for; returns whether it did.
    pub fn json(&mut self, value: &Value) -> Result<bool, Error> {
        if self.cli.json {
            self.line(value.to_string())?;
        }
        Ok(self.cli.json)
    }
}

fn output_failed(e: &std::io::Error) -> Error {
    Error::new(ExitStatus::Failure, format!("output: {e}"))
}
