//! The line of JSON that each experiment ends with.

use serde_json::Value;

/// What an experiment found.
#[derive(Debug, Clone)]
pub struct Report {
    /// Whether all invariants held.
    pub ok: bool,
    /// The figures.
    pub figures: Value,
}

impl Report {
    /// Prints the figures as one line of JSON on standard output.
    pub fn print(&self) {
        let mut line = self.figures.clone();
        line["ok"] = self.ok.into();
        println!("{line}");
    }
}

/// Returns a figure with three decimals.
pub fn rounded(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}
