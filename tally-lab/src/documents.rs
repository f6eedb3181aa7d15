//! Configuration sections for experiments.

use std::fmt::Write as _;

/// Ranks that all experiments use, the most urgent first.
pub const RANKS: [&str; 3] = ["urgent", "normal", "least"];

/// Returns the section that defines the ranks.
pub fn ranks_section() -> String {
    "ranks:\n  \
     urgent: {order: 0, target_ms: 250, worth: 10, floor: 0.0}\n  \
     normal: {order: 1, target_ms: 1000, worth: 3, floor: 0.1}\n  \
     least: {order: 2, target_ms: 5000, worth: 1, floor: 0.05}\n"
        .to_owned()
}

/// Returns the section of one service, with idempotent, non-idempotent and keyed routes per rank.
///
/// Paths are `/SERVICE/RANK/read`, `/SERVICE/RANK/write` and `/SERVICE/RANK/keyed`.
pub fn service_section(name: &str, timeout_ms: u64, queue: usize) -> String {
    let mut text = format!("services:\n  {name}: {{queue: {queue}, objective: 0.99}}\nroutes:\n");
    for rank in RANKS {
        let head = format!("service: {name}, rank: {rank}, timeout_ms: {timeout_ms}");
        let _ = write!(
            text,
            "- {{path: /{name}/{rank}/read, {head}, idempotent: true}}\n\
             - {{path: /{name}/{rank}/write, {head}, idempotent: false}}\n\
             - {{path: /{name}/{rank}/keyed, {head}, idempotent: false, key: required}}\n",
        );
    }
    text
}

/// Returns the section of a service without routes, whose queue limit depends on `change`: content
/// for rollouts that do not affect calls.
pub fn filler_section(name: &str, change: usize) -> String {
    format!("services:\n  {name}: {{queue: {}}}\n# {}\n", 10 + change % 1000, "x".repeat(1500))
}
