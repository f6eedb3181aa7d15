//! Read access to the view, and its hashes for repair.

use goldcresttally_core::{NodeId, Version, rendezvous};

use super::{Membership, Options};
use crate::record::{Record, Status};

/// Buckets into which the view is hashed for repair.
pub const HASH_BUCKETS: usize = 64;

/// What is known of one node's version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionReport {
    /// The node.
    pub id: NodeId,
    /// The newest version that it told it has in force.
    pub version: Version,
    /// The newest version that it told it refused; 0 when none.
    pub refused: Version,
    /// Whether it is alive, suspect, dead or left.
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

    /// Returns the records of all other nodes known, dead ones too, in no stated order.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.members.values().map(|m| &m.record)
    }

    /// Returns the records of the other members, in no stated order.
    pub fn members(&self) -> impl Iterator<Item = &Record> {
        self.records().filter(|r| r.status.is_member())
    }

    /// Tells whether this node has lost sight of most members at once.
    pub fn is_isolated(&self) -> bool {
        self.isolated
    }

    /// Returns what is known of the versions of all nodes, this one included, ordered.
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

    /// Returns the newest version that was ever told from the address `id`.
    pub fn version_floor(&self, id: NodeId) -> Version {
        self.members.get(&id).map_or(Version(0), |m| m.version)
    }

    /// Returns the generation last seen at the address `id`.
    pub fn generation_at(&self, id: NodeId) -> Option<goldcresttally_core::Generation> {
        self.members.get(&id).map(|m| m.record.generation)
    }

    /// Hashes the view by buckets; equal hashes mean equal claims.
    pub fn bucket_hashes(&self) -> [u64; HASH_BUCKETS] {
        let mut hashes = [0; HASH_BUCKETS];
        for record in self.records().chain([&self.own]) {
            let claim = (record.precedence().0, record.precedence().1, record.status as u8);
            hashes[bucket(record.id)] ^= rendezvous::weight(record.id, claim);
        }
        hashes
    }

    /// Returns the claims of the buckets in which `theirs` differs from this node's hashes.
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

    /// Returns up to `count` members chosen at random, each once.
    pub(super) fn random_members(&mut self, count: usize) -> Vec<NodeId> {
        let mut ids = self.member_ids();
        // The order of a hash map must not leak into a replay.
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
