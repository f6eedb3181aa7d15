//! The command line and its help.

use std::net::SocketAddr;

use getopts::{Matches, Options};

use crate::errors::Error;

/// Address of the node when neither option nor environment names one.
const DEFAULT_NODE: &str = "127.0.0.1:7403";

/// What the tool can do, as its help shows it.
pub const COMMANDS: &str = "\
Commands:
  section list                 list the drafts with owner and revision
  section get NAME             print a draft; its revision goes to standard error
                               --version N prints it as accepted in version N
  section put NAME FILE        write a draft from FILE (`-`: standard input)
                               --revision N: the revision the edit is based on
                               (none for a new section)
  section rm NAME              remove a draft; needs --revision N
  validate                     check all drafts as one document
  diff                         show what accepting the drafts would change
  accept                       accept the drafts as the next version
                               --watch: then watch it take hold
                               --operation ID: repeat an accept whose answer was lost
  history                      list accepted versions (--limit N)
  watch [VERSION]              watch a version take hold until it is in force on
                               every known node (--timeout S)
  nodes                        list the nodes
  status                       show the state of the node that is asked
  report burn                  show the burn of service levels
                               (--format text|html|json, --output FILE)

Exit codes:
  0 done                 1 failed                   2 wrong command line
  3 changed by others    4 document not valid       5 token missing, wrong or not of the owner
  6 node or platform unavailable                    7 version not in force everywhere in time

To go back to older content, get a section with --version, put it and accept: that is a new
version, since versions only grow.
";

/// A parsed command line.
#[derive(Debug)]
pub struct Cli {
    /// Operator address of the node.
    pub node: SocketAddr,
    /// The team's bearer token.
    pub token: Option<String>,
    /// Whether to print JSON.
    pub json: bool,
    /// The command and its arguments.
    pub words: Vec<String>,
    matches: Matches,
}

/// What a command line asks for.
#[derive(Debug)]
pub enum Parsed {
    /// A command.
    Command(Box<Cli>),
    /// The help or version text.
    Text(String),
}

impl Cli {
    /// Parses a command line; `env` reads environment variables.
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
        let node =
            node.parse().or(Err(Error::usage(format!("--node `{node}`: expected IP:PORT"))))?;
        let token = match matches.opt_str("token-file") {
            Some(path) => Some(read_token(&path)?),
            None => env("GOLDCRESTTALLY_TOKEN"),
        };
        let json = matches.opt_present("json");
        let words = matches.free.clone();
        Ok(Parsed::Command(Box::new(Self { node, token, json, words, matches })))
    }

    /// Returns the value of an option, parsed.
    pub fn value<T: std::str::FromStr>(&self, name: &str) -> Result<Option<T>, Error> {
        let Some(text) = self.matches.opt_str(name) else {
            return Ok(None);
        };
        let value =
            text.parse().or(Err(Error::usage(format!("--{name}: `{text}` is not valid"))))?;
        Ok(Some(value))
    }

    /// Tells whether a flag was given.
    pub fn flag(&self, name: &str) -> bool {
        self.matches.opt_present(name)
    }
}

fn read_token(path: &str) -> Result<String, Error> {
    let text = std::fs::read_to_string(path).map_err(|e| Error::usage(format!("{path}: {e}")))?;
    Ok(text.trim().to_owned())
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("n", "node", "operator address of any node ($GOLDCRESTTALLY_NODE)", "IP:PORT");
    options.optopt(
        "t",
        "token-file",
        "read the team's token from FILE ($GOLDCRESTTALLY_TOKEN holds a token itself)",
        "FILE",
    );
    options.optflag("j", "json", "print JSON");
    options.optopt("r", "revision", "the revision that an edit is based on", "N");
    options.optflagopt(
        "V",
        "version",
        "with `section get`: the accepted version; alone: print the tool's version",
        "N",
    );
    options.optopt("", "operation", "name of an accept, to repeat it safely", "ID");
    options.optflag("w", "watch", "watch the accepted version take hold");
    options.optopt("", "timeout", "seconds to watch (60)", "S");
    options.optopt("", "limit", "versions to list (20)", "N");
    options.optopt("f", "format", "form of a report: text, html or json", "FORM");
    options.optopt("o", "output", "write to FILE", "FILE");
    options.optflag("h", "help", "print this help and exit");
    options
}
