//! Health check of a local upstream.

use std::net::SocketAddr;
use std::time::Duration;

use goldcresttally_core::{InstanceId, ServiceName};
use http::header::HOST;
use http::{Request, StatusCode};

use super::Peer;
use super::upstream::{ConnectionChoice, UpstreamPool};
use crate::body::full;
use crate::headers;

/// Time limit for a health check, in milliseconds: the upstream may have to finish a call first.
const HEALTH_TIMEOUT_MS: u64 = 1000;

/// What an upstream's process says about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It accepts calls.
    Serving,
    /// It accepts no calls, or another process has its address.
    NotServing,
    /// It did not answer in time, or was too busy to answer.
    Unknown,
    /// Its service has no health path, so that it cannot be asked.
    NotConfigured,
}

impl Peer {
    /// Asks the process `instance` at `address` whether it accepts calls.
    pub async fn check_health(
        &self,
        service: &ServiceName,
        address: SocketAddr,
        instance: &InstanceId,
    ) -> Health {
        let config = self.state.active_config();
        let Some(service) = config.snapshot.service(service) else { return Health::Unknown };
        let path = service.health_path.clone().and_then(|path| path.parse().ok());
        let Some(path) = path else { return Health::NotConfigured };
        let mut req = Request::new(full(""));
        *req.uri_mut() = path;
        headers::set(req.headers_mut(), HOST, &address);
        let pool = UpstreamPool::new(address, self.state.clock);
        let limit = Duration::from_millis(HEALTH_TIMEOUT_MS);
        let check = pool.send(&*self.transport, &self.tasks, req, ConnectionChoice::New);
        let Ok(Ok((response, _connection))) = tokio::time::timeout(limit, check).await else {
            return Health::Unknown;
        };
        let map = response.headers();
        let conventions = &self.state.conventions;
        let name = conventions.health_instance.as_ref();
        let named: Option<InstanceId> = name.and_then(|name| headers::parse(map, name));
        if named.is_some_and(|named| named != *instance) || conventions.names_leaving(map) {
            return Health::NotServing;
        }
        match response.status() {
            StatusCode::OK => Health::Serving,
            _ if map.contains_key(&conventions.not_run) => Health::Unknown,
            _ => Health::NotServing,
        }
    }
}
