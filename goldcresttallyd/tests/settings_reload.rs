//! A hang-up signal reloads the settings of the daemon, and never ends it.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};

const SETTINGS: &str = "\
node:
  control: 127.78.0.1:7400
  peer: 127.78.0.1:7401
  calls: 127.78.0.1:7402
  operator: 127.78.0.1:7403
  domain: d
  region: r
requests:
  retry_share: 0.2
";

/// The daemon; it is killed when this is dropped.
struct Daemon {
    child: Child,
    log: BufReader<ChildStdout>,
    settings: PathBuf,
}

impl Daemon {
    fn start() -> Self {
        let name = format!("goldcresttallyd-reload-{}.yaml", std::process::id());
        let settings = std::env::temp_dir().join(name);
        std::fs::write(&settings, SETTINGS).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_goldcresttallyd"))
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let log = BufReader::new(child.stdout.take().unwrap());
        Self { child, log, settings }
    }

    /// Reads lines up to the one that has `text`; an end of the log fails the test.
    fn line_with(&mut self, text: &str) -> String {
        loop {
            let mut line = String::new();
            assert!(self.log.read_line(&mut line).unwrap() > 0, "the log ends without {text}");
            if line.contains(text) {
                return line;
            }
        }
    }

    fn hang_up(&self) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-HUP", &id]).status().unwrap().success());
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

#[test]
fn a_hangup_reloads() {
    let mut daemon = Daemon::start();
    daemon.line_with("E1001");
    std::fs::write(&daemon.settings, SETTINGS.replace("0.2", "lots")).unwrap();
    daemon.hang_up();
    let refused = daemon.line_with("E1009");
    assert!(refused.contains("retry_share"), "{refused}");
    std::fs::write(&daemon.settings, SETTINGS.replace("0.2", "0.1")).unwrap();
    daemon.hang_up();
    daemon.line_with("E1008");
    assert!(daemon.child.try_wait().unwrap().is_none());
}
