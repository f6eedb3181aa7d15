//! Hash collections with a fast, non-cryptographic hasher.
//!
//! The hasher does not resist collision attacks: do not use it for keys that untrusted parties
//! choose.

use std::collections::{HashMap, HashSet};

use rustc_hash::FxBuildHasher;

/// The fast hasher.
pub type Hasher = rustc_hash::FxHasher;

/// A hash map with the fast hasher.
pub type Map<K, V> = HashMap<K, V, FxBuildHasher>;

/// A hash set with the fast hasher.
pub type Set<T> = HashSet<T, FxBuildHasher>;
