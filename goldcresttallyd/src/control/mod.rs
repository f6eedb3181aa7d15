//! The control plane of one node: membership, configuration distribution and claims.
//!
//! A single thread drives all state machines, so their decisions never run concurrently. Calls are
//! served by other threads, which share the request path's state with this one and send it
//! [`Command`]s.

mod claims;
mod command;
mod connections;
mod distribution;
mod driver;
mod fetch;
mod join;
mod membership;
mod metered;
mod publish;
mod quota;
mod rollout;
mod run;
mod server;
mod tasks;

use std::io;
use std::sync::Arc;
use std::thread::JoinHandle;

use goldcresttally_config::SectionFormat;
use goldcresttally_membership::Record;
use goldcresttally_proxy::link::LinkPool;
use goldcresttally_proxy::{Peer, Transport};
use goldcresttally_store::{DocumentSource, NodeDirectory, RolloutStore, TableStore};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;

pub use claims::ClaimCoordinatorClient;
pub use command::{Command, ControlStatus, Rollout};

use crate::settings::Settings;

/// Commands that may be queued for the control thread.
const COMMAND_QUEUE_CAPACITY: usize = 4096;

/// The inputs of the control thread.
#[derive(Debug)]
pub struct Config {
    /// The node's settings.
    pub settings: Arc<Settings>,
    /// This node's membership record.
    pub own: Record,
    /// The network transport.
    pub transport: Arc<dyn Transport>,
    /// The component that runs calls on the local upstreams.
    pub peer: Arc<Peer>,
    /// The connections to other nodes for calls, one set per worker thread.
    pub links: Vec<Arc<LinkPool>>,
    /// The source of accepted configuration versions.
    pub source: Arc<dyn DocumentSource>,
    /// The format of the sections of a version.
    pub format: Arc<dyn SectionFormat>,
    /// The table that stores claims.
    pub table: Arc<dyn TableStore>,
    /// A directory of nodes to join, in addition to the seeds.
    pub directory: Option<Arc<dyn NodeDirectory>>,
    /// The store of rollout orders; `None` where rollouts are not enabled.
    pub rollouts: Option<Arc<dyn RolloutStore>>,
    /// Seed of the random number generators.
    pub seed: u64,
}

/// The thread or task that runs the state machines.
#[derive(Debug)]
enum Runner {
    Thread(JoinHandle<()>),
    Task(tokio::task::JoinHandle<()>),
}

/// A handle to the running control plane, on its own thread or on the thread that serves calls.
#[derive(Debug)]
pub struct ControlHandle {
    runner: Runner,
    /// Sends commands to the control thread.
    pub commands: mpsc::Sender<Command>,
}

impl ControlHandle {
    /// Binds the control listeners and starts the state machines.
    ///
    /// Without `own_thread`, they run as local tasks and the caller must be within a `LocalSet`.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener cannot be bound or the thread cannot be spawned.
    pub async fn start(config: Config, own_thread: bool) -> io::Result<Self> {
        let address = config.own.id.0;
        let tcp = TcpListener::bind(address).await?.into_std()?;
        let udp = UdpSocket::bind(address).await?.into_std()?;
        let listeners = run::Listeners { tcp, udp };
        let (commands, rx) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let runner = if own_thread {
            let thread = std::thread::Builder::new().name("control".to_owned());
            Runner::Thread(thread.spawn(move || run::run_thread(config, listeners, rx))?)
        } else {
            Runner::Task(tokio::task::spawn_local(run::run_task(config, listeners, rx)))
        };
        Ok(Self { runner, commands })
    }

    /// Stops the state machines and waits until they have ended.
    pub async fn stop(self) {
        // Sending fails only if the control thread has already ended.
        let _ = self.commands.send(Command::Stop).await;
        match self.runner {
            // The panic hook has already printed the reason if the thread panicked.
            Runner::Thread(thread) => {
                drop(tokio::task::spawn_blocking(|| thread.join()).await);
            }
            Runner::Task(task) => drop(task.await),
        }
    }
}
