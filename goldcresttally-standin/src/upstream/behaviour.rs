//! How an upstream behaves; can be changed while it runs.

use serde::{Deserialize, Serialize};

/// How an upstream behaves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Behaviour {
    /// Calls that it runs at once.
    pub slots: u32,
    /// Calls that wait for a slot before it sheds.
    pub backlog: u32,
    /// Time that one call takes, in milliseconds.
    pub service_ms: f64,
    /// Time after its start during which it is not ready, in milliseconds.
    pub cold_start_ms: u64,
    /// Whether it finishes what it has and takes nothing new.
    pub draining: bool,
    /// Load that `/load` reports instead of the true one.
    pub reported_load: Option<f64>,
    /// Answer that `/health` gives instead of the true one.
    pub reported_health: Option<bool>,
    /// Size of the answer's padding, in bytes.
    pub answer_bytes: usize,
    /// Whether it sheds whatever comes.
    pub sheds: bool,
    /// Whether it breaks off its answers half-way.
    pub truncates: bool,
    /// Whether it runs calls but never answers.
    pub mute: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            slots: 8,
            backlog: 64,
            service_ms: 5.0,
            cold_start_ms: 0,
            draining: false,
            reported_load: None,
            reported_health: None,
            answer_bytes: 0,
            sheds: false,
            truncates: false,
            mute: false,
        }
    }
}
