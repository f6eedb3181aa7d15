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
mod server;
mod spread;
mod view;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;

use goldcresttally_membership::Record;
use goldcresttally_proxy::link::Links;
use goldcresttally_proxy::{Peer, Transport};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;

pub use claims::KeeperClient;
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
    pub links: Vec<Arc<Links>>,
    /// The platform's address.
    pub platform: SocketAddr,
    /// Drives random choices.
    pub seed: u64,
}

/// The running control thread.
#[derive(Debug)]
pub struct ControlThread {
    thread: JoinHandle<()>,
    /// The way to give it commands.
    pub commands: mpsc::Sender<Command>,
}

impl ControlThread {
    /// Binds the control listeners and starts the thread.
    pub async fn start(config: Config) -> io::Result<Self> {
        let address = config.own.id.0;
        let listener = TcpListener::bind(address).await?.into_std()?;
        let socket = UdpSocket::bind(address).await?.into_std()?;
        let (commands, rx) = mpsc::channel(COMMAND_QUEUE);
        let thread = std::thread::Builder::new().name("control".to_owned());
        let thread = thread.spawn(move || driver::run_thread(config, listener, socket, rx))?;
        Ok(Self { thread, commands })
    }

    /// Stops the thread and waits for its end.
    pub async fn stop(self) {
        // A thread that has ended takes no command and needs none.
        let _ = self.commands.send(Command::Stop).await;
        let _ = tokio::task::spawn_blocking(|| self.thread.join()).await;
    }
}
