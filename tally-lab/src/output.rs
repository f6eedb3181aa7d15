//! JSON report of an experiment.

use serde_json::Value;

/// Result of an experiment.
#[derive(Debug, Clone)]
pub struct Report {
    /// Whether all invariants and bounds held.
    pub ok: bool,
    /// Measured figures, as a JSON object.
    pub figures: Value,
}

impl Report {
    /// Prints the figures and `ok` as one line of JSON on standard output.
    pub fn print(&self) {
        let mut line = self.figures.clone();
        line["ok"] = self.ok.into();
        println!("{line}");
    }
}

/// Rounds to three decimals.
pub fn rounded(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}
