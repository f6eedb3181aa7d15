//! Read access to the membership view, and its hashes for anti-entropy repair.

use goldcresttally_core::{NodeId, Version, rendezvous};

use super::{Membership, Options};
use crate::record::{Record, Status};

/// Number of buckets into which the records are hashed for anti-entropy repair.
pub const HASH_BUCKETS: usize = 64;

/// The configuration versions that one node has reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionReport {
    /// The node.
    pub id: NodeId,
    /// The newest version reported in force at its address.
    pub version: Version,
    /// The newest version that it reported as refused; 0 if none.
    pub refused: Version,
    /// Its liveness.
    pub status: Status,
}

impl Membership {
    /// Returns the protocol's options.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Returns this node's own record.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// Returns the records of all other known nodes, including dead ones, in unspecified order.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.members.values().map(|m| &m.record)
    }

    /// Returns the records of the other members, alive or suspect, in unspecified order.
    pub fn members(&self) -> impl Iterator<Item = &Record> {
        self.records().filter(|r| r.status.is_member())
    }

    /// Returns whether this node has lost contact with most members at once.
    pub fn is_isolated(&self) -> bool {
        self.isolated
    }

    /// Returns the reported versions of all nodes including this one, ordered by node.
    pub fn versions(&self) -> Vec<VersionReport> {
        let own = VersionReport {
            id: self.own.id,
            version: self.version,
            refused: self.refused,
            status: self.own.status,
        };
        let mut reports: Vec<_> = self
            .members
            .values()
            .map(|m| VersionReport {
                id: m.record.id,
                version: m.version,
                refused: m.refused,
                status: m.record.status,
            })
            .chain([own])
            .collect();
        reports.sort_unstable_by_key(|r| r.id);
        reports
    }

    /// Returns the newest version ever reported from the address `id`; 0 if none is known.
    pub fn version_floor(&self, id: NodeId) -> Version {
        self.members.get(&id).map_or(Version(0), |m| m.version)
    }

    /// Returns the latest generation known at the address `id`.
    pub fn generation_at(&self, id: NodeId) -> Option<goldcresttally_core::Generation> {
        self.members.get(&id).map(|m| m.record.generation)
    }

    /// Returns one hash per bucket over the precedence of its records; equal hashes mean the same
    /// generation, incarnation and status of every node.
    pub fn bucket_hashes(&self) -> [u64; HASH_BUCKETS] {
        let mut hashes = [0; HASH_BUCKETS];
        for record in self.records().chain([&self.own]) {
            let key = (record.precedence().0, record.precedence().1, record.status as u8);
            hashes[bucket(record.id)] ^= rendezvous::weight(record.id, key);
        }
        hashes
    }

    /// Returns the records in the buckets whose hash in `theirs` differs from this node's, ordered
    /// by node.
    pub fn differing_records(&self, theirs: &[u64]) -> Vec<Record> {
        let ours = self.bucket_hashes();
        let differs = |r: &&Record| {
            let at = bucket(r.id);
            theirs.get(at) != Some(&ours[at])
        };
        let mut records: Vec<_> =
            self.records().chain([&self.own]).filter(differs).cloned().collect();
        records.sort_unstable_by_key(|r| r.id);
        records
    }

    pub(super) fn member_ids(&self) -> Vec<NodeId> {
        self.members().map(|r| r.id).collect()
    }

    /// Returns up to `count` distinct random members.
    pub(super) fn random_members(&mut self, count: usize) -> Vec<NodeId> {
        let mut ids = self.member_ids();
        // Sorted because the iteration order of a hash map would make replays nondeterministic.
        ids.sort_unstable();
        let count = count.min(ids.len());
        for i in 0..count {
            let other = self.rng.usize(i..ids.len());
            ids.swap(i, other);
        }
        ids.truncate(count);
        ids
    }
}

fn bucket(id: NodeId) -> usize {
    rendezvous::weight(id, 0u8) as usize % HASH_BUCKETS
}
