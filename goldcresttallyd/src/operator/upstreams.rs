//! Handlers for announcements and withdrawals of the upstreams beside this node.

use std::net::{IpAddr, SocketAddr};

use axum::Extension;
use axum::Json;
use axum::extract::State;
use axum::extract::rejection::JsonRejection;
use axum::http::StatusCode;
use goldcresttally_core::ServiceName;
use goldcresttally_membership::Announcement;
use goldcresttally_membership::registry::LEASE_MS;
use serde::Deserialize;
use serde_json::{Value, json};

use super::problem::Problem;
use super::{OperatorApi, Shared};
use crate::control::Command;

/// Maximum number of slots that an upstream may announce.
const MAX_SLOTS: u32 = 65_536;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Announced {
    service: ServiceName,
    address: SocketAddr,
    slots: u32,
    state: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Withdrawn {
    service: ServiceName,
    address: SocketAddr,
}

pub(super) async fn announce(
    State(operator): State<Shared>,
    Extension(from): Extension<SocketAddr>,
    body: Result<Json<Announced>, JsonRejection>,
) -> Result<Json<Value>, Problem> {
    operator.check_local(from.ip())?;
    let Json(body) = body.map_err(|e| Problem::bad_request(e.body_text()))?;
    if !(1..=MAX_SLOTS).contains(&body.slots) {
        return Err(Problem::bad_request(format!("slots must be from 1 to {MAX_SLOTS}")));
    }
    let state = body
        .state
        .parse()
        .map_err(|e: goldcresttally_core::Error| Problem::bad_request(e.to_string()))?;
    let Announced { service, address, slots, .. } = body;
    let announcement = Announcement {
        service,
        address,
        slots,
        state,
        process: None,
        release: None,
        cold_left: std::time::Duration::ZERO,
    };
    operator.send_command(|reply| Command::Announce(announcement, reply)).await?;
    Ok(Json(json!({ "lease_ms": LEASE_MS })))
}

pub(super) async fn withdraw(
    State(operator): State<Shared>,
    Extension(from): Extension<SocketAddr>,
    body: Result<Json<Withdrawn>, JsonRejection>,
) -> Result<StatusCode, Problem> {
    operator.check_local(from.ip())?;
    let Json(body) = body.map_err(|e| Problem::bad_request(e.body_text()))?;
    let known =
        operator.send_command(|reply| Command::Withdraw(body.service, body.address, reply)).await?;
    if known {
        return Ok(StatusCode::NO_CONTENT);
    }
    Err(Problem::new(StatusCode::NOT_FOUND, "not-found", "no such upstream"))
}

impl OperatorApi {
    /// Refuses requests from other VMs, since an upstream announces itself only to its own node.
    fn check_local(&self, from: IpAddr) -> Result<(), Problem> {
        let own = self.settings.node.operator.ip();
        if from.is_loopback() || from == own {
            return Ok(());
        }
        let message = "upstreams announce themselves to the node on their own VM";
        Err(Problem::new(StatusCode::FORBIDDEN, "not-local", message))
    }
}
