//! Client accounts, found by the digest of a key.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use goldcresttally_core::{AccountName, Rate};
use serde::{Deserialize, Serialize};
use sha2::Digest as _;
use subtle::ConstantTimeEq as _;

use super::Rank;

/// The SHA-256 digest of an account's key.
///
/// It is never shown: `Debug` hides it, there is no `Display`, and errors do not repeat the text.
/// Serialization writes 64 hexadecimal digits.
#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(sha2::Sha256::digest(key).into())
    }

    /// Returns the number that the first `bits` bits make.
    fn prefix(&self, bits: u32) -> usize {
        let [a, b, c, d, ..] = self.0;
        u32::from_be_bytes([a, b, c, d]).checked_shr(u32::BITS - bits).unwrap_or(0) as usize
    }
}

/// Compares in constant time.
impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(hidden)")
    }
}

/// A text that is not a key digest. The text is left out, because it may be a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidKeyDigest;

impl fmt::Display for InvalidKeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected the SHA-256 digest of a key as 64 hexadecimal digits")
    }
}

impl std::error::Error for InvalidKeyDigest {}

impl FromStr for KeyDigest {
    type Err = InvalidKeyDigest;

    fn from_str(text: &str) -> Result<Self, InvalidKeyDigest> {
        let digit = |byte: u8| match char::from(byte).to_digit(16) {
            Some(value) => Ok(value as u8),
            None => Err(InvalidKeyDigest),
        };
        let (pairs, rest) = text.as_bytes().as_chunks::<2>();
        let mut bytes = [0; 32];
        if pairs.len() != bytes.len() || !rest.is_empty() {
            return Err(InvalidKeyDigest);
        }
        for (byte, [high, low]) in bytes.iter_mut().zip(pairs) {
            *byte = digit(*high)? << 4 | digit(*low)?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = InvalidKeyDigest;

    fn try_from(text: String) -> Result<Self, InvalidKeyDigest> {
        text.parse()
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        use fmt::Write as _;
        let mut text = String::with_capacity(2 * digest.0.len());
        for byte in digest.0 {
            // Writing to a string cannot fail.
            let _ = write!(text, "{byte:02x}");
        }
        text
    }
}

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// The account's name.
    pub name: AccountName,
    /// Rank of the account's calls; the route's rank when `None`.
    pub rank: Option<Arc<Rank>>,
    /// Maximum calls per second over all nodes; unlimited when `None`.
    pub rate: Option<Rate>,
    /// Calls that may exceed the rate at once.
    pub burst: f64,
}

/// The accounts of a configuration version.
#[derive(Debug, Default)]
pub struct Accounts {
    /// Each key with the position of its account, sorted by the digest.
    keys: Vec<(KeyDigest, u32)>,
    /// For each value of the first bits of a digest, the position in `keys` at which its digests
    /// start, and at the end the number of keys. There are about as many values as keys.
    starts: Vec<u32>,
    /// All accounts, sorted by name.
    by_name: Vec<Arc<Account>>,
    require_keys: bool,
}

impl Accounts {
    /// Indexes accounts with their keys; returns the position of an account one of whose keys is
    /// listed twice, if there is one.
    pub(super) fn index(
        mut accounts: Vec<(Arc<Account>, &[KeyDigest])>,
        require_keys: bool,
    ) -> Result<Self, AccountName> {
        accounts.sort_by(|(a, _), (b, _)| a.name.cmp(&b.name));
        let mut keys: Vec<_> = accounts
            .iter()
            .zip(0..)
            .flat_map(|((_, keys), position)| keys.iter().map(move |key| (*key, position)))
            .collect();
        keys.sort_unstable_by_key(|(key, position)| (key.0, *position));
        if let Some([_, (_, second)]) = keys.array_windows().find(|[(a, _), (b, _)]| a == b) {
            return Err(accounts[*second as usize].0.name.clone());
        }
        let bits = keys.len().next_power_of_two().trailing_zeros();
        let mut starts = vec![0; (1 << bits) + 1];
        for (key, _) in &keys {
            starts[key.prefix(bits) + 1] += 1;
        }
        for value in 1..starts.len() {
            starts[value] += starts[value - 1];
        }
        let by_name = accounts.into_iter().map(|(account, _)| account).collect();
        Ok(Self { keys, starts, by_name, require_keys })
    }

    /// Returns whether there are no accounts.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns whether calls on routes that are not public need a known key: the document has
    /// accounts, or had some that could not be read.
    pub fn require_keys(&self) -> bool {
        self.require_keys || !self.is_empty()
    }

    /// Returns the account of a key.
    ///
    /// The keys with the same first bits are compared in constant time. Their number depends on
    /// these bits, which are part of a hash and say nothing about a key.
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<Account>> {
        let bits = self.starts.len().saturating_sub(1).checked_ilog2()?;
        let value = key.prefix(bits);
        let candidates = self.starts[value] as usize..self.starts[value + 1] as usize;
        let (_, position) = self.keys[candidates].iter().find(|(k, _)| k == key)?;
        self.by_name.get(*position as usize)
    }

    /// Returns all accounts, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.by_name.iter()
    }
}
