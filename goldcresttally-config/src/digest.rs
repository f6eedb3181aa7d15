//! SHA-256 digests that identify section bodies and manifests.

use std::fmt;
use std::str::FromStr;

use goldcresttally_core::errors::invalid;
use serde::{Deserialize, Serialize};
use sha2::Digest as _;

/// A SHA-256 digest, written as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Computes the digest of `body`.
    pub fn of(body: &[u8]) -> Self {
        Self(sha2::Sha256::digest(body).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Digest {
    type Err = goldcresttally_core::Error;

    fn from_str(text: &str) -> goldcresttally_core::Result<Self> {
        let malformed = || invalid("digest", text, "64 hexadecimal digits");
        if text.len() != 64 || !text.is_ascii() {
            return malformed();
        }
        let mut bytes = [0; 32];
        for (i, byte) in bytes.iter_mut().enumerate() {
            match u8::from_str_radix(&text[2 * i..2 * i + 2], 16) {
                Ok(value) => *byte = value,
                Err(_) => return malformed(),
            }
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for Digest {
    type Error = goldcresttally_core::Error;

    fn try_from(text: String) -> goldcresttally_core::Result<Self> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}
