//! The node: starts, connects and stops its components.

mod processor;
mod stop;

use std::io;
use std::sync::Arc;

use goldcresttally_admission::Policy;
use goldcresttally_config::{LimitsSpec, SectionFormat, YamlFormat};
use goldcresttally_core::{Generation, Incarnation};
use goldcresttally_membership::{Record, Status};
use goldcresttally_proxy::clients::ClientPort;
use goldcresttally_proxy::entry::{Entry, Options};
use goldcresttally_proxy::link::LinkPool;
use goldcresttally_proxy::server::{self, ClientKind};
use goldcresttally_proxy::service::HandlerService;
use goldcresttally_proxy::{
    Clock, Identity, NodeState, Peer, TcpTransport, Transport, Workers, clock,
};
use goldcresttally_report::Recorder;
use goldcresttally_store::{
    Document, DocumentSource, HttpPlatform, NoStore, NodeDirectory, ObjectStore, RolloutStore,
    TableStore,
};
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::client_report;
use crate::control::{self, ClaimCoordinatorClient, ControlHandle};
use crate::events::{self, emit};
use crate::metrics_text;
use crate::operator::{self, OperatorApi};
use crate::settings::Settings;

/// Options of a node beyond its settings, for embedders and experiments.
#[derive(Debug, Clone)]
pub struct NodeOptions {
    /// The network transport; `None` for plain TCP.
    pub transport: Option<Arc<dyn Transport>>,
    /// The admission policy, which orders and limits calls to the local upstreams.
    pub policy: Policy,
    /// Options of the entry, which routes callers' calls.
    pub entry: Options,
    /// The clock; `None` for the clock of the VM.
    pub clock: Option<Clock>,
    /// Seed of the random number generators.
    pub seed: u64,
    /// The generation that this node's generation must exceed.
    pub after_generation: Generation,
    /// The source of accepted versions; `None` for the document in the table store.
    pub source: Option<Arc<dyn DocumentSource>>,
    /// The format of the sections of a version.
    pub format: Arc<dyn SectionFormat>,
    /// A directory of nodes to join, in addition to the seeds.
    pub directory: Option<Arc<dyn NodeDirectory>>,
    /// The store of rollout orders, used if rollouts are enabled in the settings.
    pub rollouts: Option<Arc<dyn RolloutStore>>,
}

impl Default for NodeOptions {
    fn default() -> Self {
        Self {
            transport: None,
            policy: Policy::default(),
            entry: Options::default(),
            clock: None,
            seed: fastrand::u64(..),
            after_generation: Generation(0),
            source: None,
            format: Arc::new(YamlFormat),
            directory: None,
            rollouts: None,
        }
    }
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    settings: Arc<Settings>,
    state: Arc<NodeState>,
    peer: Arc<Peer>,
    recorder: Arc<Recorder>,
    control: ControlHandle,
    workers: Workers,
    /// Stops the listener for calls from callers.
    stop_calls: CancellationToken,
    /// Stops all other listeners and background tasks.
    stop: CancellationToken,
    /// The tasks of calls and connections.
    tasks: TaskTracker,
    call_listeners: Vec<JoinHandle<()>>,
    peer_listeners: Vec<JoinHandle<()>>,
    listeners: Vec<JoinHandle<()>>,
}

impl Node {
    /// Binds all listeners and starts the node.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener cannot be bound or a thread cannot be started.
    pub async fn start(settings: Settings, options: NodeOptions) -> io::Result<Self> {
        let settings = Arc::new(settings);
        let id = settings.node.control;
        let generation = clock::wall_ms().max(options.after_generation.next().0);
        let generation = Generation(generation);
        let identity = Identity { node: id, peer: settings.node.peer, generation };
        let call_log = Arc::new(events::CallEventLog);
        let clock = options.clock.unwrap_or_else(Clock::start);
        let state = NodeState::new(identity, clock, settings.conventions(), call_log);
        let state = state.with_clients(settings.client_options());
        let state = match settings.account_limits() {
            Some(limits) => state.with_account_limits(limits),
            None => state,
        };
        let state = Arc::new(state);
        state.set_retry_allowance(settings.retry_allowance());
        let tasks = TaskTracker::new();
        let transport = options
            .transport
            .unwrap_or_else(|| Arc::new(TcpTransport::new(Some(id.0.ip()))) as Arc<dyn Transport>);
        let peer = Peer::new(
            Arc::clone(&state),
            Arc::clone(&transport),
            tasks.clone(),
            options.policy,
            settings.requests.redirects,
        );
        let peer = Arc::new(
            peer.with_link(settings.node.link)
                .with_overload_control(settings.requests.overload_control),
        );
        let workers = Workers::start(settings.node.threads)?;
        let links = || {
            let links = LinkPool::new(Arc::clone(&state), Arc::clone(&transport), tasks.clone());
            Arc::new(links)
        };
        let links: Vec<_> = workers.handles().iter().map(|_| links()).collect();
        let (table, objects) = open_stores(&settings);
        let document = Document::new(Arc::clone(&table), objects);
        let config = control::Config {
            own: own_record(&settings, generation),
            transport: Arc::clone(&transport),
            peer: Arc::clone(&peer),
            links: links.clone(),
            source: options.source.unwrap_or_else(|| Arc::new(document.clone())),
            format: options.format,
            table: Arc::clone(&table),
            directory: options.directory,
            rollouts: options.rollouts.filter(|_| settings.rollouts.enabled),
            seed: options.seed,
            settings: Arc::clone(&settings),
        };
        let own_thread = settings.node.threads > 0;
        let control = ControlHandle::start(config, own_thread).await?;
        let recorder = Arc::new(Recorder::default());
        let even_load = settings.requests.even_load || options.entry.even_load;
        let entry_options = Options { even_load, ..options.entry };
        let claims = Arc::new(ClaimCoordinatorClient::new(control.commands.clone(), table));
        let entry = |links| {
            let claims = Arc::clone(&claims) as _;
            let recorder = Arc::clone(&recorder);
            let entry = Entry::new(
                Arc::clone(&peer),
                links,
                claims,
                recorder,
                tasks.clone(),
                entry_options,
            );
            HandlerService(Arc::new(entry))
        };
        let entries = workers.handles().into_iter().zip(links.into_iter().map(entry)).collect();
        let mut node = Self {
            settings,
            state,
            peer,
            recorder,
            control,
            workers,
            stop_calls: CancellationToken::new(),
            stop: CancellationToken::new(),
            tasks,
            call_listeners: Vec::new(),
            peer_listeners: Vec::new(),
            listeners: Vec::new(),
        };
        node.listen(entries, document).await?;
        emit(events::NODE_STARTED, format_args!("{id} generation {generation}"));
        Ok(node)
    }

