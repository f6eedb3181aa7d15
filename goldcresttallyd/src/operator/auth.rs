//! Authentication by bearer tokens, each of which belongs to one team.

use axum::http::header::AUTHORIZATION;
use axum::http::{HeaderMap, StatusCode};
use goldcresttally_config::Digest;
use goldcresttally_core::TeamName;

use super::OperatorApi;
use super::problem::Problem;

impl OperatorApi {
    /// Returns the team that the request's bearer token belongs to.
    ///
    /// # Errors
    ///
    /// Returns a 401 problem if the header is missing or malformed, or the token is unknown.
    pub(super) fn authenticate(&self, headers: &HeaderMap) -> Result<TeamName, Problem> {
        let unauthorized = |m: &str| Problem::new(StatusCode::UNAUTHORIZED, "unauthorized", m);
        let value = headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
        let Some(token) = value.and_then(|v| v.strip_prefix("Bearer ")) else {
            return Err(unauthorized("expected `Authorization: Bearer TOKEN`"));
        };
        // Digests are compared instead of tokens, so the timing reveals nothing about a token.
        let digest = Digest::of(token.trim().as_bytes());
        let team = self.settings.teams.iter().find(|(_, t)| t.token_sha256 == digest);
        team.map(|(name, _)| name.clone()).ok_or_else(|| unauthorized("no team has this token"))
    }
}
