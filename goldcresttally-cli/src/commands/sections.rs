//! Commands that list, read, write and remove section drafts.

use std::io::Read;

use http::Method;

use super::{Context, table};
use crate::errors::{Error, ExitStatus};

pub(super) async fn list(cx: &mut Context<'_>) -> Result<(), Error> {
    let list = cx.client.json(Method::GET, "/v1/sections", String::new()).await?;
    if cx.json(&list)? {
        return Ok(());
    }
    let rows = table::rows(&list, &["name", "owner", "revision", "digest"]);
    cx.print(&table::render(&["SECTION", "OWNER", "REVISION", "DIGEST"], &rows))
}

pub(super) async fn get(cx: &mut Context<'_>, name: &str) -> Result<(), Error> {
    let path = match cx.cli.value::<u64>("version")? {
        Some(version) => format!("/v1/sections/{name}?version={version}"),
        None => format!("/v1/sections/{name}"),
    };
    let draft = cx.client.json(Method::GET, &path, String::new()).await?;
    if cx.json(&draft)? {
        return Ok(());
    }
    // Goes to standard error, because standard output may be redirected to the file to edit.
    if let Some(revision) = draft["revision"].as_u64() {
        eprintln!("revision {revision}");
    }
    cx.print(draft["body"].as_str().unwrap_or_default())
}

pub(super) async fn put(cx: &mut Context<'_>, name: &str, file: &str) -> Result<(), Error> {
    let text = read_input(file)?;
    let revision = cx.cli.value::<u64>("revision")?.unwrap_or(0);
    let path = format!("/v1/sections/{name}?revision={revision}");
    let written = cx.client.json(Method::PUT, &path, text).await?;
    if cx.json(&written)? {
        return Ok(());
    }
    cx.line(format!("section {name} is at revision {}", written["revision"]))
}

pub(super) async fn remove(cx: &mut Context<'_>, name: &str) -> Result<(), Error> {
    let revision = cx.cli.value::<u64>("revision")?;
    let revision = revision.ok_or_else(|| Error::usage("section rm requires --revision N"))?;
    let path = format!("/v1/sections/{name}?revision={revision}");
    cx.client.json(Method::DELETE, &path, String::new()).await?;
    let removed = serde_json::json!({ "name": name, "removed": true });
    if cx.json(&removed)? {
        return Ok(());
    }
    cx.line(format!("section {name} removed"))
}

fn read_input(file: &str) -> Result<String, Error> {
    let read_error =
        |e: std::io::Error| Error::new(ExitStatus::Usage, format!("cannot read {file}: {e}"));
    if file != "-" {
        return std::fs::read_to_string(file).map_err(read_error);
    }
    let mut text = String::new();
    std::io::stdin().read_to_string(&mut text).map_err(read_error)?;
    Ok(text)
}
