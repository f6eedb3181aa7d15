//! The distribution state machine: decides when to poll, fetch, install and push versions.

mod fetch;
mod freshness;
mod options;
mod poll;
mod push;

use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

use goldcresttally_config::{Digest, Manifest};
use goldcresttally_core::{Deadline, FeedPosition, MonoTime, NodeId, Version};

use crate::bundle::Bundle;
use crate::notice::Notice;
use crate::topology::{Peer, Topology};
use crate::update::VersionUpdate;
use fetch::FetchState;
pub use fetch::VersionReport;
use freshness::Freshness;
pub use options::{Mode, Options};
use poll::LongPoll;
use push::PushRetries;

/// Number of earlier manifests kept as possible bases of an update.
const MANIFEST_HISTORY: usize = 16;

/// The source from which a version is fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The platform's table and object store.
    Platform,
    /// Another node.
    Peer(NodeId),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform => f.write_str("platform"),
            Self::Peer(id) => id.fmt(f),
        }
    }
}

/// An input of the state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed; expected at least every 100 ms.
    Tick,
    /// The set of live members other than this node changed.
    MembersChanged(Vec<Peer>),
    /// A poll of the table returned.
    TableRead {
        /// The newest accepted version; 0 if there is none.
        version: Version,
        /// The digest of its manifest; `None` for version 0.
        manifest: Option<Digest>,
        /// The position in the change feed up to which no later version was accepted, if there is
        /// a feed.
        position: Option<FeedPosition>,
    },
    /// A notice arrived.
    Notice {
        /// Its sender.
        from: NodeId,
        /// The notice.
        notice: Notice,
    },
    /// This node accepted a version from an operator; the update has base 0.
    Accepted(Arc<VersionUpdate>),
    /// A part of the answer to the long poll in progress arrived.
    PollProgress,
    /// A poll of the table failed.
    PollFailed,
    /// A peer reported the version floor of this node's address.
    FloorLearned(Version),
    /// A peer reported the version that it has in force.
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
        /// The pushed update.
        update: Arc<VersionUpdate>,
    },
    /// A fetch succeeded.
    Fetched {
        /// The source.
        source: Source,
        /// The fetched update.
        update: Arc<VersionUpdate>,
    },
    /// A fetch failed.
    FetchFailed {
        /// The source.
        source: Source,
    },
    /// A push was not delivered.
    PushFailed {
        /// The peer.
        to: NodeId,
        /// The update that was pushed.
        update: Arc<VersionUpdate>,
    },
    /// The driver put this version in force.
    Installed(Version),
    /// The driver refused this version as invalid; no part of it is in force.
    Refused(Version),
}

/// An output of the state machine, to be carried out by the driver.
#[derive(Debug, Clone)]
pub enum Action {
    /// Read the newest version from the table.
    Poll {
        /// Time until which the table may hold a long poll that has nothing to tell.
        hold_until: Deadline,
        /// The position in the change feed at which the version in force was the newest; a source
        /// that has no later position of its own continues there.
        position: Option<FeedPosition>,
    },
    /// Give up the long poll in progress, which is not answered, and use another connection for
    /// the next one.
    AbandonPoll,
    /// Fetch the newest version that the source has.
    Fetch {
        /// The source.
        source: Source,
        /// The digest of the manifest; `Some` if the source is the platform.
        manifest: Option<Digest>,
        /// The version in force at this node, which is the preferred base of the update.
        known: Version,
    },
    /// Build a snapshot of the bundle and put it in force as a whole, or refuse it; answered by
    /// [`Event::Installed`] or [`Event::Refused`].
    Install(Arc<Bundle>),
    /// Push an update to a peer.
    Push {
        /// The peer.
        to: NodeId,
        /// The update.
        update: Arc<VersionUpdate>,
    },
    /// Send a notice to other nodes.
    Notify {
        /// The receivers.
        to: Vec<NodeId>,
        /// The notice.
        notice: Notice,
    },
    /// The version in force meets the floor: this node may serve calls.
    Ready(Version),
}

/// The distribution state machine of one node.
#[derive(Debug)]
pub struct Distribution {
    options: Options,
    rng: fastrand::Rng,
    own: Peer,
    topology: Topology,
    /// The version in force.
    current: Arc<Bundle>,
    /// The newest version refused as invalid by this node; 0 if none.
    refused: Version,
    /// The oldest version that may be served at this address; `None` until it is learned.
    floor: Option<Version>,
    ready: bool,
    /// Manifests of earlier versions in force, newest first.
    manifests: VecDeque<Manifest>,
    /// The version that the driver is installing, with its update and source.
    installing: Option<(Arc<Bundle>, Arc<VersionUpdate>, Source)>,
    fetch_state: FetchState,
    freshness: Freshness,
    next_poll: Deadline,
    long_poll: LongPoll,
    gossip_rounds: u32,
    next_gossip: Deadline,
    last_update: Option<Arc<VersionUpdate>>,
    push_retries: PushRetries,
}

impl Distribution {
    /// Returns the state machine of node `own`; `seed` drives its random choices.
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
            fetch_state: FetchState::default(),
            freshness: Freshness::new(now),
            next_poll: Deadline(now),
            long_poll: LongPoll::default(),
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

