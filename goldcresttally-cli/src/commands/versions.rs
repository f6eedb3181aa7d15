//! Commands that validate, compare and accept the document, list versions and watch a rollout.

use std::time::Duration;

use http::Method;
use serde_json::Value;
use tokio::time::Instant;

use super::{Context, table};
use crate::errors::{Error, ExitStatus};

/// Interval between polls of a rollout and between attempts of an accept, in milliseconds.
const POLL_INTERVAL_MS: u64 = 250;

/// Default time limit for watching a rollout, in seconds.
const DEFAULT_WATCH_TIMEOUT_S: u64 = 60;

/// Maximum number of requests for one accept.
const MAX_ACCEPT_ATTEMPTS: usize = 5;

pub(super) async fn validate(cx: &mut Context<'_>) -> Result<(), Error> {
    let counts = cx.client.json(Method::POST, "/v1/validate", String::new()).await?;
    if cx.json(&counts)? {
        return Ok(());
    }
    cx.line(format!(
        "valid: {} sections, {} services, {} ranks, {} routes",
        counts["sections"], counts["services"], counts["ranks"], counts["routes"]
    ))
}

pub(super) async fn diff(cx: &mut Context<'_>) -> Result<(), Error> {
    let diff = cx.client.json(Method::GET, "/v1/diff", String::new()).await?;
    if cx.json(&diff)? {
        return Ok(());
    }
    let changes = diff["changes"].as_array().cloned().unwrap_or_default();
    cx.line(format!("{} sections differ from version {}", changes.len(), diff["version"]))?;
    for change in &changes {
        let name = table::cell(&change["section"]);
        cx.line(format!("{} {name}", table::cell(&change["change"])))?;
        let old = change["old"].as_str().unwrap_or_default();
        let new = change["new"].as_str().unwrap_or_default();
        for line in line_diff(old, new) {
            cx.line(line)?;
        }
    }
    Ok(())
}

/// Returns the lines that remain after removing the common prefix and suffix of two texts: those
/// of `old` marked `-`, then those of `new` marked `+`.
fn line_diff(old: &str, new: &str) -> Vec<String> {
    let (old, new): (Vec<&str>, Vec<&str>) = (old.lines().collect(), new.lines().collect());
    let start = old.iter().zip(&new).take_while(|(a, b)| a == b).count();
    let rest = old.len().min(new.len()) - start;
    let pairs = old.iter().rev().zip(new.iter().rev());
    let end = pairs.take(rest).take_while(|(a, b)| a == b).count();
    let removed = old[start..old.len() - end].iter().map(|l| format!("  -{l}"));
    let added = new[start..new.len() - end].iter().map(|l| format!("  +{l}"));
    removed.chain(added).collect()
}

pub(super) async fn accept(cx: &mut Context<'_>) -> Result<(), Error> {
    let requested = cx.cli.value::<String>("operation")?;
    let operation = requested.unwrap_or_else(|| format!("{:032x}", fastrand::u128(..)));
    let path = format!("/v1/accept?operation={operation}");
    let mut attempts = 0;
    let accepted = loop {
        attempts += 1;
        match cx.client.json(Method::POST, &path, String::new()).await {
            // Repeating an operation never creates a second version, so a retry is safe.
            Err(e) if e.status == ExitStatus::Unavailable && attempts < MAX_ACCEPT_ATTEMPTS => {
                tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
            }
            Err(e) if e.status == ExitStatus::Unavailable => {
                let hint =
                    format!("{e}; the outcome is unknown, repeat with --operation {operation}");
                return Err(Error::new(ExitStatus::Unavailable, hint));
            }
            other => break other?,
        }
    };
    if !cx.json(&accepted)? {
        cx.line(format!("accepted version {}", accepted["version"]))?;
    }
    if cx.cli.flag("watch") {
        let version = accepted["version"].to_string();
        return watch(cx, Some(&version)).await;
    }
    Ok(())
}

pub(super) async fn history(cx: &mut Context<'_>) -> Result<(), Error> {
    let limit = cx.cli.value::<usize>("limit")?.unwrap_or(20);
    let path = format!("/v1/history?limit={limit}");
    let list = cx.client.json(Method::GET, &path, String::new()).await?;
    if cx.json(&list)? {
        return Ok(());
    }
    let rows = table::rows(&list, &["version", "accepted_by", "accepted_at_ms", "manifest"]);
    cx.print(&table::render(&["VERSION", "ACCEPTED BY", "AT (MS SINCE EPOCH)", "MANIFEST"], &rows))
}

pub(super) async fn watch(cx: &mut Context<'_>, version: Option<&str>) -> Result<(), Error> {
    let path = match version {
        Some(text) => {
            let version: u64 =
                text.parse().or(Err(Error::usage(format!("`{text}` is not a version number"))))?;
            format!("/v1/rollout?version={version}")
        }
        None => "/v1/rollout".to_owned(),
    };
    let timeout_s = cx.cli.value::<u64>("timeout")?.unwrap_or(DEFAULT_WATCH_TIMEOUT_S);
    let deadline = Instant::now() + Duration::from_secs(timeout_s);
    let started = Instant::now();
    let mut last_line = String::new();
    loop {
        let rollout = cx.client.json(Method::GET, &path, String::new()).await?;
        let line = format_progress(&rollout);
        if line != last_line {
            if !cx.json(&rollout)? {
                cx.line(format!("{:>6.2} s  {line}", started.elapsed().as_secs_f64()))?;
            }
            last_line = line;
        }
        let lagging = rollout["lagging"].as_array().map_or(0, Vec::len);
        if lagging == 0 {
            return Ok(());
        }
        if Instant::now() >= deadline {
            let message = format!("{lagging} nodes are not on the version after {timeout_s} s");
            return Err(Error::new(ExitStatus::NotInForce, message));
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

fn format_progress(rollout: &Value) -> String {
    let mut line = format!(
        "version {} in force on {} of {} nodes",
        rollout["version"], rollout["in_force"], rollout["nodes"]
    );
    let lagging = rollout["lagging"].as_array().cloned().unwrap_or_default();
    for node in lagging.iter().take(5) {
        let [name, version, reason] =
            ["node", "version", "reason"].map(|key| table::cell(&node[key]));
        line.push_str(&format!("; {name} {reason} at {version}"));
    }
    if lagging.len() > 5 {
        line.push_str(&format!("; and {} more", lagging.len() - 5));
    }
    line
}
