//! Feeds events to the distribution state machine and performs its actions.

use std::rc::Rc;
use std::sync::Arc;

use goldcresttally_config::Digest;
use goldcresttally_core::{Deadline, FeedPosition, NodeId, Version};
use goldcresttally_distribution::{Action, Bundle, Event, Notice, Source, VersionUpdate};
use goldcresttally_membership as members;
use goldcresttally_store::{Error, HeadRequest, Progress};
use tokio::task::AbortHandle;

use super::driver::Control;
use crate::events::{self, emit};

/// A poll of the table.
#[derive(Debug)]
pub(super) struct PollTask {
    task: AbortHandle,
    progress: Progress,
    /// The bytes of its answer that were reported to the state machine.
    reported_bytes: u64,
}

impl Control {
    /// Passes an event to the distribution state machine and performs the resulting actions.
    pub(super) fn on_distribution(self: &Rc<Self>, event: Event) {
        let mut actions = Vec::new();
        let now = self.now();
        self.machines.borrow_mut().distribution.on_event(now, event, &mut actions);
        for action in actions {
            self.perform_distribution(action);
        }
    }

    fn perform_distribution(self: &Rc<Self>, action: Action) {
        match action {
            Action::Poll { hold_until, position } => self.start_poll(hold_until, position),
            Action::AbandonPoll => self.abandon_poll(),
            Action::Fetch { source, manifest, known } => {
                let control = Rc::clone(self);
                self.tasks.spawn(async move { control.fetch(source, manifest, known).await });
            }
            Action::Install(bundle) => self.install(&bundle),
            Action::Push { to, update } => {
                let control = Rc::clone(self);
                self.tasks.spawn(async move { control.push(to, update).await });
            }
            Action::Notify { to, notice } => self.notify(&to, notice),
            Action::Ready(version) => {
                self.peer.state().set_ready();
                emit(events::NODE_READY, format_args!("at version {version}"));
            }
        }
    }

    /// Builds the snapshot of a version and installs it; a version with any error is refused as a
    /// whole.
    fn install(self: &Rc<Self>, bundle: &Arc<Bundle>) {
        let version = bundle.version();
        let sections = bundle.sections();
        let built = self.section_cache.borrow_mut().build(&*self.format, version, &sections);
        // The limits must be known before the first call of an account that they are new for.
        let built = built.inspect(|snapshot| self.publish_limits(snapshot));
        match built.map(|snapshot| self.peer.state().install(snapshot)) {
            Ok(true) => {
                self.log_installed(version);
                self.on_distribution(Event::Installed(version));
                // The admission gates take their limits and ranks from the snapshot.
                self.publish_upstreams();
            }
            // The version in force is the same or newer.
            Ok(false) => self.on_distribution(Event::Refused(version)),
            Err(e) => {
                emit(events::VERSION_REFUSED, format_args!("version {version}: {e}"));
                *self.refusal.borrow_mut() = Some(Arc::from(e.to_string()));
                self.on_distribution(Event::Refused(version));
            }
        }
        self.report_version();
    }

    /// Logs that a version is in force: where it came from, and how long after the first report of
    /// it.
    fn log_installed(&self, version: Version) {
        let installing = self.machines.borrow().distribution.installing();
        let Some((source, report)) = installing else {
            return emit(events::VERSION_INSTALLED, format_args!("version {version}"));
        };
        let report = report.map(|r| (r.source, self.now().since(r.at).as_millis()));
        let (first, known_ms) = report.unwrap_or((source, 0));
        emit(
            events::VERSION_INSTALLED,
            format_args!(
                "version {version} source={source} reported_by={first} known_ms={known_ms}"
            ),
        );
    }

    fn report_version(self: &Rc<Self>) {
        let (version, refused): (Version, Version) = {
            let machines = self.machines.borrow();
            (machines.distribution.version(), machines.distribution.refused())
        };
        self.on_membership(members::Event::VersionChanged { version, refused });
    }

    /// Sends a notice to other nodes.
    fn notify(&self, to: &[NodeId], notice: Notice) {
        let position = notice.position.map_or(0, |at| at.0);
        let body = members::Body::Notice { position, direct: notice.direct };
        let header = members::Header {
            version: notice.version,
            ..self.machines.borrow().membership.header()
        };
        let message = members::Message { header, body, updates: Vec::new() };
        self.send_to_all(to, &message);
    }

    /// Handles a notice of another node.
    pub(super) fn on_notice(
        self: &Rc<Self>,
        from: NodeId,
        version: Version,
        position: u64,
        direct: bool,
    ) {
        let position = Some(FeedPosition(position)).filter(|at| *at > FeedPosition(0));
        let notice = Notice { version, position, direct };
        self.on_distribution(Event::Notice { from, notice });
    }

    fn start_poll(self: &Rc<Self>, hold_until: Deadline, position: Option<FeedPosition>) {
        let progress = Progress::default();
        let req = HeadRequest {
            known: self.machines.borrow().distribution.version(),
            hold_until: self.peer.state().clock.instant(hold_until).into_std(),
            position,
            progress: progress.clone(),
        };
        let control = Rc::clone(self);
        let task = self.tasks.spawn(async move { control.poll(req).await });
        *self.poll_task.borrow_mut() = Some(PollTask { task, progress, reported_bytes: 0 });
    }

    /// Ends the poll in progress, whose answer or connection is lost.
    fn abandon_poll(&self) {
        if let Some(poll) = self.poll_task.borrow_mut().take() {
            poll.task.abort();
            let bytes = poll.progress.bytes();
            emit(events::POLL_FAILED, format_args!("given up without an answer: {bytes} bytes"));
        }
        self.source.reconnect();
    }

    /// Tells the state machine when more of the answer to the poll in progress has arrived.
    pub(super) fn report_poll_progress(self: &Rc<Self>) {
        let progressed = self.poll_task.borrow_mut().as_mut().is_some_and(|poll| {
            let bytes = poll.progress.bytes();
            std::mem::replace(&mut poll.reported_bytes, bytes) < bytes
        });
        if progressed {
            self.on_distribution(Event::PollProgress);
        }
    }

    async fn poll(self: Rc<Self>, req: HeadRequest) {
        match self.source.head(req).await {
            Ok(head) => {
                let (version, manifest) = (head.version, head.manifest);
                let position = self.source.position();
                self.on_distribution(Event::TableRead { version, manifest, position });
            }
            Err(e) => {
                emit(events::POLL_FAILED, format_args!("{e}"));
                if matches!(e, Error::AnswerLost { .. }) {
                    self.source.reconnect();
                }
                self.on_distribution(Event::PollFailed);
            }
        }
    }

    async fn push(self: Rc<Self>, to: NodeId, update: Arc<VersionUpdate>) {
        let own = self.machines.borrow().membership.own().id;
        if let Err(e) = self.connections.push(to, own, &update).await {
            emit(events::PUSH_FAILED, format_args!("version {} to {to}: {e}", update.version));
            self.on_distribution(Event::PushFailed { to, update });
        }
    }

    async fn fetch(self: Rc<Self>, source: Source, manifest: Option<Digest>, known: Version) {
        let fetched = match source {
            Source::Platform => self.fetch_from_platform(manifest).await,
            Source::Peer(from) => {
                self.connections.fetch(from, known).await.map_err(|e| e.to_string())
            }
        };
        match fetched {
            Ok(update) => self.on_distribution(Event::Fetched { source, update: Arc::new(update) }),
            Err(e) => {
                emit(events::FETCH_FAILED, format_args!("from {source:?}: {e}"));
                self.on_distribution(Event::FetchFailed { source });
            }
        }
    }
}
