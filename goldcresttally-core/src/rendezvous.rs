//! Rendezvous (highest-random-weight) hashing.
//!
//! Nodes that know the same candidates choose the same one for a key without communicating.

use std::hash::{BuildHasher, Hash};

use rustc_hash::FxBuildHasher;

/// Returns the weight of `candidate` for `key`; the candidate with the highest weight is chosen.
pub fn weight(candidate: impl Hash, key: impl Hash) -> u64 {
    mix(FxBuildHasher.hash_one((candidate, key)))
}

/// Returns the candidate with the highest weight for `key`, or `None` if there are none.
pub fn choose<T: Hash + Copy>(candidates: impl IntoIterator<Item = T>, key: &str) -> Option<T> {
    candidates.into_iter().max_by_key(|c| weight(c, key))
}

/// Mixes the bits of a hash with the finalizer of `SplitMix64`.
fn mix(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