    /// Binds the listeners for callers, nodes, operators and metrics, and starts to serve them.
    async fn listen(
        &mut self,
        entries: Vec<(Handle, HandlerService<Entry>)>,
        document: Document,
    ) -> io::Result<()> {
        let addresses = &self.settings.node;
        let calls = TcpListener::bind(addresses.calls).await?;
        let peers = TcpListener::bind(addresses.peer).await?;
        let operators = TcpListener::bind(addresses.operator).await?;
        let operator = OperatorApi {
            settings: Arc::clone(&self.settings),
            document,
            commands: self.control.commands.clone(),
            peer: Arc::clone(&self.peer),
            recorder: Arc::clone(&self.recorder),
        };
        let (tasks, stop) = (&self.tasks, &self.stop);
        let state = Arc::clone(&self.state);
        let limits = move || state.active_config().snapshot.limits();
        let port = ClientPort::for_callers(Arc::clone(&self.state.clients));
        let serve = server::serve_clients(
            calls,
            Arc::new(port),
            entries,
            limits,
            self.stop_calls.clone(),
            tasks.clone(),
        );
        self.call_listeners.push(tokio::spawn(serve));
        let peer = |handle| (handle, HandlerService(Arc::clone(&self.peer)));
        let peer = self.workers.handles().into_iter().map(peer).collect();
        let serve = server::serve(
            peers,
            ClientKind::Nodes,
            peer,
            LimitsSpec::default,
            stop.clone(),
            tasks.clone(),
        );
        self.peer_listeners.push(tokio::spawn(serve));
        let report = client_report::run(Arc::clone(&self.state.clients), stop.clone());
        self.listeners.push(tokio::spawn(report));
        let serve = operator::serve(operators, operator, stop.clone());
        self.listeners.push(tokio::spawn(serve));
        if self.settings.requests.processor_control {
            for handle in self.workers.handles() {
                let probe = processor::probe(Arc::clone(&self.state), stop.clone());
                self.listeners.push(handle.spawn(probe));
            }
        }
        if let Some(address) = self.settings.node.metrics {
            let (peer, recorder) = (Arc::clone(&self.peer), Arc::clone(&self.recorder));
            let stop = stop.clone();
            self.listeners.push(tokio::spawn(async move {
                let served = metrics_text::serve(address, peer, recorder, stop).await;
                if let Err(e) = served {
                    emit(events::METRICS_FAILED, format_args!("{address}: {e}"));
                }
            }));
        }
        if let Some(metrics) = self.settings.metrics.clone() {
            let run = crate::statsd::run(metrics, Arc::clone(&self.peer), stop.clone());
            self.listeners.push(tokio::spawn(run));
        }
        Ok(())
    }

    /// Returns the settings with which the node was started.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Applies changed settings that may change at runtime, which is the retry budget.
    ///
    /// Other changes take effect at the next start.
    pub fn reload(&self, settings: &Settings) {
        let allowance = settings.retry_allowance();
        if allowance != self.state.retry_allowance() {
            self.state.set_retry_allowance(allowance);
            emit(events::SETTINGS_RELOADED, format_args!("retry budget"));
        }
    }

    /// Returns the state shared with the request path.
    pub fn state(&self) -> &Arc<NodeState> {
        &self.state
    }

    /// Returns the component that runs calls on the local upstreams.
    pub fn peer(&self) -> &Arc<Peer> {
        &self.peer
    }

    /// Returns the sender of commands to the control thread.
    pub fn commands(&self) -> &tokio::sync::mpsc::Sender<control::Command> {
        &self.control.commands
    }

    /// Waits until the control thread has ended by itself, as it does when a node of a later
    /// generation is seen at this node's address.
    pub async fn control_ended(&self) {
        self.control.commands.closed().await;
    }
}

/// Returns the table and object store named in the settings.
fn open_stores(settings: &Settings) -> (Arc<dyn TableStore>, Arc<dyn ObjectStore>) {
    match settings.platform {
        Some(address) => {
            let store = Arc::new(HttpPlatform::new(address, Some(settings.node.control.0.ip())));
            (Arc::clone(&store) as _, store)
        }
        None => (Arc::new(NoStore), Arc::new(NoStore)),
    }
}

/// Returns the membership record with which a node starts.
fn own_record(settings: &Settings, generation: Generation) -> Record {
    let node = &settings.node;
    Record {
        id: node.control,
        peer: node.peer,
        operator: node.operator,
        domain: node.domain.clone(),
        region: node.region.clone(),
        generation,
        incarnation: Incarnation(0),
        status: Status::Alive,
        leaving: false,
        link: node.link,
        upstreams: Vec::new(),
    }
}