    /// Processes one event and appends the resulting actions to `actions`.
    pub fn on_event(&mut self, now: MonoTime, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => self.on_tick(now, actions),
            Event::MembersChanged(others) => self.topology = Topology::new(&self.own, &others),
            Event::TableRead { version, manifest, position } => {
                self.raise_floor(version);
                self.on_table_answer(now, version, position);
                self.fetch_state.add_platform_source(now, version, manifest);
                self.repeat_long_poll(now, actions);
            }
            Event::Accepted(update) => {
                self.raise_floor(update.version);
                self.on_update(now, Source::Platform, update, actions);
            }
            Event::PollProgress => self.on_poll_progress(now),
            Event::PollFailed => self.back_off_poll(now),
            Event::FloorLearned(version) => self.raise_floor(version),
            Event::PeerVersion { from, version } => {
                self.on_peer_version(now, from, version, self.options.repair_delay);
            }
            Event::Notice { from, notice } => self.on_notice(now, from, notice),
            Event::Pushed { from, update } => {
                self.on_update(now, Source::Peer(from), update, actions);
            }
            Event::Fetched { source, update } => {
                self.fetch_state.end_fetch(source);
                self.on_update(now, source, update, actions);
            }
            Event::FetchFailed { source } => self.fetch_state.record_failure(now, source),
            Event::PushFailed { to, update } => self.on_push_failed(now, to, &update, actions),
            Event::Installed(version) => self.on_installed(now, version, actions),
            Event::Refused(version) => self.on_refused(now, version, actions),
        }
        self.fetch_if_due(now, actions);
        self.report_ready(actions);
    }

    /// Returns the version in force.
    pub fn version(&self) -> Version {
        self.current.version()
    }

    /// Returns the newest version that this node refused as invalid; 0 if none.
    pub fn refused(&self) -> Version {
        self.refused
    }

    /// Returns the source of the version that is being installed, and the first report of it or
    /// of a later one.
    pub fn installing(&self) -> Option<(Source, Option<VersionReport>)> {
        let (bundle, _, source) = self.installing.as_ref()?;
        Some((*source, self.fetch_state.first_report(bundle.version())))
    }

    /// Returns the bundle in force.
    pub fn bundle(&self) -> &Arc<Bundle> {
        &self.current
    }

    /// Returns the oldest version that this node may serve, if known.
    pub fn floor(&self) -> Option<Version> {
        self.floor
    }

    /// Returns whether this node may serve calls: its version has met the floor.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns the update from `known` to the version in force, or the complete version if the
    /// manifest of `known` is no longer kept.
    pub fn update_since(&self, known: Version) -> VersionUpdate {
        let empty = Manifest::default();
        let base = self.manifests.iter().find(|m| m.version == known && known.0 > 0);
        self.current.update_from(base.unwrap_or(&empty))
    }

    fn on_tick(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        self.poll_if_due(now, actions);
        self.gossip_if_due(now, actions);
        self.notify_if_due(now, false, actions);
        self.retry_pushes_if_due(now, actions);
    }

    fn raise_floor(&mut self, version: Version) {
        self.floor = Some(self.floor.map_or(version, |floor| floor.max(version)));
    }

    fn report_ready(&mut self, actions: &mut Vec<Action>) {
        // Version 0 is the empty configuration before any version was accepted.
        let known = self.version() > Version(0);
        let meets_floor = known && self.floor.is_some_and(|floor| self.version() >= floor);
        if meets_floor && !self.ready {
            self.ready = true;
            actions.push(Action::Ready(self.version()));
        }
    }

    /// Installs a received update if it leads to a newer version; drops it otherwise.
    fn on_update(
        &mut self,
        now: MonoTime,
        source: Source,
        update: Arc<VersionUpdate>,
        actions: &mut Vec<Action>,
    ) {
        let newest_seen = self.installing.as_ref().map_or(self.version(), |(b, ..)| b.version());
        let floor = self.floor.unwrap_or(Version(0));
        if update.version <= newest_seen.max(self.refused) || update.version < floor {
            return;
        }
        let bundle = match self.installing {
            None => self.current.patched(&update),
            Some(_) => None,
        };
        let Some(bundle) = bundle else {
            // An update with another base cannot be applied: fetch one with the right base.
            let other_base = update.base != self.version() && update.base != Version(0);
            if let Source::Peer(from) = source
                && (other_base || self.installing.is_some())
            {
                self.fetch_state.add_peer_source(now, from, update.version);
            }
            return;
        };
        self.fetch_state.record_report(now, source, update.version);
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
        self.fetch_state.discard_sources(version);
        self.confirm_by_notice();
        self.propagate(now, source, &self.outgoing_update(&previous, &update), actions);
        self.notify_if_due(now, true, actions);
    }

    /// Returns the update to push, based on the previous version in force whatever the base of
    /// the received update was.
    fn outgoing_update(
        &self,
        previous: &Bundle,
        update: &Arc<VersionUpdate>,
    ) -> Arc<VersionUpdate> {
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
        self.fetch_state.discard_sources(version);
        // The version is still propagated: peers validate it themselves, and a later release may
        // accept it.
        self.propagate(now, source, &update, actions);
    }

    fn take_installing(
        &mut self,
        version: Version,
    ) -> Option<(Arc<Bundle>, Arc<VersionUpdate>, Source)> {
        self.installing.take_if(|(bundle, ..)| bundle.version() == version)
    }
}
