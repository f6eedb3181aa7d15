//! The command-line tool against a fleet: output, exit statuses and watching a rollout.

mod common;

use std::collections::HashMap;

use common::Harness;
use goldcresttally_cli::cli::{COMMANDS, Parsed};
use goldcresttally_cli::{Cli, ExitStatus, commands};
use tally_lab::fleet::TOKEN;

/// Runs the command-line tool in process, with its own environment variables.
struct Tool {
    env: HashMap<&'static str, String>,
}

impl Tool {
    fn new(harness: &Harness, token: &str) -> Self {
        let node = harness.fleet.vms[0].location.operator().to_string();
        let env = [("GOLDCRESTTALLY_NODE", node), ("GOLDCRESTTALLY_TOKEN", token.to_owned())];
        Self { env: env.into_iter().collect() }
    }

    async fn run(&self, line: &str) -> (ExitStatus, String) {
        let args: Vec<String> = line.split(' ').map(str::to_owned).collect();
        let parsed = Cli::parse(&args, |name| self.env.get(name).cloned());
        let mut out = Vec::new();
        let result = match parsed {
            Err(e) => Err(e),
            Ok(Parsed::Text(text)) => return (ExitStatus::Success, text),
            Ok(Parsed::Command(cli)) => commands::run(&cli, &mut out).await,
        };
        let text = String::from_utf8(out).unwrap();
        match result {
            Ok(()) => (ExitStatus::Success, text),
            Err(e) => (e.status, e.message),
        }
    }
}

/// Writes a temporary file; returns its path.
fn write_temp_file(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path.to_string_lossy().into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn section_edit_reaches_all_nodes() {
    let harness = Harness::start(3, &[]).await;
    let tool = Tool::new(&harness, TOKEN);
    let section = write_temp_file("fares.yaml", "services:\n  fares: {queue: 9}\n");
    let (status, text) = tool.run(&format!("section put fares {section}")).await;
    assert_eq!(
        (status, text.starts_with("section fares is at revision")),
        (ExitStatus::Success, true)
    );
    let (status, message) = tool.run(&format!("section put fares {section} --revision 1")).await;
    assert_eq!(status, ExitStatus::Conflict, "{message}");
    let (_, text) = tool.run("section list").await;
    assert!(text.contains("fares") && text.contains("lab"), "{text}");
    let (_, text) = tool.run("section get fares").await;
    assert_eq!(text, "services:\n  fares: {queue: 9}\n");
    let (_, text) = tool.run("diff").await;
    assert!(text.contains("added fares") && text.contains("+  fares: {queue: 9}"), "{text}");
    let (_, text) = tool.run("validate").await;
    assert!(text.starts_with("valid: 3 sections"), "{text}");
    let (status, text) = tool.run("accept --watch").await;
    assert_eq!(status, ExitStatus::Success, "{text}");
    assert!(
        text.contains("accepted version 2") && text.contains("in force on 3 of 3 nodes"),
        "{text}"
    );
    let (_, text) = tool.run("history --json").await;
    assert!(text.contains("\"accepted_by\":\"lab\""), "{text}");
    let (_, text) = tool.run("section get booking --version=1").await;
    assert!(text.contains("booking"), "{text}");
    let (status, message) = tool.run("watch 99 --timeout 1").await;
    assert_eq!(status, ExitStatus::NotInForce, "{message}");
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_status_and_burn_report_are_printed() {
    let harness = Harness::start(2, &[(1, common::fast_behaviour())]).await;
    for n in 0..5 {
        harness.call(0, &common::call_spec(&format!("c{n}"), "read", 1.0)).await;
    }
    let tool = Tool::new(&harness, TOKEN);
    let (_, text) = tool.run("nodes").await;
    assert!(text.contains("booking ready 8 slots"), "{text}");
    let (_, text) = tool.run("status").await;
    assert!(text.contains("ready       true"), "{text}");
    let (_, text) = tool.run("report burn").await;
    assert!(text.contains("booking") && text.contains("urgent"), "{text}");
    let (_, text) = tool.run("report burn --json").await;
    let report: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(report["rows"][0]["calls"], 5);
    let (_, text) = tool.run("report burn --format html").await;
    assert!(text.starts_with("<!doctype html>") && text.contains("<svg"), "{text}");
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn errors_have_their_exit_status() {
    let harness = Harness::start(1, &[]).await;
    let tool = Tool::new(&harness, "wrong");
    assert_eq!(tool.run("sections").await.0, ExitStatus::Usage);
    assert_eq!(tool.run("watch soon").await.0, ExitStatus::Usage);
    assert_eq!(tool.run("--nod 1 status").await.0, ExitStatus::Usage);
    assert_eq!(tool.run("--node nowhere status").await.0, ExitStatus::Usage);
    assert_eq!(tool.run("section rm booking").await.0, ExitStatus::Usage);
    assert_eq!(tool.run("accept").await.0, ExitStatus::Unauthorized);
    assert_eq!(tool.run("section get ghost").await.0, ExitStatus::Failure);
    assert_eq!(tool.run("--node 127.0.0.1:1 status").await.0, ExitStatus::Unavailable);
    let (status, text) = tool.run("--help").await;
    assert_eq!((status, text.contains(COMMANDS)), (ExitStatus::Success, true));
    harness.stop().await;
}
