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

/// Time limit for a health check, in milliseconds: the upstream may have to finish a call first. If
/// it does not respond in time, its next announcement decides.
const HEALTH_TIMEOUT_MS: u64 = 1000;

impl Peer {
    /// Returns whether the process `instance` at `address` reports that it accepts calls; false if
    /// it cannot be reached or its service has no health path.
    pub async fn is_healthy(
        &self,
        service: &ServiceName,
        address: SocketAddr,
        instance: &InstanceId,
    ) -> bool {
        let config = self.state.active_config();
        let path = config.snapshot.service(service).and_then(|s| s.health_path.clone());
        let Some(path) = path.and_then(|path| path.parse().ok()) else { return false };
        let mut req = Request::new(full(""));
        *req.uri_mut() = path;
        headers::set(req.headers_mut(), HOST, &address);
        let pool = UpstreamPool::new(address, self.state.clock);
        let limit = Duration::from_millis(HEALTH_TIMEOUT_MS);
        let check = pool.send(&*self.transport, &self.tasks, req, ConnectionChoice::New);
        let Ok(Ok((response, _connection))) = tokio::time::timeout(limit, check).await else {
            return false;
        };
        let name = self.state.conventions.health_instance.as_ref();
        let named: Option<InstanceId> =
            name.and_then(|name| headers::parse(response.headers(), name));
        response.status() == StatusCode::OK && named.is_none_or(|named| named == *instance)
    }
}
