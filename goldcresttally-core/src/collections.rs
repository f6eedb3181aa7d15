//! Hash collections with a fast, non-cryptographic hasher.

use std::collections::{HashMap, HashSet};

use rustc_hash::FxBuildHasher;

/// Hashes with the fast hasher.
pub type Hasher = rustc_hash::FxHasher;

/// Maps keys to values with the fast hasher; not for keys that a stranger chooses.
pub type Map<K, V> = HashMap<K, V, FxBuildHasher>;

/// Holds unique values with the fast hasher.
pub type Set<T> = HashSet<T, FxBuildHasher>;
