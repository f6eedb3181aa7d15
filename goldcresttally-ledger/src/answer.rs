//! Stored answers, so that a caller whose connection broke can still get its answer.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// A complete HTTP response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the approximate memory use of the answer, in bytes.
    pub fn size_bytes(&self) -> usize {
        let header = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
            name.as_str().len() + value.len() + 64
        };
        self.body.len() + self.headers.iter().map(header).sum::<usize>() + 64
    }
}
