//! When to poll, fetch, install and push.

mod fetch;
mod options;
mod poll;
mod push;

use std::collections::VecDeque;
use std::sync::Arc;

use goldcresttally_config::{Digest, Manifest};
use goldcresttally_core::{Deadline, MonoTime, NodeId, Version};

use crate::bundle::Bundle;
use crate::topology::{Peer, Topology};
use crate::update::VersionUpdate;
use fetch::Fetching;
pub use options::{Mode, Options};
use push::PushRetries;

/// Versions whose manifests are kept, so that a difference can be made against them.
const MANIFEST_HISTORY: usize = 16;

/// Where a version is fetched from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The platform's table and object store.
    Platform,
    /// Another node.
    Peer(NodeId),
}

/// What happens to the machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed; sent at least every 100 ms.
    Tick,
    /// The live members other than this node changed.
    MembersChanged(Vec<Peer>),
    /// The table was read: its newest version and the digest of the manifest.
    TableRead {
        /// The newest accepted version.
        version: Version,
        /// The digest of its manifest; `None` for version 0.
        manifest: Option<Digest>,
    },
    /// This node accepted a version on behalf of an operator; the update is complete.
    Accepted(Arc<VersionUpdate>),
    /// The table could not be read.
    PollFailed,
    /// A peer told the floor for this node's address and its own version.
    FloorLearned(Version),
    /// A peer has this version in force.
    PeerVersion {
        /// The peer.
        from: NodeId,
        /// Its version.
        version: Version,
    },
    /// A version was pushed by a peer.
    Pushed {
        /// The peer.
        from: NodeId,
        /// What it changes.
        update: Arc<VersionUpdate>,
    },
    /// A fetch succeeded.
    Fetched {
        /// Where from.
        source: Source,
        /// What it changes.
        update: Arc<VersionUpdate>,
    },
    /// A fetch failed.
    FetchFailed {
        /// Where from.
        source: Source,
    },
    /// A push did not arrive.
    PushFailed {
        /// The peer.
        to: NodeId,
        /// What was to be pushed.
        update: Arc<VersionUpdate>,
    },
    /// The driver put a version in force.
    Installed(Version),
    /// The driver found a version invalid; nothing of it is in force.
    Refused(Version),
}

/// What the driver is to do.
#[derive(Debug, Clone)]
pub enum Action {
    /// Read the head of the table.
    Poll,
    /// Fetch the newest version that the source has.
    Fetch {
        /// Where from.
        source: Source,
        /// The digest of the manifest, known when the source is the platform.
        manifest: Option<Digest>,
        /// The version in force here, to make the difference against.
        known: Version,
    },
    /// Build a snapshot of the bundle and put it in force whole, or refuse it.
    Install(Arc<Bundle>),
    /// Push an update to a peer.
    Push {
        /// The peer.
        to: NodeId,
        /// What it changes.
        update: Arc<VersionUpdate>,
    },
    /// The floor is known and met: this node may serve.
    Ready(Version),
}

/// The distribution machine of one node.
#[derive(Debug)]
pub struct Distribution {
    options: Options,
    rng: fastrand::Rng,
    own: Peer,
    topology: Topology,
    /// The version in force.
    current: Arc<Bundle>,
    /// The newest version found invalid here.
    refused: Version,
    /// The oldest version that may be served at this address; unknown until learned.
    floor: Option<Version>,
    ready: bool,
    manifests: VecDeque<Manifest>,
    /// A version handed to the driver, with the update and peer that it came from.
    installing: Option<(Arc<Bundle>, Arc<VersionUpdate>, Source)>,
    fetching: Fetching,
    next_poll: Deadline,
    /// Whether a poll that waits for news is under way.
    watching: bool,
    gossip_rounds: u32,
    next_gossip: Deadline,
    last_update: Option<Arc<VersionUpdate>>,
    push_retries: PushRetries,
}

impl Distribution {
    /// Returns the machine of node `own`; `seed` drives its random choices.
    pub fn new(options: Options, own: Peer, seed: u64, now: MonoTime) -> Self {
        let mut machine = Self {
            rng: fastrand::Rng::with_seed(seed),
            topology: Topology::new(&own, &[]),
            current: Arc::default(),
            refused: Version(0),
            floor: None,
            ready: false,
            manifests: VecDeque::new(),
            installing: None,
            fetching: Fetching::default(),
            next_poll: Deadline(now),
            watching: false,
            gossip_rounds: 0,
            next_gossip: Deadline(now),
            last_update: None,
            push_retries: PushRetries::default(),
            own,
            options,
        };
        machine.schedule_first_poll(now);
        machine
    }

