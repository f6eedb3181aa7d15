//! HTTP client of a node's operator interface.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use crate::errors::{Error, ExitStatus};

/// Time limit for a request including its response body, in seconds.
const REQUEST_TIMEOUT_S: u64 = 15;

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Client of one node's operator interface.
#[derive(Debug, Clone)]
pub struct NodeClient {
    node: SocketAddr,
    token: Option<String>,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl NodeClient {
    /// Creates a client for the operator interface at `node`, with an optional bearer token.
    pub fn new(node: SocketAddr, token: Option<String>) -> Self {
        Self {
            node,
            token,
            client: Client::builder(TokioExecutor::new()).build(HttpConnector::new()),
        }
    }

    /// Sends a request and parses the response body as JSON; an empty body becomes `null`.
    ///
    /// Fails if the node is unreachable, responds with an error status, or the body is not JSON.
    pub async fn json(&self, method: Method, path: &str, body: String) -> Result<Value, Error> {
        let text = self.text(method, path, body).await?;
        if text.is_empty() {
            return Ok(Value::Null);
        }
        serde_json::from_str(&text).map_err(|e| Error::new(ExitStatus::Failure, e.to_string()))
    }

    /// Sends a request and returns the response body as text.
    ///
    /// Fails if the node is unreachable, times out, or responds with an error status.
    pub async fn text(&self, method: Method, path: &str, body: String) -> Result<String, Error> {
        let time_limit = Duration::from_secs(REQUEST_TIMEOUT_S);
        let exchange = self.exchange(method, path, body);
        let result = tokio::time::timeout(time_limit, exchange).await;
        result.unwrap_or_else(|_| Err(self.unavailable("the request timed out")))
    }

    async fn exchange(&self, method: Method, path: &str, body: String) -> Result<String, Error> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.node))
            .header("content-type", "text/plain; charset=utf-8");
        if let Some(token) = &self.token {
            req = req.header("authorization", format!("Bearer {token}"));
        }
        let req =
            req.body(Full::new(Bytes::from(body))).map_err(|e| Error::usage(e.to_string()))?;
        let response = self.client.request(req).await;
        let response = response.map_err(|e| self.unavailable(&e.to_string()))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|e| self.unavailable(&e.to_string()))?.to_bytes();
        let text = String::from_utf8_lossy(&body).into_owned();
        if status.is_success() {
            return Ok(text);
        }
        let error_body = serde_json::from_str(&text).unwrap_or(Value::Null);
        Err(Error::from_response(status.as_u16(), &error_body))
    }

    fn unavailable(&self, cause: &str) -> Error {
        Error::new(ExitStatus::Unavailable, format!("node {}: {cause}", self.node))
    }
}
