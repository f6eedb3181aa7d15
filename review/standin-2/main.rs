//! Runs one case of the review: `standin CASE`. See `review/REPORT-2.md`.

mod frozen;
mod json;
mod logs;
mod paths;
mod platform;
mod readers;
mod uploads;

use std::process::exit;
use std::sync::Arc;
use std::time::{Duration, Instant};
use std::{env, fs, thread};

use platform::{Node, Record, Store};

/// The exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// What all cases use.
pub struct Case {
    pub record: Arc<Record>,
    /// Whether the disruption is left out.
    pub calm: bool,
    /// Folder of the settings files.
    pub folder: String,
    /// The first three numbers of the loopback addresses.
    network: String,
}

impl Case {
    pub fn ip(&self, host: u8) -> String {
        format!("{}.{host}", self.network)
    }

    /// Waits until `condition` holds; ends the case as not run if it does not within 20 s.
    pub fn wait(&self, what: &str, condition: impl Fn() -> bool) {
        let until = Instant::now() + Duration::from_secs(20);
        while !condition() {
            if Instant::now() > until {
                self.record.line(&format!("not run: no {what} within 20 s"));
                end(NOT_RUN);
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Waits until all nodes are ready and serve a path; then a little longer, until all know all.
    pub fn wait_until_served(&self, nodes: &[Node], method: &str, path: &str) {
        for (i, node) in nodes.iter().enumerate() {
            self.wait("readiness", || node.is_ready(Duration::from_secs(1)));
            self.wait("answer", || {
                let id = format!("warm{i}-{}", platform::wall_ms());
                let headers = [("goldcresttally-attempt-id", id.as_str()), ("goldcresttally-deadline-ms", "2000")];
                platform::call(node.outbound(), method, path, &headers, b"", Duration::from_secs(2)).is_some_and(|a| a.status == 200)
            });
        }
        thread::sleep(Duration::from_secs(2));
    }

    pub fn store(&self) -> Arc<Store> {
        Store::start(&self.ip(250))
    }
}

/// Ends all processes that were started, and this one.
fn end(code: i32) -> ! {
    platform::end_processes();
    exit(code);
}

/// Time after which a case ends as not run.
const LIMIT: Duration = Duration::from_secs(115);

fn main() {
    let name = env::args().nth(1).unwrap_or_default();
    let record = env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
    let id = std::process::id();
    let folder = env::temp_dir().join(format!("review-2-{id}"));
    fs::create_dir_all(&folder).expect("a temporary folder");
    let case = Case {
        record: Record::create(&record),
        calm: env::var("TROUBLE").is_ok_and(|v| v == "0"),
        folder: folder.to_string_lossy().into_owned(),
        network: format!("127.{}.{}", 64 + id / 250 % 60, id % 250),
    };
    thread::spawn(|| {
        thread::sleep(LIMIT);
        end(NOT_RUN);
    });
    let run = || match name.as_str() {
        "paths" => paths::run(&case),
        "readers" => readers::run(&case),
        "frozen" => frozen::run(&case),
        "logs" => logs::run(&case),
        "uploads" => uploads::run(&case),
        _ => NOT_RUN,
    };
    // A stand-in that cannot start, as where a port is in use, panics.
    let code = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run)).unwrap_or(NOT_RUN);
    case.record.line(&format!("exit {code}"));
    let _ = fs::remove_dir_all(&folder);
    end(code);
}
