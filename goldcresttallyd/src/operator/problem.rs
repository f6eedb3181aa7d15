//! Failures of operator requests, as JSON.

use axum::Json;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use goldcresttally_store::Error;
use serde_json::{Value, json};

use crate::events::{self, emit};

/// Why an operator request failed.
#[derive(Debug)]
pub(super) struct Problem {
    status: StatusCode,
    body: Value,
}

impl Problem {
    pub fn new(status: StatusCode, code: &str, message: impl Into<String>) -> Self {
        Self { status, body: json!({ "code": code, "message": message.into() }) }
    }

    pub fn bad_request(message: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, "bad-request", message)
    }

    pub fn unavailable(message: impl Into<String>) -> Self {
        Self::new(StatusCode::SERVICE_UNAVAILABLE, "unavailable", message)
    }

    fn with(mut self, key: &str, value: Value) -> Self {
        self.body[key] = value;
        self
    }
}

impl From<Error> for Problem {
    fn from(error: Error) -> Self {
        let text = error.to_string();
        match error {
            Error::Conflict { keys } => {
                Self::new(StatusCode::CONFLICT, "conflict", text).with("rows", json!(keys))
            }
            Error::Stale { current, .. } => Self::new(StatusCode::CONFLICT, "stale-revision", text)
                .with("current_revision", json!(current)),
            Error::NotOwner { owner, .. } => {
                Self::new(StatusCode::FORBIDDEN, "not-owner", text).with("owner", json!(owner))
            }
            Error::Missing { .. } => Self::new(StatusCode::NOT_FOUND, "not-found", text),
            Error::Invalid { error } => {
                Self::new(StatusCode::UNPROCESSABLE_ENTITY, "invalid-document", text)
                    .with("section", json!(error.section))
                    .with("path", json!(error.path))
                    .with("line", json!(error.line))
            }
            Error::Unavailable { .. } => Self::unavailable(text),
            Error::AnswerLost { .. } => Self::new(StatusCode::GATEWAY_TIMEOUT, "answer-lost", text),
            Error::Refused { .. } | Error::Corrupt { .. } => {
                Self::new(StatusCode::BAD_GATEWAY, "platform-error", text)
            }
        }
    }
}

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        if self.status.is_client_error() {
            emit(
                events::OPERATOR_REQUEST_REFUSED,
                format_args!("{} {}", self.status.as_u16(), self.body),
            );
        }
        (self.status, Json(json!({ "error": self.body }))).into_response()
    }
}

/// Answers a path that there is not.
pub(super) async fn not_found() -> Problem {
    Problem::new(StatusCode::NOT_FOUND, "not-found", "no such path")
}
