//! Answers that are kept for a while, so that one whose connection broke can be given again.

use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the memory that the answer takes, in bytes, roughly.
    pub fn size_bytes(&self) -> usize {
        let header = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
            name.as_str().len() + value.len() + 64
        };
        self.body.len() + self.headers.iter().map(header).sum::<usize>() + 64
    }
}
