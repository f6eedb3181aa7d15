//! Object store with immutable objects: rewriting the same content succeeds, other content is
//! refused.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use bytes::Bytes;

use super::Shared;

/// Objects by name.
#[derive(Debug, Default)]
pub(super) struct Objects(Mutex<HashMap<String, Bytes>>);

pub(super) async fn read(State(shared): State<Arc<Shared>>, Path(name): Path<String>) -> Response {
    let objects = shared.objects.0.lock().unwrap_or_else(PoisonError::into_inner);
    match objects.get(&name) {
        Some(body) => body.clone().into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

pub(super) async fn write(
    State(shared): State<Arc<Shared>>,
    Path(name): Path<String>,
    body: Bytes,
) -> StatusCode {
    let mut objects = shared.objects.0.lock().unwrap_or_else(PoisonError::into_inner);
    match objects.get(&name) {
        Some(stored) if *stored == body => StatusCode::OK,
        Some(_) => StatusCode::PRECONDITION_FAILED,
        None => {
            objects.insert(name, body);
            StatusCode::CREATED
        }
    }
}
