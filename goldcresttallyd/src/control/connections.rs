//! Outgoing control connections to other nodes: kept open, checked by heartbeats, and closed when
//! unresponsive or unused.

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
use goldcresttally_quota::{Request as TokenRequest, Response as TokenResponse};
use goldcresttally_rollout::{Report, Stage};
use goldcresttally_wire::wire_capnp::{claim_result, control};
use goldcresttally_wire::{reader_options, record, rollout, tokens, update};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use super::command::Traffic;
use super::membership::entry_skipped;
use super::metered::{LastReceived, MeteredStream};
use crate::events::{self, emit};

/// Time limit for establishing a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Time without received bytes after which a request counts as unanswered, in milliseconds. A long
/// response takes longer on a slow link.
const REQUEST_TIMEOUT_MS: u64 = 1500;

/// Time limit for a complete response to a request, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 6000;

/// Interval between heartbeats on an open connection, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 5000;

/// Time without received bytes after which a heartbeat counts as unanswered, in milliseconds.
const HEARTBEAT_TIMEOUT_MS: u64 = 1500;

/// Number of successive heartbeats without a request after which a connection is closed.
const MAX_IDLE_HEARTBEATS: u32 = 12;

/// An error of a request to another node.
#[derive(Debug, snafu::Snafu)]
pub(super) enum Error {
    #[snafu(display("could not connect"))]
    Connect,
    #[snafu(display("no response within {REQUEST_TIMEOUT_MS} ms"))]
    TimedOut,
    #[snafu(display("{source}"), context(false))]
    Rpc { source: capnp::Error },
    #[snafu(display("{source}"), context(false))]
    Wire { source: goldcresttally_wire::Error },
}

type Result<T> = std::result::Result<T, Error>;

/// A seed's response to a join request.
pub(super) enum JoinResponse {
    /// The seed has accepted the node.
    Joined(JoinState),
    /// The seed is busy; some of the members that it knows.
    Busy(Vec<Record>),
}

/// What a seed knows, for a node that joins.
pub(super) struct JoinState {
    /// The oldest version that may be served at this address; `None` if the seed does not know it.
    pub floor: Option<Version>,
    pub version: Version,
    pub records: Vec<Record>,
}

/// An open connection; dropping it aborts its tasks.
struct Connection {
    client: control::Client,
    /// Whether a request was sent since the last heartbeat.
    used: Rc<Cell<bool>>,
    last_received: LastReceived,
    tasks: Vec<JoinHandle<()>>,
    _disconnector: Disconnector<Side>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

type ConnectionMap = Rc<RefCell<Map<NodeId, Connection>>>;

/// The outgoing control connections of a node.
pub(super) struct Connections {
    transport: Arc<dyn Transport>,
    traffic: Rc<Cell<Traffic>>,
    open: ConnectionMap,
}

impl Connections {
    pub fn new(transport: Arc<dyn Transport>, traffic: Rc<Cell<Traffic>>) -> Self {
        Self { transport, traffic, open: ConnectionMap::default() }
    }

    /// Closes all connections.
    pub fn clear(&self) {
        self.open.borrow_mut().clear();
    }

    /// Joins through a seed.
    pub async fn join(&self, to: NodeId, own: &Record) -> Result<JoinResponse> {
        let client = self.client(to).await?;
        let mut request = client.join_request();
        record::write(own, request.get().init_record());
        let response = self.await_response(to, request.send().promise).await?;
        let response = response.get()?;
        let records = record::read_list(response.get_records()?, &mut |e| entry_skipped(&e));
        if response.get_busy() {
            return Ok(JoinResponse::Busy(records));
        }
        Ok(JoinResponse::Joined(JoinState {
            floor: response.get_knows_floor().then(|| Version(response.get_floor())),
            version: Version(response.get_version()),
            records,
        }))
    }

    /// Sends this node's bucket hashes and returns the records of the buckets that differ.
    pub async fn compare(&self, to: NodeId, hashes: &[u64]) -> Result<Vec<Record>> {
        let client = self.client(to).await?;
        let mut request = client.compare_request();
        let mut list = request.get().init_hashes(hashes.len() as u32);
        for (i, hash) in hashes.iter().enumerate() {
            list.set(i as u32, *hash);
        }
        let response = self.await_response(to, request.send().promise).await?;
        Ok(record::read_list(response.get()?.get_records()?, &mut |e| entry_skipped(&e)))
    }

    /// Sends records that are newer than the receiver's.
    pub async fn offer(&self, to: NodeId, records: &[Record]) -> Result<()> {
        let client = self.client(to).await?;
        let mut request = client.offer_request();
        record::write_list(records, request.get().init_records(records.len() as u32));
        self.await_response(to, request.send().promise).await?;
        Ok(())
    }

    /// Pushes a version update.
    pub async fn push(&self, to: NodeId, own: NodeId, pushed: &VersionUpdate) -> Result<()> {
        let client = self.client(to).await?;
        let mut request = client.push_request();
        request.get().set_from(own.to_string());
        update::write(pushed, request.get().init_update());
        self.await_response(to, request.send().promise).await?;
        Ok(())
    }

    /// Fetches the update from version `known` to the other node's version.
    pub async fn fetch(&self, from: NodeId, known: Version) -> Result<VersionUpdate> {
        let client = self.client(from).await?;
        let mut request = client.fetch_request();
        request.get().set_known(known.0);
        let response = self.await_response(from, request.send().promise).await?;
        Ok(update::read(response.get()?.get_update()?)?)
    }