    /// Takes one event and appends what is to be done to `actions`.
    pub fn on_event(&mut self, now: MonoTime, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.on_tick(now, actions),
            Event::MembersChanged(others) => self.topology = Topology::new(&self.own, &others),
            Event::TableRead { version, manifest } => {
                self.learn_floor(version);
                self.fetching.want_from_platform(version, manifest);
                self.watch_again(now, actions);
            }
            Event::Accepted(update) => {
                self.learn_floor(update.version);
                self.on_update(now, Source::Platform, update, actions);
            }
            Event::PollFailed => {
                self.watching = false;
                self.back_off_poll(now);
            }
            Event::FloorLearned(version) => self.learn_floor(version),
            Event::PeerVersion { from, version } => self.on_peer_version(now, from, version),
            Event::Pushed { from, update } => {
                self.on_update(now, Source::Peer(from), update, actions);
            }
            Event::Fetched { source, update } => {
                self.fetching.finished(source);
                self.on_update(now, source, update, actions);
            }
            Event::FetchFailed { source } => self.fetching.failed(now, source),
            Event::PushFailed { to, update } => self.on_push_failed(now, to, &update, actions),
            Event::Installed(version) => self.on_installed(now, version, actions),
            Event::Refused(version) => self.on_refused(now, version, actions),
        }
        self.fetch_if_due(now, actions);
        self.announce_ready(actions);
    }

    /// Returns the version in force.
    pub fn version(&self) -> Version {
        self.current.version()
    }

    /// Returns the newest version that was found invalid here; 0 when none.
    pub fn refused(&self) -> Version {
        self.refused
    }

    /// Returns the bundle in force.
    pub fn bundle(&self) -> &Arc<Bundle> {
        &self.current
    }

    /// Returns the oldest version that may be served here, once it is known.
    pub fn floor(&self) -> Option<Version> {
        self.floor
    }

    /// Tells whether the floor is known and met.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns what the version in force changes against `known`, or all of it.
    pub fn update_since(&self, known: Version) -> VersionUpdate {
        let empty = Manifest::default();
        let base = self.manifests.iter().find(|m| m.version == known && known.0 > 0);
        self.current.update_from(base.unwrap_or(&empty))
    }

    fn on_tick(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        self.poll_if_due(now, actions);
        self.gossip_if_due(now, actions);
        self.push_again_if_due(now, actions);
    }

    fn learn_floor(&mut self, version: Version) {
        self.floor = Some(self.floor.map_or(version, |floor| floor.max(version)));
    }

    fn announce_ready(&mut self, actions: &mut Vec<Action>) {
        // Before anything was accepted, there is nothing to serve.
        let known = self.version() > Version(0);
        let met = known && self.floor.is_some_and(|floor| self.version() >= floor);
        if met && !self.ready {
            self.ready = true;
            actions.push(Action::Ready(self.version()));
        }
    }

    /// Hands a newer version to the driver; everything else is a repeat and is dropped.
    fn on_update(
        &mut self,
        now: MonoTime,
        source: Source,
        update: Arc<VersionUpdate>,
        actions: &mut Vec<Action>,
    ) {
        let newest = self.installing.as_ref().map_or(self.version(), |(b, ..)| b.version());
        let floor = self.floor.unwrap_or(Version(0));
        if update.version <= newest.max(self.refused) || update.version < floor {
            return;
        }
        let bundle = match self.installing {
            None => self.current.patched(&update),
            Some(_) => None,
        };
        let Some(bundle) = bundle else {
            // It starts from a version that this node does not have: fetch the whole difference.
            if let Source::Peer(from) = source {
                self.fetching.want_from_peer(now, from, update.version);
            }
            return;
        };
        let bundle = Arc::new(bundle);
        self.installing = Some((Arc::clone(&bundle), update, source));
        actions.push(Action::Install(bundle));
    }

    fn on_installed(&mut self, now: MonoTime, version: Version, actions: &mut Vec<Action>) {
        let Some((bundle, update, source)) = self.take_installing(version) else {
            return;
        };
        let previous = std::mem::replace(&mut self.current, bundle);
        self.manifests.push_front(previous.manifest().clone());
        self.manifests.truncate(MANIFEST_HISTORY);
        self.fetching.reached(version);
        self.pass_on(now, source, &self.relayed(&previous, &update), actions);
    }

    /// Returns the update to pass on: against the version that was in force, whatever came in.
    fn relayed(&self, previous: &Bundle, update: &Arc<VersionUpdate>) -> Arc<VersionUpdate> {
        match update.base == previous.version() {
            true => Arc::clone(update),
            false => Arc::new(self.current.update_from(previous.manifest())),
        }
    }

    fn on_refused(&mut self, now: MonoTime, version: Version, actions: &mut Vec<Action>) {
        let Some((_, update, source)) = self.take_installing(version) else {
            return;
        };
        self.refused = self.refused.max(version);
        self.fetching.reached(version);
        // Others decide for themselves: they may run a later release that accepts it.
        self.pass_on(now, source, &update, actions);
    }

    fn take_installing(
        &mut self,
        version: Version,
    ) -> Option<(Arc<Bundle>, Arc<VersionUpdate>, Source)> {
        self.installing.take_if(|(bundle, ..)| bundle.version() == version)
    }
}
