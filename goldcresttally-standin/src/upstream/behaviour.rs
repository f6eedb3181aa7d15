//! Configurable behaviour of an upstream, which can be changed at run time.

use serde::{Deserialize, Serialize};

/// Configurable behaviour of an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Behaviour {
    /// Maximum number of calls that run concurrently.
    pub slots: u32,
    /// Number of calls that may wait for a slot. Enforced only at 0, where a call that finds no
    /// free slot is shed.
    pub backlog: u32,
    /// Service time of a call without an `x-service-ms` header, in milliseconds.
    pub service_ms: f64,
    /// Time from the start until the upstream is ready, in milliseconds.
    pub cold_start_ms: u64,
    /// Whether the upstream is draining: calls in progress finish, new calls are shed.
    pub draining: bool,
    /// Load that `/load` reports instead of the actual one.
    pub reported_load: Option<f64>,
    /// Health that `/health` reports instead of the actual one.
    pub reported_health: Option<bool>,
    /// Padding added to the response body, in bytes.
    pub answer_bytes: usize,
    /// Whether every call is shed.
    pub sheds: bool,
    /// Whether responses are truncated after the call ran.
    pub truncates: bool,
    /// Whether calls are run but never answered.
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
