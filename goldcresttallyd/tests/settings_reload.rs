//! Checks that `SIGHUP` reloads the settings and never terminates the daemon.

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

/// A running daemon, which is killed on drop.
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

    /// Reads log lines until one contains `text`, and returns it; panics at the end of the log.
    fn wait_for_line(&mut self, text: &str) -> String {
        loop {
            let mut line = String::new();
            assert!(self.log.read_line(&mut line).unwrap() > 0, "the log ends without {text}");
            if line.contains(text) {
                return line;
            }
        }
    }

    fn send_hangup(&self) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-HUP", &pid]).status().unwrap().success());
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
fn hangup_reloads_valid_settings_and_refuses_invalid_ones() {
    let mut daemon = Daemon::start();
    daemon.wait_for_line("E1001");
    std::fs::write(&daemon.settings, SETTINGS.replace("0.2", "lots")).unwrap();
    daemon.send_hangup();
    let refused = daemon.wait_for_line("E1009");
    assert!(refused.contains("retry_share"), "{refused}");
    std::fs::write(&daemon.settings, SETTINGS.replace("0.2", "0.1")).unwrap();
    daemon.send_hangup();
    daemon.wait_for_line("E1008");
    assert!(daemon.child.try_wait().unwrap().is_none());
}
