//! Formatting of plain-text tables.

use serde_json::Value;

/// Formats rows under headings; each column is as wide as its widest cell.
pub(super) fn render(headings: &[&str], rows: &[Vec<String>]) -> String {
    let width = |i: usize| {
        let cells = rows.iter().filter_map(|r| r.get(i)).map(|c| c.chars().count());
        cells.chain([headings[i].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..headings.len()).map(width).collect();
    let line = |cells: Vec<&str>| {
        let padded: Vec<String> =
            cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        format!("{}\n", padded.join("  ").trim_end())
    };
    let mut text = line(headings.to_vec());
    for row in rows {
        text.push_str(&line(row.iter().map(String::as_str).collect()));
    }
    text
}

/// Formats a JSON value as the text of a cell; `null` becomes `-`.
pub(super) fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

/// Returns one row for each object of a JSON list, with one cell for each of `keys`.
pub(super) fn rows(list: &Value, keys: &[&str]) -> Vec<Vec<String>> {
    let items = list.as_array().map_or(&[][..], Vec::as_slice);
    items.iter().map(|item| keys.iter().map(|k| cell(&item[*k])).collect()).collect()
}
