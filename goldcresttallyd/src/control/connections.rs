//! Control connections to other nodes: kept, watched by heartbeats, closed when silent.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use capnp_rpc::{Disconnector, RpcSystem};
use goldcresttally_core::{Map, NodeId, Version};
use goldcresttally_distribution::VersionUpdate;
use goldcresttally_ledger::ClaimWrite as PendingClaim;
use goldcresttally_membership::Record;
use goldcresttally_proxy::Transport;
use goldcresttally_proxy::claims::ClaimWriteOutcome;
use goldcresttally_wire::wire_capnp::{claim_result, control};
use goldcresttally_wire::{reader_options, record, update};
use tokio::task::JoinHandle;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use super::command::Traffic;
use super::idle::Watched;
use crate::events::{self, emit};

/// Time within which a connection must stand, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Time within which a request must be answered, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 1500;

/// Time between heartbeats on a kept connection, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 5000;

/// Time within which a heartbeat must be answered, in milliseconds.
const HEARTBEAT_TIMEOUT_MS: u64 = 1500;

/// Time without a request after which a connection is closed, in heartbeats.
const IDLE_HEARTBEATS: u32 = 12;

/// Why a request to another node failed.
#[derive(Debug, snafu::Snafu)]
pub(super) enum Error {
    #[snafu(display("cannot connect"))]
    Connect,
    #[snafu(display("no answer in time"))]
    TimedOut,
    #[snafu(display("{source}"), context(false))]
    Rpc { source: capnp::Error },
    #[snafu(display("{source}"), context(false))]
    Wire { source: goldcresttally_wire::Error },
}

type Result<T> = std::result::Result<T, Error>;

/// What a seed answers to a node that joins.
pub(super) struct Joined {
    /// The oldest version that may be served at this address; `None` when the seed cannot know.
    pub floor: Option<Version>,
    pub version: Version,
    pub records: Vec<Record>,
}

/// One kept connection; its tasks end when it is dropped.
struct Connection {
    client: control::Client,
    used: Rc<Cell<bool>>,
    tasks: Vec<JoinHandle<()>>,
    _disconnector: Disconnector<Side>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

type Kept = Rc<RefCell<Map<NodeId, Connection>>>;

/// The control connections of one node.
pub(super) struct Connections {
    transport: Arc<dyn Transport>,
    traffic: Rc<Cell<Traffic>>,
    kept: Kept,
}

impl Connections {
    pub fn new(transport: Arc<dyn Transport>, traffic: Rc<Cell<Traffic>>) -> Self {
        Self { transport, traffic, kept: Kept::default() }
    }

    /// Closes all connections.
    pub fn clear(&self) {
        self.kept.borrow_mut().clear();
    }

    /// Asks a seed to let this node in; `None` when it is busy.
    pub async fn join(&self, to: NodeId, own: &Record) -> Result<Option<Joined>> {
        let client = self.client(to).await?;
        let mut request = client.join_request();
        record::write(own, request.get().init_record());
        let response = self.answered(to, request.send().promise).await?;
        let response = response.get()?;
        if response.get_busy() {
            return Ok(None);
        }
        Ok(Some(Joined {
            floor: response.get_knows_floor().then(|| Version(response.get_floor())),
            version: Version(response.get_version()),
            records: record::read_list(response.get_records()?)?,
        }))
    }

    /// Asks for the records of the buckets whose hash differs.
    pub async fn compare(&self, to: NodeId, hashes: &[u64]) -> Result<Vec<Record>> {
        let client = self.client(to).await?;
        let mut request = client.compare_request();
        let mut list = request.get().init_hashes(hashes.len() as u32);
        for (i, hash) in hashes.iter().enumerate() {
            list.set(i as u32, *hash);
        }
        let response = self.answered(to, request.send().promise).await?;
        Ok(record::read_list(response.get()?.get_records()?)?)
    }

    /// Tells records that are newer than the receiver's.
    pub async fn offer(&self, to: NodeId, records: &[Record]) -> Result<()> {
        let client = self.client(to).await?;
        let mut request = client.offer_request();
        record::write_list(records, request.get().init_records(records.len() as u32));
        self.answered(to, request.send().promise).await?;
        Ok(())
    }

    /// Pushes an update.
    pub async fn push(&self, to: NodeId, own: NodeId, pushed: &VersionUpdate) -> Result<()> {
        let client = self.client(to).await?;
        let mut request = client.push_request();
        request.get().set_from(own.to_string());
        update::write(pushed, request.get().init_update());
        self.answered(to, request.send().promise).await?;
        Ok(())
    }

