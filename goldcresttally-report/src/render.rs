//! Formats the report as text and as an HTML page with plots.

use std::fmt::Write as _;

use crate::burn::{BurnReport, BurnRow};

/// Width of one minute in a plot, in pixels.
const MINUTE_PX: usize = 4;

/// Height of a plot, in pixels.
const PLOT_HEIGHT_PX: f64 = 60.0;

/// Burn rate at the top of a plot; higher ones are cut off.
const PLOT_MAX_BURN_RATE: f64 = 20.0;

impl BurnReport {
    /// Formats the report as a plain-text table.
    pub fn to_text(&self) -> String {
        let mut text = format!(
            "service-level burn, version {}, {} nodes\n{:<20} {:<12} {:>9} {:>9} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:<6}\n",
            self.version,
            self.nodes,
            "SERVICE",
            "RANK",
            "OBJECTIVE",
            "CALLS",
            "BAD",
            "5 MIN",
            "30 MIN",
            "1 H",
            "6 H",
            "LEFT",
            "P50 MS",
            "P99 MS",
            "ALERT",
        );
        for r in &self.rows {
            let _ = writeln!(
                text,
                "{:<20} {:<12} {:>9} {:>9} {:>8} {:>8.2} {:>8.2} {:>8.2} {:>8.2} {:>7.0}% {:>9.1} {:>9.1} {:<6}",
                r.service,
                r.rank,
                r.objective,
                r.calls,
                r.bad,
                r.burn[0],
                r.burn[1],
                r.burn[2],
                r.burn[3],
                r.budget_left * 100.0,
                r.p50_ms,
                r.p99_ms,
                r.alert,
            );
        }
        for node in &self.missing {
            let _ = writeln!(text, "no answer from {node}");
        }
        text
    }

    /// Formats the report as an HTML page, with a plot of the last hour's burn rates in each row.
    pub fn to_html(&self) -> String {
        let rows: String = self.rows.iter().map(html_row).collect();
        let mut missing = String::new();
        for node in &self.missing {
            let _ = write!(missing, "<li>no answer from {node}</li>");
        }
        format!(
            "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
             <title>Service-level burn</title><style>\
             body{{font-family:sans-serif;margin:2em}}table{{border-collapse:collapse}}\
             td,th{{padding:.3em .8em;text-align:right;border-bottom:1px solid #ddd}}\
             td:first-child,td:nth-child(2),th:first-child,th:nth-child(2){{text-align:left}}\
             .page{{background:#f8c9c4}}.ticket{{background:#fbe7b2}}</style></head><body>\
             <h1>Service-level burn</h1><p>Configuration version {}, {} nodes. A burn rate of 1 \
             uses up the error budget exactly within its period.</p><ul>{missing}</ul><table>\
             <tr><th>Service</th><th>Rank</th><th>Objective</th><th>Calls</th><th>Bad</th>\
             <th>5 min</th><th>30 min</th><th>1 h</th><th>6 h</th><th>Budget left</th>\
             <th>p50 ms</th><th>p99 ms</th><th>Last hour</th></tr>{rows}</table></body></html>\n",
            self.version, self.nodes,
        )
    }
}

fn html_row(row: &BurnRow) -> String {
    let mut burn = String::new();
    for rate in row.burn {
        let _ = write!(burn, "<td>{rate:.2}</td>");
    }
    format!(
        "<tr class=\"{}\"><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td>{burn}\
         <td>{:.0}%</td><td>{:.1}</td><td>{:.1}</td><td>{}</td></tr>\n",
        row.alert,
        row.service,
        row.rank,
        row.objective,
        row.calls,
        row.bad,
        row.budget_left * 100.0,
        row.p50_ms,
        row.p99_ms,
        plot(&row.minutes),
    )
}

/// Returns an SVG bar chart of `minutes` (current minute first), with the oldest on the left.
fn plot(minutes: &[f64]) -> String {
    let width = minutes.len() * MINUTE_PX;
    let mut svg = format!("<svg width=\"{width}\" height=\"{PLOT_HEIGHT_PX}\" role=\"img\">");
    for (age, rate) in minutes.iter().enumerate() {
        let height = (rate.min(PLOT_MAX_BURN_RATE) / PLOT_MAX_BURN_RATE * PLOT_HEIGHT_PX).max(1.0);
        let x = width - (age + 1) * MINUTE_PX;
        let color = if *rate > 1.0 { "#c0392b" } else { "#2c7a7b" };
        let _ = write!(
            svg,
            "<rect x=\"{x}\" y=\"{:.1}\" width=\"{}\" height=\"{height:.1}\" fill=\"{color}\"/>",
            PLOT_HEIGHT_PX - height,
            MINUTE_PX - 1,
        );
    }
    svg.push_str("</svg>");
    svg
}
