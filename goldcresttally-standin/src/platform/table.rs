//! Table service: rows with revisions and conditional transactions.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use axum::Json;
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::http::header::ETAG;
use axum::response::{IntoResponse, Response};
use goldcresttally_store::table::Change;
use goldcresttally_store::{Expected, Row, Transaction, Write};
use serde::Deserialize;
use serde_json::json;

use super::Shared;

#[derive(Debug, Default)]
struct Rows {
    rows: BTreeMap<String, Row>,
    revision: u64,
}

/// In-memory table with atomic transactions.
#[derive(Debug, Default)]
pub struct Table(Mutex<Rows>);

impl Table {
    /// Returns the row with the key `key`.
    pub fn read(&self, key: &str) -> Option<Row> {
        self.lock().rows.get(key).cloned()
    }

    /// Returns all rows whose key starts with `prefix`, ordered by key.
    pub fn scan(&self, prefix: &str) -> Vec<Row> {
        let rows = self.lock();
        let from = rows.rows.range(prefix.to_owned()..);
        from.take_while(|(key, _)| key.starts_with(prefix)).map(|(_, row)| row.clone()).collect()
    }

    /// Applies all writes of a transaction atomically and returns the new table revision.
    ///
    /// Fails without changing any row if a write's expected revision does not match; the error
    /// holds the keys of all such writes.
    pub fn transact(&self, transaction: &Transaction) -> Result<u64, Vec<String>> {
        let mut table = self.lock();
        let matches_expected = |w: &Write| {
            let revision = table.rows.get(&w.key).map(|row| row.revision);
            match w.expected {
                Expected::Any => true,
                Expected::Absent => revision.is_none(),
                Expected::Revision(expected) => revision == Some(expected),
            }
        };
        let conflicts: Vec<_> = transaction
            .writes
            .iter()
            .filter(|w| !matches_expected(w))
            .map(|w| w.key.clone())
            .collect();
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        table.revision += 1;
        let revision = table.revision;
        for write in &transaction.writes {
            let key = write.key.clone();
            match &write.change {
                Change::Keep => {}
                Change::Put(value) => {
                    let row = Row { key: key.clone(), revision, value: value.clone() };
                    table.rows.insert(key, row);
                }
                Change::Delete => {
                    table.rows.remove(&key);
                }
            }
        }
        Ok(revision)
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Deserialize)]
pub(super) struct ScanQuery {
    prefix: String,
}

pub(super) async fn scan(
    State(shared): State<Arc<Shared>>,
    Query(query): Query<ScanQuery>,
) -> Json<Vec<Row>> {
    Json(shared.table.scan(&query.prefix))
}

pub(super) async fn read(State(shared): State<Arc<Shared>>, Path(key): Path<String>) -> Response {
    match shared.table.read(&key) {
        Some(row) => ([(ETAG, format!("\"{}\"", row.revision))], Json(row)).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

pub(super) async fn transact(
    State(shared): State<Arc<Shared>>,
    Json(transaction): Json<Transaction>,
) -> Response {
    match shared.table.transact(&transaction) {
        Ok(revision) => Json(json!({ "revision": revision })).into_response(),
        Err(conflicts) => {
            (StatusCode::CONFLICT, Json(json!({ "conflicts": conflicts }))).into_response()
        }
    }
}
