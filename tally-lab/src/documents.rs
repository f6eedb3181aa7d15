//! Configuration documents for experiments.

use std::fmt::Write as _;

/// Ranks that all experiments share, the most urgent first.
pub const RANKS: [&str; 3] = ["urgent", "normal", "least"];

/// Writes the section with the ranks.
pub fn ranks() -> String {
    "ranks:\n  \
     urgent: {order: 0, target_ms: 250, worth: 10, floor: 0.0}\n  \
     normal: {order: 1, target_ms: 1000, worth: 3, floor: 0.1}\n  \
     least: {order: 2, target_ms: 5000, worth: 1, floor: 0.05}\n"
        .to_owned()
}

/// Writes the section of one service with a route for each rank, idempotent and not.
///
/// Paths are `/SERVICE/RANK/read`, `/SERVICE/RANK/write` and `/SERVICE/RANK/keyed`.
pub fn service(name: &str, timeout_ms: u64, queue: usize) -> String {
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

/// Writes a section of a service that only changes its limit, for rollouts that do no harm.
pub fn filler(name: &str, change: usize) -> String {
    format!("services:\n  {name}: {{queue: {}}}\n# {}\n", 10 + change % 1000, "x".repeat(1500))
}
