//! Command-line parsing and help text.

use std::net::SocketAddr;

use getopts::{Matches, Options};

use crate::errors::Error;

/// Operator address used when neither `--node` nor `GOLDCRESTTALLY_NODE` is given.
const DEFAULT_NODE: &str = "127.0.0.1:7403";

/// Commands and exit codes, as shown in the help.
pub const COMMANDS: &str = "\
Commands:
  section list                 list the drafts with owner and revision
  section get NAME             print a draft; its revision goes to standard error
                               --version=N prints it as accepted in version N
  section put NAME FILE        write a draft from FILE (`-`: standard input)
                               --revision N: the revision the edit is based on
                               (none for a new section)
  section rm NAME              remove a draft; needs --revision N
  validate                     check all drafts as one document
  diff                         show what accepting the drafts would change
  accept                       accept the drafts as the next version
                               --watch: then watch its rollout, as `watch` does
                               --operation ID: repeat an accept whose response was lost;
                               it never creates a second version
  history                      list accepted versions (--limit N)
  watch [VERSION]              watch the rollout of a version until it is in force on
                               every known node (--timeout S)
  nodes                        list the nodes
  status                       show the state of the node that --node selects
  report burn                  show the error-budget burn rate of each service and rank
                               (--format text|html|json, --output FILE)

Exit codes:
  0 success              1 failure                  2 invalid command line
  3 conflicting change   4 invalid document         5 token missing, unknown or not the owner's
  6 node or platform unavailable                    7 version not in force on all nodes in time

To roll back, get each section as of an older version (--version=N), put it and accept. This
creates a new version with the older content: version numbers only increase.
";

/// A parsed command line.
#[derive(Debug)]
pub struct Cli {
    /// Operator address of the node.
    pub node: SocketAddr,
    /// Bearer token of the operator's team.
    pub token: Option<String>,
    /// Whether to print JSON instead of text.
    pub json: bool,
    /// The command and its positional arguments.
    pub positional: Vec<String>,
    matches: Matches,
}

/// Result of parsing a command line.
#[derive(Debug)]
pub enum Parsed {
    /// A command to run.
    Command(Box<Cli>),
    /// Help or version text to print.
    Text(String),
}

impl Cli {
    /// Parses a command line; `env` looks up environment variables.
    ///
    /// Fails on an unknown option, an invalid node address or an unreadable token file.
    pub fn parse(args: &[String], env: impl Fn(&str) -> Option<String>) -> Result<Parsed, Error> {
        let options = options();
        let matches = options.parse(args).map_err(|e| Error::usage(e.to_string()))?;
        if matches.opt_present("help")
            || (matches.free.is_empty() && !matches.opt_present("version"))
        {
            let usage = options.usage("Usage: goldcresttally [OPTIONS] COMMAND");
            return Ok(Parsed::Text(format!("{usage}\n{COMMANDS}")));
        }
        if matches.opt_present("version") && matches.free.is_empty() {
            let version = env!("CARGO_PKG_VERSION");
            return Ok(Parsed::Text(format!("goldcresttally {version}\n")));
        }
        let node = matches.opt_str("node").or_else(|| env("GOLDCRESTTALLY_NODE"));
        let node = node.unwrap_or_else(|| DEFAULT_NODE.to_owned());
        let node = node
            .parse()
            .or(Err(Error::usage(format!("--node: invalid address `{node}`, expected IP:PORT"))))?;
        let token = match matches.opt_str("token-file") {
            Some(path) => Some(read_token(&path)?),
            None => env("GOLDCRESTTALLY_TOKEN"),
        };
        let json = matches.opt_present("json");
        let positional = matches.free.clone();
        Ok(Parsed::Command(Box::new(Self { node, token, json, positional, matches })))
    }

    /// Returns the parsed value of an option, or `None` if it was not given.
    ///
    /// Fails if the value does not parse.
    pub fn value<T: std::str::FromStr>(&self, name: &str) -> Result<Option<T>, Error> {
        let Some(text) = self.matches.opt_str(name) else {
            return Ok(None);
        };
        let value =
            text.parse().or(Err(Error::usage(format!("--{name}: invalid value `{text}`"))))?;
        Ok(Some(value))
    }

    /// Returns whether a flag was given.
    pub fn flag(&self, name: &str) -> bool {
        self.matches.opt_present(name)
    }
}

fn read_token(path: &str) -> Result<String, Error> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| Error::usage(format!("cannot read token file {path}: {e}")))?;
    Ok(text.trim().to_owned())
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt(
        "n",
        "node",
        "operator address of any node (default: $GOLDCRESTTALLY_NODE or 127.0.0.1:7403)",
        "IP:PORT",
    );
    options.optopt(
        "t",
        "token-file",
        "read the team's token from FILE (default: the token in $GOLDCRESTTALLY_TOKEN)",
        "FILE",
    );
    options.optflag("j", "json", "print JSON instead of text");
    options.optopt("r", "revision", "the revision that an edit is based on", "N");
    options.optflagopt(
        "V",
        "version",
        "with `section get`: the accepted version to read; alone: print the tool's version",
        "N",
    );
    options.optopt("", "operation", "identifier of an accept, for repeating it safely", "ID");
    options.optflag("w", "watch", "watch the rollout of the accepted version");
    options.optopt("", "timeout", "seconds to watch a rollout (default: 60)", "S");
    options.optopt("", "limit", "maximum number of versions to list (default: 20)", "N");
    options.optopt("f", "format", "format of a report: text, html or json", "FORM");
    options.optopt("o", "output", "write the report to FILE", "FILE");
    options.optflag("h", "help", "print this help and exit");
    options
}