    /// Fetches what the receiver's version changes against `known`.
    pub async fn fetch(&self, from: NodeId, known: Version) -> Result<VersionUpdate> {
        let client = self.client(from).await?;
        let mut request = client.fetch_request();
        request.get().set_known(known.0);
        let response = self.answered(from, request.send().promise).await?;
        Ok(update::read(response.get()?.get_update()?)?)
    }

    /// Asks the keeper of claims to write one.
    pub async fn claim<T>(&self, to: NodeId, write: &PendingClaim<T>) -> Result<ClaimWriteOutcome> {
        let client = self.client(to).await?;
        let mut request = client.claim_request();
        let mut claim = request.get().init_claims(1).get(0);
        claim.set_key(&*write.key);
        claim.set_expected(write.expected);
        claim.set_value(&*write.value);
        let response = self.answered(to, request.send().promise).await?;
        let results = response.get()?.get_results()?;
        if results.is_empty() {
            return Ok(ClaimWriteOutcome::Unknown);
        }
        Ok(match results.get(0).which().map_err(goldcresttally_wire::Error::from)? {
            claim_result::Written(revision) => ClaimWriteOutcome::Written(revision),
            claim_result::Conflict(()) => ClaimWriteOutcome::Conflict,
            claim_result::Unavailable(_) => ClaimWriteOutcome::Unavailable,
            claim_result::Unknown(_) => ClaimWriteOutcome::Unknown,
        })
    }

    /// Waits for an answer; a connection that does not answer in time is closed.
    async fn answered<T>(
        &self,
        to: NodeId,
        promise: impl Future<Output = std::result::Result<T, capnp::Error>>,
    ) -> Result<T> {
        let limit = Duration::from_millis(REQUEST_TIMEOUT_MS);
        match tokio::time::timeout(limit, promise).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(source)) => {
                if source.kind == capnp::ErrorKind::Disconnected {
                    self.kept.borrow_mut().remove(&to);
                }
                Err(Error::Rpc { source })
            }
            Err(_) => {
                emit(events::CONTROL_SILENT, format_args!("to {to}"));
                self.kept.borrow_mut().remove(&to);
                Err(Error::TimedOut)
            }
        }
    }

    async fn client(&self, to: NodeId) -> Result<control::Client> {
        if let Some(connection) = self.kept.borrow().get(&to) {
            connection.used.set(true);
            return Ok(connection.client.clone());
        }
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let connect = tokio::time::timeout(limit, self.transport.connect(to.0));
        let Ok(Ok(stream)) = connect.await else {
            return Err(Error::Connect);
        };
        let (stream, _) = Watched::new(stream, Rc::clone(&self.traffic));
        let (reader, writer) = tokio::io::split(stream);
        let (reader, writer) = (reader.compat(), writer.compat_write());
        let network = VatNetwork::new(reader, writer, Side::Client, reader_options());
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: control::Client = system.bootstrap(Side::Server);
        let disconnector = system.get_disconnector();
        let used = Rc::new(Cell::new(true));
        let kept = Rc::clone(&self.kept);
        let run = tokio::task::spawn_local(async move {
            // How it ended is told to the requests that it carried.
            drop(system.await);
            kept.borrow_mut().remove(&to);
        });
        let beat = heartbeat(Rc::clone(&self.kept), to, client.clone(), Rc::clone(&used));
        let tasks = vec![run, tokio::task::spawn_local(beat)];
        let connection =
            Connection { client: client.clone(), used, tasks, _disconnector: disconnector };
        self.kept.borrow_mut().insert(to, connection);
        Ok(client)
    }
}

/// Closes a connection that does not answer heartbeats, or that nobody uses.
async fn heartbeat(kept: Kept, to: NodeId, client: control::Client, used: Rc<Cell<bool>>) {
    let mut idle = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(HEARTBEAT_INTERVAL_MS)).await;
        idle = if used.replace(false) { 0 } else { idle + 1 };
        let limit = Duration::from_millis(HEARTBEAT_TIMEOUT_MS);
        let answered = tokio::time::timeout(limit, client.ping_request().send().promise).await;
        let alive = matches!(answered, Ok(Ok(_)));
        if !alive {
            emit(events::CONTROL_SILENT, format_args!("to {to}: no heartbeat"));
        }
        if !alive || idle >= IDLE_HEARTBEATS {
            // Dropping the connection ends this task too, so it comes last.
            kept.borrow_mut().remove(&to);
            return;
        }
    }
}