    /// Sends a claim to the claim coordinator and returns the outcome of the write.
    pub async fn claim<T>(&self, to: NodeId, write: &PendingClaim<T>) -> Result<ClaimWriteOutcome> {
        let client = self.client(to).await?;
        let mut request = client.claim_request();
        let mut claim = request.get().init_claims(1).get(0);
        claim.set_key(&*write.key);
        claim.set_expected(write.expected);
        claim.set_value(&*write.value);
        let response = self.await_response(to, request.send().promise).await?;
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

    /// Sends a request to exchange tokens of accounts, once.
    pub async fn exchange_tokens(&self, to: NodeId, sent: &TokenRequest) -> Result<TokenResponse> {
        let client = self.client(to).await?;
        let mut request = client.exchange_tokens_request();
        tokens::write_request(sent, request.get());
        let response = self.await_response(to, request.send().promise).await?;
        Ok(tokens::read_response(response.get()?)?)
    }

    /// Sends a rollout's stage and returns the node's report; without a stage, only asks for it.
    pub async fn rollout(&self, to: NodeId, stage: Option<&Stage>) -> Result<Report> {
        let client = self.client(to).await?;
        let mut request = client.rollout_request();
        if let Some(stage) = stage {
            rollout::write_stage(stage, request.get().init_stage());
        }
        let response = self.await_response(to, request.send().promise).await?;
        Ok(rollout::read_report(response.get()?.get_report()?)?)
    }

    /// Waits for a response; closes the connection if there is none in time or it is disconnected.
    async fn await_response<T>(
        &self,
        to: NodeId,
        promise: impl Future<Output = std::result::Result<T, capnp::Error>>,
    ) -> Result<T> {
        let response = tokio::select! {
            response = promise => Ok(response),
            () = self.wait_until_silent(to) => Err(()),
        };
        match response {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(source)) => {
                if source.kind == capnp::ErrorKind::Disconnected {
                    self.open.borrow_mut().remove(&to);
                }
                Err(Error::Rpc { source })
            }
            Err(()) => {
                emit(events::CONTROL_SILENT, format_args!("to {to}"));
                self.open.borrow_mut().remove(&to);
                Err(Error::TimedOut)
            }
        }
    }

    /// Waits until nothing has been received on the connection to a node for the time limit, from
    /// now on, or until the time for a complete response is over.
    async fn wait_until_silent(&self, to: NodeId) {
        let limit = Duration::from_millis(REQUEST_TIMEOUT_MS);
        let respond_by = Instant::now() + Duration::from_millis(RESPONSE_TIMEOUT_MS);
        let mut silent_at = Instant::now() + limit;
        while Instant::now() < respond_by {
            tokio::time::sleep_until(silent_at.min(respond_by)).await;
            let last_received = self.open.borrow().get(&to).map(|c| c.last_received.get());
            let next = last_received.map(|at| Instant::from_std(at) + limit);
            match next {
                Some(next) if next > silent_at => silent_at = next,
                _ => return,
            }
        }
    }

    /// Returns the client of the open connection to a node, connecting first if there is none.
    async fn client(&self, to: NodeId) -> Result<control::Client> {
        if let Some(connection) = self.open.borrow().get(&to) {
            connection.used.set(true);
            return Ok(connection.client.clone());
        }
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let connect = tokio::time::timeout(limit, self.transport.connect(to.0));
        let Ok(Ok(stream)) = connect.await else {
            return Err(Error::Connect);
        };
        let (stream, last_received) = MeteredStream::new(stream, Rc::clone(&self.traffic));
        let (reader, writer) = tokio::io::split(stream);
        let (reader, writer) = (reader.compat(), writer.compat_write());
        let network = VatNetwork::new(reader, writer, Side::Client, reader_options());
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: control::Client = system.bootstrap(Side::Server);
        let disconnector = system.get_disconnector();
        let used = Rc::new(Cell::new(true));
        let open = Rc::clone(&self.open);
        let run = tokio::task::spawn_local(async move {
            // Pending requests report the error, if there is one.
            drop(system.await);
            open.borrow_mut().remove(&to);
        });
        let (beating, received) = (Rc::clone(&self.open), last_received.clone());
        let beat = heartbeat(beating, to, client.clone(), Rc::clone(&used), received);
        let tasks = vec![run, tokio::task::spawn_local(beat)];
        let connection = Connection {
            client: client.clone(),
            used,
            last_received,
            tasks,
            _disconnector: disconnector,
        };
        self.open.borrow_mut().insert(to, connection);
        Ok(client)
    }
}

/// Sends heartbeats, and closes the connection if nothing is received after one or no requests are
/// sent.
async fn heartbeat(
    open: ConnectionMap,
    to: NodeId,
    client: control::Client,
    used: Rc<Cell<bool>>,
    last_received: LastReceived,
) {
    let mut idle = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(HEARTBEAT_INTERVAL_MS)).await;
        idle = if used.replace(false) { 0 } else { idle + 1 };
        let limit = Duration::from_millis(HEARTBEAT_TIMEOUT_MS);
        let sent_at = std::time::Instant::now();
        let answered = tokio::time::timeout(limit, client.ping_request().send().promise).await;
        // The answer may be behind a long response.
        let alive = match answered {
            Ok(answer) => answer.is_ok(),
            Err(_) => last_received.get() > sent_at,
        };
        if !alive {
            emit(events::CONTROL_SILENT, format_args!("to {to}: no answer to a heartbeat"));
        }
        if !alive || idle >= MAX_IDLE_HEARTBEATS {
            // Dropping the connection aborts this task too, so this must come last.
            open.borrow_mut().remove(&to);
            return;
        }
    }
}
