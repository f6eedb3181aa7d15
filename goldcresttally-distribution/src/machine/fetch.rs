//! Decides which version to fetch, when and from which source.

use std::time::Duration;

use goldcresttally_config::Digest;
use goldcresttally_core::{Deadline, MonoTime, NodeId, Version};

use super::{Action, Distribution, Source};

/// Wait after a failed fetch, in milliseconds.
const FETCH_RETRY_MS: u64 = 250;

/// Time without an answer after which another peer is asked as well, in milliseconds.
const PEER_HEDGE_MS: u64 = 400;

/// Maximum number of fetches from peers in flight.
const MAX_PEER_FETCHES: usize = 3;

/// Maximum number of peers remembered as sources of newer versions.
const CANDIDATE_LIMIT: usize = 8;

/// Maximum number of first reports remembered of versions that are not in force yet.
const REPORT_LIMIT: usize = 32;

/// The first report that a version exists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionReport {
    /// The version.
    pub version: Version,
    /// The source of the report.
    pub source: Source,
    /// When it arrived.
    pub at: MonoTime,
}

/// The known sources of newer versions and the fetches in flight.
///
/// The platform and the peers are asked independently: an answer that does not come from one must
/// not delay what another has.
#[derive(Debug, Default)]
pub(super) struct FetchState {
    /// The newest version known to exist.
    newest_known: Version,
    /// The newest version in the table and the digest of its manifest.
    platform: Option<(Version, Digest)>,
    /// When the fetch from the platform in flight times out.
    platform_fetch: Option<Deadline>,
    /// The earliest time of the next fetch from the platform.
    platform_not_before: Option<Deadline>,
    /// Peers with a newer version than this node, latest report first.
    candidates: Vec<(NodeId, Version)>,
    /// The peers that are being asked, and when each fetch times out.
    peer_fetches: Vec<(NodeId, Deadline)>,
    /// The earliest time of the next fetch from a peer while none is in flight.
    not_before: Option<Deadline>,
    /// The earliest time of the next fetch from a peer in addition to those in flight.
    hedge_at: Option<Deadline>,
    /// The first report of each version that is not in force yet, with ascending versions.
    reports: Vec<VersionReport>,
}

impl FetchState {
    pub fn add_platform_source(
        &mut self,
        now: MonoTime,
        version: Version,
        manifest: Option<Digest>,
    ) {
        if let Some(digest) = manifest.filter(|_| version > self.platform_version()) {
            self.platform = Some((version, digest));
            self.record_report(now, Source::Platform, version);
        }
    }

    /// Records that `source` has `version`.
    pub fn record_report(&mut self, now: MonoTime, source: Source, version: Version) {
        if version > self.newest_known && self.reports.len() < REPORT_LIMIT {
            self.reports.push(VersionReport { version, source, at: now });
        }
        self.newest_known = self.newest_known.max(version);
    }

    /// Returns the first report of `version` or of a later one.
    pub fn first_report(&self, version: Version) -> Option<VersionReport> {
        self.reports.iter().find(|report| report.version >= version).copied()
    }

    pub fn add_peer_source(&mut self, now: MonoTime, from: NodeId, version: Version) {
        self.candidates.retain(|(id, _)| *id != from);
        self.candidates.insert(0, (from, version));
        self.candidates.truncate(CANDIDATE_LIMIT);
        self.record_report(now, Source::Peer(from), version);
        self.not_before = Some(Deadline(now));
    }

    /// Records the end of a fetch. A peer has to report a newer version before it is asked again.
    pub fn end_fetch(&mut self, source: Source) {
        match source {
            Source::Platform => self.platform_fetch = None,
            Source::Peer(id) => {
                self.peer_fetches.retain(|(asked, _)| *asked != id);
                self.candidates.retain(|(candidate, _)| *candidate != id);
            }
        }
    }

    pub fn record_failure(&mut self, now: MonoTime, source: Source) {
        self.end_fetch(source);
        let retry_at = Some(Deadline::after(now, Duration::from_millis(FETCH_RETRY_MS)));
        match source {
            Source::Platform => self.platform_not_before = retry_at,
            Source::Peer(_) => self.not_before = retry_at,
        }
    }

