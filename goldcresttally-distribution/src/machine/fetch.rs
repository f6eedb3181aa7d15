//! Decides what to fetch, and from where.

use std::time::Duration;

use goldcresttally_config::Digest;
use goldcresttally_core::{Deadline, MonoTime, NodeId, Version};

use super::{Action, Distribution, Source};

/// Wait after a failed fetch, in milliseconds.
const FETCH_RETRY_MS: u64 = 250;

/// Peers remembered as having the wanted version.
const CANDIDATE_LIMIT: usize = 8;

/// What is wanted and what is on its way.
#[derive(Debug, Default)]
pub(super) struct Fetching {
    /// The newest version heard of.
    wanted: Version,
    /// The version and manifest that the table names.
    platform: Option<(Version, Digest)>,
    /// Peers that have a newer version than this node.
    candidates: Vec<(NodeId, Version)>,
    in_flight: Option<(Source, Deadline)>,
    not_before: Option<Deadline>,
    /// Sources are tried in turn.
    tries: usize,
}

impl Fetching {
    pub fn want_from_platform(&mut self, version: Version, manifest: Option<Digest>) {
        if let Some(digest) = manifest.filter(|_| version > self.wanted_from_platform()) {
            self.platform = Some((version, digest));
            self.wanted = self.wanted.max(version);
        }
    }

    pub fn want_from_peer(&mut self, now: MonoTime, from: NodeId, version: Version) {
        self.candidates.retain(|(id, _)| *id != from);
        self.candidates.insert(0, (from, version));
        self.candidates.truncate(CANDIDATE_LIMIT);
        self.wanted = self.wanted.max(version);
        self.not_before = Some(Deadline(now));
    }

    pub fn finished(&mut self, source: Source) {
        if self.in_flight.is_some_and(|(s, _)| s == source) {
            self.in_flight = None;
        }
    }

    pub fn failed(&mut self, now: MonoTime, source: Source) {
        self.finished(source);
        self.tries += 1;
        if let Source::Peer(id) = source {
            self.candidates.retain(|(c, _)| *c != id);
        }
        self.not_before = Some(Deadline::after(now, Duration::from_millis(FETCH_RETRY_MS)));
    }

    /// Forgets what has been reached.
    pub fn reached(&mut self, version: Version) {
        self.candidates.retain(|(_, v)| *v > version);
        self.platform = self.platform.filter(|(v, _)| *v > version);
        if self.wanted <= version {
            self.not_before = None;
        }
    }

    fn wanted_from_platform(&self) -> Version {
        self.platform.map_or(Version(0), |(version, _)| version)
    }

    /// Chooses the source of the next fetch: peers before the platform, each tried in turn.
    fn choose(&self, newer_than: Version) -> Option<(Source, Option<Digest>)> {
        let peers = self.candidates.iter().filter(|(_, v)| *v > newer_than);
        let mut sources: Vec<_> = peers.map(|(id, _)| (Source::Peer(*id), None)).collect();
        if let Some((_, digest)) = self.platform.filter(|(v, _)| *v > newer_than) {
            sources.push((Source::Platform, Some(digest)));
        }
        let turn = self.tries.checked_rem(sources.len())?;
        Some(sources[turn])
    }
}

impl Distribution {
    /// Notes that a peer is ahead; gives a push on its way some time to arrive first.
    pub(super) fn on_peer_version(&mut self, now: MonoTime, from: NodeId, version: Version) {
        if version <= self.version().max(self.refused) {
            return;
        }
        let known = self.fetching.candidates.iter().any(|(id, v)| *id == from && *v == version);
        if known {
            return;
        }
        let waiting = self.fetching.not_before;
        self.fetching.want_from_peer(now, from, version);
        let delay = self.options.repair_delay.mul_f64(0.6 + 0.8 * self.rng.f64());
        // A node that may not serve yet has no push to wait for.
        let delay = if self.ready { delay } else { Duration::ZERO };
        self.fetching.not_before = waiting.or(Some(Deadline::after(now, delay)));
    }

    pub(super) fn fetch_if_due(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        if self.fetching.in_flight.is_some_and(|(_, deadline)| deadline.is_past(now)) {
            self.fetching.in_flight = None;
            self.fetching.tries += 1;
        }
        let busy = self.installing.is_some() || self.fetching.in_flight.is_some();
        let early = self.fetching.not_before.is_some_and(|d| !d.is_past(now));
        if busy || early {
            return;
        }
        let newer_than = self.version().max(self.refused);
        let Some((source, manifest)) = self.fetching.choose(newer_than) else {
            return;
        };
        let deadline = Deadline::after(now, self.options.fetch_timeout);
        self.fetching.in_flight = Some((source, deadline));
        actions.push(Action::Fetch { source, manifest, known: self.version() });
    }
}
