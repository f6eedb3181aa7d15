//! HTTP client of the platform's table service and object store.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

use crate::BoxFuture;
use crate::errors::{Error, Result, corrupt};
use crate::object::ObjectStore;
use crate::table::{Row, TableStore, Transaction};

/// Timeout of a request to the platform, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 1500;

/// Timeout for connecting to the platform, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// Maximum size of a response from the platform, in bytes.
const RESPONSE_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// A client of the platform at one address.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

#[derive(Deserialize)]
struct Committed {
    revision: u64,
}

#[derive(Deserialize)]
struct Conflicts {
    conflicts: Vec<String>,
}

impl HttpPlatform {
    /// Creates a client of the platform at `address`, which connects on first use.
    ///
    /// Connections are made from the address `local`, if given and not unspecified.
    pub fn new(address: SocketAddr, local: Option<IpAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_local_address(local.filter(|ip| !ip.is_unspecified()));
        connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(20))
            .build(connector);
        Self { address, client }
    }

    async fn send(&self, method: Method, path: &str, body: Bytes) -> Result<(StatusCode, Bytes)> {
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|e| Error::Refused { cause: e.to_string() })?;
        let limit = Duration::from_millis(REQUEST_TIMEOUT_MS);
        match tokio::time::timeout(limit, self.exchange(req)).await {
            Ok(result) => result,
            Err(elapsed) => Err(Error::AnswerLost { cause: elapsed.to_string() }),
        }
    }

    async fn exchange(&self, req: Request<Full<Bytes>>) -> Result<(StatusCode, Bytes)> {
        let res = self.client.request(req).await.map_err(|e| match e.is_connect() {
            true => Error::Unavailable { cause: e.to_string() },
            false => Error::AnswerLost { cause: e.to_string() },
        })?;
        let status = res.status();
        let body = Limited::new(res.into_body(), RESPONSE_LIMIT_BYTES)
            .collect()
            .await
            .map_err(|e| Error::AnswerLost { cause: e.to_string() })?;
        Ok((status, body.to_bytes()))
    }
}

/// Returns the error for an unexpected status.
fn status_error(status: StatusCode, body: &Bytes) -> Error {
    let cause = format!("{status}: {}", String::from_utf8_lossy(&body[..body.len().min(200)]));
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            Error::Unavailable { cause }
        }
        s if s.is_server_error() => Error::AnswerLost { cause },
        _ => Error::Refused { cause },
    }
}

fn decode<'a, T: Deserialize<'a>>(key: &str, body: &'a Bytes) -> Result<T> {
    serde_json::from_slice(body).map_err(|e| corrupt(key, &e))
}

/// Percent-encodes all bytes of `key` except ASCII letters, digits, `-`, `.`, `_` and `/`.
fn percent_encode(key: &str) -> String {
    let mut encoded = String::with_capacity(key.len());
    for byte in key.bytes() {
        match byte {
            b if b.is_ascii_alphanumeric() || b"-._/".contains(&b) => encoded.push(char::from(b)),
            b => encoded.push_str(&format!("%{b:02X}")),
        }
    }
    encoded
}

impl TableStore for HttpPlatform {
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>>> {
        Box::pin(async move {
            let path = format!("/table/rows/{}", percent_encode(key));
            match self.send(Method::GET, &path, Bytes::new()).await? {
                (StatusCode::OK, body) => decode(key, &body).map(Some),
                (StatusCode::NOT_FOUND, _) => Ok(None),
                (status, body) => Err(status_error(status, &body)),
            }
        })
    }

    fn scan<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<Row>>> {
        Box::pin(async move {
            let path = format!("/table/rows?prefix={}", percent_encode(prefix));
            match self.send(Method::GET, &path, Bytes::new()).await? {
                (StatusCode::OK, body) => decode(prefix, &body),
                (status, body) => Err(status_error(status, &body)),
            }
        })
    }

    fn transact<'a>(&'a self, transaction: &'a Transaction) -> BoxFuture<'a, Result<u64>> {
        Box::pin(async move {
            let body = serde_json::to_vec(transaction).map_err(|e| corrupt("transaction", &e))?;
            match self.send(Method::POST, "/table/transactions", body.into()).await? {
                (StatusCode::OK, body) => {
                    decode::<Committed>("transaction", &body).map(|c| c.revision)
                }
                (StatusCode::CONFLICT, body) => {
                    let keys = decode::<Conflicts>("transaction", &body)?.conflicts;
                    Err(Error::Conflict { keys })
                }
                (status, body) => Err(status_error(status, &body)),
            }
        })
    }
}

impl ObjectStore for HttpPlatform {
    fn get<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<Option<Bytes>>> {
        Box::pin(async move {
            let path = format!("/objects/{}", percent_encode(name));
            match self.send(Method::GET, &path, Bytes::new()).await? {
                (StatusCode::OK, body) => Ok(Some(body)),
                (StatusCode::NOT_FOUND, _) => Ok(None),
                (status, body) => Err(status_error(status, &body)),
            }
        })
    }

    fn put<'a>(&'a self, name: &'a str, body: Bytes) -> BoxFuture<'a, Result<()>> {
        Box::pin(async move {
            let path = format!("/objects/{}", percent_encode(name));
            match self.send(Method::PUT, &path, body).await? {
                (StatusCode::CREATED | StatusCode::OK | StatusCode::PRECONDITION_FAILED, _) => {
                    Ok(())
                }
                (status, body) => Err(status_error(status, &body)),
            }
        })
    }
}