    /// Discards the sources of versions up to `version`, which is in force or refused.
    pub fn discard_sources(&mut self, version: Version) {
        self.candidates.retain(|(_, v)| *v > version);
        self.platform = self.platform.filter(|(v, _)| *v > version);
        self.reports.retain(|report| report.version > version);
        if self.newest_known <= version {
            self.not_before = None;
        }
    }

    fn platform_version(&self) -> Version {
        self.platform.map_or(Version(0), |(version, _)| version)
    }

    /// Gives up the fetches that have timed out.
    fn expire(&mut self, now: MonoTime) {
        if self.platform_fetch.is_some_and(|deadline| deadline.is_past(now)) {
            self.record_failure(now, Source::Platform);
        }
        let timed_out = self.peer_fetches.iter().filter(|(_, deadline)| deadline.is_past(now));
        for id in timed_out.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.record_failure(now, Source::Peer(id));
        }
    }

    /// Returns the manifest to fetch from the platform now, if it has a version after `newer_than`.
    fn next_manifest(&self, now: MonoTime, newer_than: Version) -> Option<Digest> {
        let early = self.platform_not_before.is_some_and(|at| !at.is_past(now));
        let (version, digest) = self.platform?;
        (version > newer_than && !early && self.platform_fetch.is_none()).then_some(digest)
    }

    /// Returns the peer to ask now for a version after `newer_than`.
    fn next_peer(&self, now: MonoTime, newer_than: Version) -> Option<NodeId> {
        let next_at = match self.peer_fetches.len() {
            0 => self.not_before,
            MAX_PEER_FETCHES.. => return None,
            _ => self.hedge_at,
        };
        if next_at.is_some_and(|at| !at.is_past(now)) {
            return None;
        }
        let is_asked = |id: &NodeId| self.peer_fetches.iter().any(|(asked, _)| asked == id);
        let mut peers = self.candidates.iter().filter(|(_, version)| *version > newer_than);
        peers.find(|(id, _)| !is_asked(id)).map(|(id, _)| *id)
    }
}

impl Distribution {
    /// Records that a peer has a newer version, and schedules a fetch with a delay in which a push
    /// may still arrive.
    pub(super) fn on_peer_version(
        &mut self,
        now: MonoTime,
        from: NodeId,
        version: Version,
        mean_delay: Duration,
    ) {
        if version <= self.version().max(self.refused) {
            return;
        }
        let known = self.fetch_state.candidates.iter().any(|(id, v)| *id == from && *v == version);
        let scheduled = self.fetch_state.not_before;
        if known && scheduled.is_none() {
            return;
        }
        if !known {
            self.fetch_state.add_peer_source(now, from, version);
        }
        let delay = mean_delay.mul_f64(0.6 + 0.8 * self.rng.f64());
        // A node that is not ready does not wait for a push.
        let delay = if self.ready { delay } else { Duration::ZERO };
        let fetch_at = Deadline::after(now, delay);
        self.fetch_state.not_before = Some(scheduled.map_or(fetch_at, |at| at.min(fetch_at)));
    }

    pub(super) fn fetch_if_due(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        self.fetch_state.expire(now);
        if self.installing.is_some() {
            return;
        }
        let known = self.version();
        let newer_than = known.max(self.refused);
        let deadline = Deadline::after(now, self.options.fetch_timeout);
        if let Some(manifest) = self.fetch_state.next_manifest(now, newer_than) {
            self.fetch_state.platform_fetch = Some(deadline);
            let (source, manifest) = (Source::Platform, Some(manifest));
            actions.push(Action::Fetch { source, manifest, known });
        }
        if self.long_poll.is_arriving(now) {
            // A second transfer would slow the first one down.
            return;
        }
        // A peer is asked only for a version that the platform is not about to deliver.
        let fetching = self.fetch_state.platform_fetch.is_some();
        let platform_version = self.fetch_state.platform.filter(|_| fetching);
        let newer_than = platform_version.map_or(newer_than, |(v, _)| v.max(newer_than));
        if let Some(peer) = self.fetch_state.next_peer(now, newer_than) {
            self.fetch_state.peer_fetches.push((peer, deadline));
            let hedge_after = Duration::from_millis(PEER_HEDGE_MS);
            self.fetch_state.hedge_at = Some(Deadline::after(now, hedge_after));
            actions.push(Action::Fetch { source: Source::Peer(peer), manifest: None, known });
        }
    }
}
