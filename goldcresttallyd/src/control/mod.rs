//! The control thread: membership, distribution and claims of one node.
//!
//! All machines are driven from one thread, so no decision runs beside another. Calls are served
//! by other threads; the two meet through the request path's state and the commands below.

mod claims;
mod command;
mod connections;
mod driver;
mod fetch;
mod idle;
mod join;
mod membership;
mod run;
mod server;
mod spread;
mod view;

use std::io;
use std::sync::Arc;
use std::thread::JoinHandle;

use goldcresttally_config::SectionFormat;
use goldcresttally_membership::Record;
use goldcresttally_proxy::link::LinkPool;
use goldcresttally_proxy::{Peer, Transport};
use goldcresttally_store::{DocumentSource, NodeDirectory, TableStore};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;

pub use claims::ClaimCoordinatorClient;
pub use command::{Command, ControlStatus, Rollout};

use crate::settings::Settings;

/// Commands that wait for the control thread.
const COMMAND_QUEUE: usize = 4096;

/// What the control thread needs.
#[derive(Debug)]
pub struct Config {
    /// The node's settings.
    pub settings: Arc<Settings>,
    /// The node's own record.
    pub own: Record,
    /// The border to the network.
    pub transport: Arc<dyn Transport>,
    /// The part that runs calls.
    pub peer: Arc<Peer>,
    /// The connections for calls, by worker.
    pub links: Vec<Arc<LinkPool>>,
    /// Where accepted versions come from.
    pub source: Arc<dyn DocumentSource>,
    /// The format of their sections.
    pub format: Arc<dyn SectionFormat>,
    /// The table in which claims are written.
    pub table: Arc<dyn TableStore>,
    /// A list of nodes, besides the seeds.
    pub directory: Option<Arc<dyn NodeDirectory>>,
    /// Drives random choices.
    pub seed: u64,
}

/// What runs the control machines.
#[derive(Debug)]
enum Runner {
    Thread(JoinHandle<()>),
    Task(tokio::task::JoinHandle<()>),
}

/// The running control machines: on a thread of their own, or on the one that serves calls.
#[derive(Debug)]
pub struct ControlHandle {
    runner: Runner,
    /// The way to give it commands.
    pub commands: mpsc::Sender<Command>,
}

impl ControlHandle {
    /// Binds the control listeners and starts the machines.
    ///
    /// Without a thread of their own they run as local tasks, so the caller must be within a
    /// `LocalSet`.
    pub async fn start(config: Config, own_thread: bool) -> io::Result<Self> {
        let address = config.own.id.0;
        let tcp = TcpListener::bind(address).await?.into_std()?;
        let udp = UdpSocket::bind(address).await?.into_std()?;
        let listeners = run::Listeners { tcp, udp };
        let (commands, rx) = mpsc::channel(COMMAND_QUEUE);
        let runner = if own_thread {
            let thread = std::thread::Builder::new().name("control".to_owned());
            Runner::Thread(thread.spawn(move || run::run_thread(config, listeners, rx))?)
        } else {
            Runner::Task(tokio::task::spawn_local(run::run_task(config, listeners, rx)))
        };
        Ok(Self { runner, commands })
    }

    /// Stops the machines and waits for their end.
    pub async fn stop(self) {
        // Machines that have ended take no command and need none.
        let _ = self.commands.send(Command::Stop).await;
        match self.runner {
            // A thread that panicked has printed why.
            Runner::Thread(thread) => {
                drop(tokio::task::spawn_blocking(|| thread.join()).await);
            }
            Runner::Task(task) => drop(task.await),
        }
    }
}
