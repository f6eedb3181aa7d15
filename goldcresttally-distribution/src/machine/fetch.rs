//! Decides which version to fetch, when and from which source.

use std::time::Duration;

use goldcresttally_config::Digest;
use goldcresttally_core::{Deadline, MonoTime, NodeId, Version};

use super::{Action, Distribution, Source};

/// Wait after a failed fetch, in milliseconds.
const FETCH_RETRY_MS: u64 = 250;

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

/// The known sources of newer versions and the fetch in flight.
#[derive(Debug, Default)]
pub(super) struct FetchState {
    /// The newest version known to exist.
    newest_known: Version,
    /// The newest version in the table and the digest of its manifest.
    platform: Option<(Version, Digest)>,
    /// Peers with a newer version than this node, latest report first.
    candidates: Vec<(NodeId, Version)>,
    /// The source of the fetch in flight, and when it times out.
    in_flight: Option<(Source, Deadline)>,
    /// The earliest time of the next fetch.
    not_before: Option<Deadline>,
    /// Number of failed fetches; selects the next source in turn.
    tries: usize,
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

    pub fn clear_in_flight(&mut self, source: Source) {
        if self.in_flight.is_some_and(|(s, _)| s == source) {
            self.in_flight = None;
        }
    }

    pub fn record_failure(&mut self, now: MonoTime, source: Source) {
        self.clear_in_flight(source);
        self.tries += 1;
        if let Source::Peer(id) = source {
            self.candidates.retain(|(c, _)| *c != id);
        }
        self.not_before = Some(Deadline::after(now, Duration::from_millis(FETCH_RETRY_MS)));
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

    /// Returns the source of the next fetch: peers before the platform, each tried in turn.
    fn choose_source(&self, newer_than: Version) -> Option<(Source, Option<Digest>)> {
        let peers = self.candidates.iter().filter(|(_, v)| *v > newer_than);
        let mut sources: Vec<_> = peers.map(|(id, _)| (Source::Peer(*id), None)).collect();
        if let Some((_, digest)) = self.platform.filter(|(v, _)| *v > newer_than) {
            sources.push((Source::Platform, Some(digest)));
        }
        let index = self.tries.checked_rem(sources.len())?;
        Some(sources[index])
    }
}

impl Distribution {
    /// Records that a peer has a newer version, and schedules a fetch with a delay in which a push
    /// may still arrive.
    pub(super) fn on_peer_version(&mut self, now: MonoTime, from: NodeId, version: Version) {
        if version <= self.version().max(self.refused) {
            return;
        }
        let known = self.fetch_state.candidates.iter().any(|(id, v)| *id == from && *v == version);
        if known {
            return;
        }
        let scheduled = self.fetch_state.not_before;
        self.fetch_state.add_peer_source(now, from, version);
        let delay = self.options.repair_delay.mul_f64(0.6 + 0.8 * self.rng.f64());
        // A node that is not ready does not wait for a push.
        let delay = if self.ready { delay } else { Duration::ZERO };
        self.fetch_state.not_before = scheduled.or(Some(Deadline::after(now, delay)));
    }

    pub(super) fn fetch_if_due(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        if self.fetch_state.in_flight.is_some_and(|(_, deadline)| deadline.is_past(now)) {
            self.fetch_state.in_flight = None;
            self.fetch_state.tries += 1;
        }
        let busy = self.installing.is_some() || self.fetch_state.in_flight.is_some();
        let early = self.fetch_state.not_before.is_some_and(|d| !d.is_past(now));
        if busy || early {
            return;
        }
        let newer_than = self.version().max(self.refused);
        let Some((source, manifest)) = self.fetch_state.choose_source(newer_than) else {
            return;
        };
        let deadline = Deadline::after(now, self.options.fetch_timeout);
        self.fetch_state.in_flight = Some((source, deadline));
        actions.push(Action::Fetch { source, manifest, known: self.version() });
    }
}
