//! An upstream with slots, service time, cold start, load shedding and draining, which records the
//! calls that it runs.

mod announce;
mod behaviour;
mod handle;
mod record;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Instant;

use axum::Router;
use axum::routing::{any, get, put};
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::tasks::Server;
pub use behaviour::Behaviour;
pub use record::{Record, Run};

/// Node and service name for the announcements of an upstream.
#[derive(Debug, Clone)]
pub struct Announce {
    /// Operator address of the upstream's node.
    pub node: SocketAddr,
    /// Name of the service that the upstream runs.
    pub service: String,
}

#[derive(Debug)]
struct Shared {
    behaviour: RwLock<Behaviour>,
    slots: Arc<Semaphore>,
    record: Arc<Record>,
    started: Instant,
}

impl Shared {
    fn behaviour(&self) -> Behaviour {
        self.behaviour.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.write().unwrap_or_else(PoisonError::into_inner) = behaviour;
    }
}

/// A running stand-in upstream.
#[derive(Debug)]
pub struct Upstream {
    shared: Arc<Shared>,
    server: Server,
    stop: CancellationToken,
    announcer: Option<JoinHandle<()>>,
}

impl Upstream {
    /// Starts an upstream that listens on `address` and adds the calls that it runs to `record`.
    ///
    /// Without `announce` it does not announce itself to a node. Fails if the address cannot be
    /// bound.
    pub async fn start(
        address: SocketAddr,
        behaviour: Behaviour,
        announce: Option<Announce>,
        record: Arc<Record>,
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            slots: Arc::new(Semaphore::new(behaviour.slots as usize)),
            behaviour: RwLock::new(behaviour),
            record,
            started: Instant::now(),
        });
        let server = Server::start(address, router(&shared)).await?;
        let stop = CancellationToken::new();
        let announcer = announce.map(|announce| {
            let task = announce::run(Arc::clone(&shared), announce, server.address(), stop.clone());
            tokio::spawn(task)
        });
        Ok(Self { shared, server, stop, announcer })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the record of the calls that ran.
    pub fn record(&self) -> &Arc<Record> {
        &self.shared.record
    }

    /// Returns the current behaviour.
    pub fn behaviour(&self) -> Behaviour {
        self.shared.behaviour()
    }

    /// Replaces the behaviour, except that the limit on running calls stays as set at the start.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.shared.set_behaviour(behaviour);
    }

    /// Starts draining: calls in progress finish, new calls are shed.
    pub fn drain(&self) {
        let mut behaviour = self.shared.behaviour();
        behaviour.draining = true;
        self.shared.set_behaviour(behaviour);
    }

    /// Stops announcing and serving at once, without draining, and waits for both tasks to end.
    pub async fn stop(self) {
        self.stop.cancel();
        if let Some(task) = self.announcer {
            let _ = task.await;
        }
        self.server.stop().await;
    }
}

fn router(shared: &Arc<Shared>) -> Router {
    Router::new()
        .route("/health", get(handle::health))
        .route("/load", get(handle::load))
        .route("/stand-in/behaviour", put(handle::set_behaviour))
        .route("/stand-in/record", get(handle::show_record))
        .fallback(any(handle::call))
        .layer(axum::extract::DefaultBodyLimit::max(1 << 30))
        .with_state(Arc::clone(shared))
}
