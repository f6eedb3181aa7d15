//! Bearer tokens: each belongs to one team.

use axum::http::header::AUTHORIZATION;
use axum::http::{HeaderMap, StatusCode};
use goldcresttally_config::Digest;
use goldcresttally_core::TeamName;

use super::OperatorApi;
use super::problem::Problem;

impl OperatorApi {
    /// Returns the team whose token the request carries.
    pub(super) fn team(&self, headers: &HeaderMap) -> Result<TeamName, Problem> {
        let refused = |m: &str| Problem::new(StatusCode::UNAUTHORIZED, "unauthorized", m);
        let value = headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
        let Some(token) = value.and_then(|v| v.strip_prefix("Bearer ")) else {
            return Err(refused("expected `Authorization: Bearer TOKEN`"));
        };
        // Comparing digests, not tokens: the time it takes tells nothing about the token.
        let digest = Digest::of(token.trim().as_bytes());
        let team = self.settings.teams.iter().find(|(_, t)| t.token_sha256 == digest);
        team.map(|(name, _)| name.clone()).ok_or_else(|| refused("no team has this token"))
    }
}
