//! Commands that show the nodes, a node's status and the burn-rate report.

use http::Method;
use serde_json::Value;

use super::{Context, table};
use crate::errors::{Error, ExitStatus};

pub(super) async fn nodes(cx: &mut Context<'_>) -> Result<(), Error> {
    let list = cx.client.json(Method::GET, "/v1/nodes", String::new()).await?;
    if cx.json(&list)? {
        return Ok(());
    }
    let mut rows = table::rows(&list, &["node", "region", "domain", "status", "leaving"]);
    let items = list.as_array().cloned().unwrap_or_default();
    for (row, item) in rows.iter_mut().zip(&items) {
        row.push(format_upstreams(&item["upstreams"]));
    }
    let headings = ["NODE", "REGION", "DOMAIN", "STATUS", "LEAVING", "UPSTREAMS"];
    cx.print(&table::render(&headings, &rows))
}

fn format_upstreams(list: &Value) -> String {
    let rows = table::rows(list, &["service", "state", "slots"]);
    let cells: Vec<_> = rows.iter().map(|r| format!("{} {} {} slots", r[0], r[1], r[2])).collect();
    cells.join(", ")
}

pub(super) async fn status(cx: &mut Context<'_>) -> Result<(), Error> {
    let status = cx.client.json(Method::GET, "/v1/status", String::new()).await?;
    if cx.json(&status)? {
        return Ok(());
    }
    let control = &status["control"];
    for key in [
        "node",
        "domain",
        "generation",
        "version",
        "floor",
        "ready",
        "members",
        "suspects",
        "isolated",
    ] {
        cx.line(format!("{key:<12}{}", table::cell(&control[key])))?;
    }
    cx.line(format!("{:<12}{}", "leaving", table::cell(&status["leaving"])))?;
    if control["refused"].as_u64().is_some_and(|v| v > 0) {
        let (version, reason) = (&control["refused"], table::cell(&control["refusal"]));
        cx.line(format!("{:<12}version {version}: {reason}", "refused"))?;
    }
    for upstream in status["upstreams"].as_array().cloned().unwrap_or_default() {
        let [service, address, running, waiting, limit] =
            ["service", "address", "running", "waiting", "limit"]
                .map(|k| table::cell(&upstream[k]));
        cx.line(format!(
            "{:<12}{service} at {address}: {running} of {limit} running, {waiting} waiting",
            "upstream"
        ))?;
    }
    Ok(())
}

pub(super) async fn burn_report(cx: &mut Context<'_>) -> Result<(), Error> {
    let requested = cx.cli.value::<String>("format")?;
    let format = requested.unwrap_or_else(|| if cx.cli.json { "json" } else { "text" }.to_owned());
    let path = format!("/v1/report/burn?format={format}");
    let report = cx.client.text(Method::GET, &path, String::new()).await?;
    match cx.cli.value::<String>("output")? {
        None => cx.print(&report),
        Some(file) => std::fs::write(&file, report)
            .map_err(|e| Error::new(ExitStatus::Failure, format!("cannot write {file}: {e}"))),
    }
}
