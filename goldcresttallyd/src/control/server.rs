//! The RPC server for control requests from other nodes.

use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use capnp::Error;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use goldcresttally_core::{NodeId, Version};
use goldcresttally_distribution::Event;
use goldcresttally_ledger::ClaimWrite as PendingClaim;
use goldcresttally_membership as members;
use goldcresttally_proxy::claims::ClaimWriteOutcome;
use goldcresttally_wire::wire_capnp::control;
use goldcresttally_wire::{reader_options, record, rollout, tokens, update};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use super::driver::Control;
use super::membership::entry_skipped;
use super::metered::MeteredStream;
use crate::events::{self, emit};

/// Maximum number of open incoming control connections.
const MAX_CONNECTIONS: usize = 1024;

/// Time without received bytes after which a connection is closed, in seconds.
const IDLE_TIMEOUT_S: u64 = 20;

/// Maximum number of joins served per second; further nodes get the answer `busy` with a few
/// members, and retry with one of them.
const MAX_JOINS_PER_SECOND: u32 = 20;

/// Maximum number of claims in one request.
const MAX_CLAIMS_PER_REQUEST: u32 = 1024;

/// Accepts control connections until the node stops.
pub(super) async fn accept(control: Rc<Control>, listener: TcpListener) {
    // Every connection holds a clone; the reference count is the number of open connections.
    let open = Rc::new(());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = control.stop.cancelled() => return,
        };
        let Ok((stream, from)) = accepted else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        if Rc::strong_count(&open) > MAX_CONNECTIONS {
            continue;
        }
        let (open, serving) = (Rc::clone(&open), Rc::clone(&control));
        control.tasks.spawn(async move {
            serve(serving, stream, from).await;
            drop(open);
        });
    }
}

async fn serve(control: Rc<Control>, stream: TcpStream, from: SocketAddr) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (stream, last_received) = MeteredStream::new(stream, Rc::clone(&control.traffic));
    let (reader, writer) = tokio::io::split(stream);
    let (reader, writer) = (reader.compat(), writer.compat_write());
    let network = VatNetwork::new(reader, writer, Side::Server, reader_options());
    let stop = control.stop.clone();
    let client: control::Client =
        capnp_rpc::new_client(ControlService { control: Rc::downgrade(&control) });
    let mut system = RpcSystem::new(Box::new(network), Some(client.client));
    let limit = Duration::from_secs(IDLE_TIMEOUT_S);
    loop {
        let idle_at = tokio::time::Instant::from_std(last_received.get() + limit);
        tokio::select! {
            ended = &mut system => {
                if let Err(e) = ended {
                    emit(events::CONTROL_CLOSED, format_args!("from {from}: {e}"));
                }
                return;
            }
            () = tokio::time::sleep_until(idle_at) => {
                if last_received.get().elapsed() >= limit {
                    emit(events::CONTROL_SILENT, format_args!("from {from}"));
                    return;
                }
            }
            () = stop.cancelled() => return,
        }
    }
}

/// The RPC service of one connection.
///
/// Holds a weak reference, because the connection's state may outlive the control thread's tasks
/// and must not keep the sockets open.
struct ControlService {
    control: Weak<Control>,
}

/// Counts a join and returns whether it may be served in the current second.
fn admit_join(control: &Control) -> bool {
    let second = control.now().0 / 1_000_000;
    let (last, served) = control.join_window.get();
    let served = if last == second { served + 1 } else { 1 };
    control.join_window.set((second, served));
    served <= MAX_JOINS_PER_SECOND
}

fn invalid_message(e: &goldcresttally_wire::Error) -> Error {
    Error::failed(e.to_string())
}

impl ControlService {
    fn control(&self) -> Result<Rc<Control>, Error> {
        self.control.upgrade().ok_or_else(|| Error::disconnected("the node is stopping".to_owned()))
    }
}

impl control::Server for ControlService {
    async fn join(
        self: Rc<Self>,
        params: control::JoinParams,
        mut results: control::JoinResults,
    ) -> Result<(), Error> {
        let control = self.control()?;
        let joining = record::read(params.get()?.get_record()?).map_err(|e| invalid_message(&e))?;
        let mut results = results.get();
        if !admit_join(&control) {
            results.set_busy(true);
            let records = control.some_members();
            record::write_list(&records, results.init_records(records.len() as u32));
            control.on_membership(members::Event::RecordsReceived(vec![joining]));
            return Ok(());
        }
        // Built before the record is learned: it must show what was known of the address before.
        let (floor, version, ready, records) = {
            let machines = control.machines.borrow();
            let membership = &machines.membership;
            let records: Vec<_> = membership.records().chain([membership.own()]).cloned().collect();
            let version = machines.distribution.version();
            let ready = machines.distribution.is_ready();
            (membership.version_floor(joining.id), version, ready, records)
        };
        results.set_floor(floor.0);
        results.set_knows_floor(ready);
        results.set_version(version.0);
        record::write_list(&records, results.init_records(records.len() as u32));
        control.on_membership(members::Event::RecordsReceived(vec![joining]));
        Ok(())
    }

    async fn compare(
        self: Rc<Self>,
        params: control::CompareParams,
        mut results: control::CompareResults,
    ) -> Result<(), Error> {
        let control = self.control()?;
        let hashes: Vec<u64> = params.get()?.get_hashes()?.iter().collect();
        let records = control.machines.borrow().membership.differing_records(&hashes);
        record::write_list(&records, results.get().init_records(records.len() as u32));
        Ok(())
    }

    async fn offer(
        self: Rc<Self>,
        params: control::OfferParams,
        _results: control::OfferResults,
    ) -> Result<(), Error> {
        let control = self.control()?;
        let records = record::read_list(params.get()?.get_records()?, &mut |e| entry_skipped(&e));
        control.on_membership(members::Event::RecordsReceived(records));
        Ok(())
    }

    async fn push(
        self: Rc<Self>,
        params: control::PushParams,
        _results: control::PushResults,
    ) -> Result<(), Error> {
        let control = self.control()?;
        let params = params.get()?;
        let from: NodeId = params
            .get_from()?
            .to_str()?
            .parse()
            .map_err(|e: goldcresttally_core::Error| Error::failed(e.to_string()))?;
        let update = update::read(params.get_update()?).map_err(|e| invalid_message(&e))?;
        control.on_distribution(Event::Pushed { from, update: Arc::new(update) });
        Ok(())
    }

    async fn fetch(
        self: Rc<Self>,
        params: control::FetchParams,
        mut results: control::FetchResults,
    ) -> Result<(), Error> {
        let control = self.control()?;
        let known = Version(params.get()?.get_known());
        let changes = control.machines.borrow().distribution.update_since(known);
        update::write(&changes, results.get().init_update());
        Ok(())
    }

    async fn claim(
        self: Rc<Self>,
        params: control::ClaimParams,
        mut results: control::ClaimResults,
    ) -> Result<(), Error> {
        let claims = params.get()?.get_claims()?;
        if claims.len() > MAX_CLAIMS_PER_REQUEST {
            return Err(Error::failed(format!(
                "more than {MAX_CLAIMS_PER_REQUEST} claims in a request"
            )));
        }
        let mut waiting = Vec::new();
        for claim in claims {
            let (reply, answer) = oneshot::channel();
            self.control()?.queue_claim(PendingClaim {
                key: claim.get_key()?.to_string()?,
                expected: claim.get_expected(),
                value: claim.get_value()?.to_string()?,
                reply,
            });
            waiting.push(answer);
        }
        let mut list = results.get().init_results(waiting.len() as u32);
        for (i, answer) in waiting.into_iter().enumerate() {
            let mut result = list.reborrow().get(i as u32);
            match answer.await {
                Ok(ClaimWriteOutcome::Written(revision)) => result.set_written(revision),
                Ok(ClaimWriteOutcome::Conflict) => result.set_conflict(()),
                Ok(ClaimWriteOutcome::Unavailable) => result.set_unavailable("table unavailable"),
                Ok(ClaimWriteOutcome::Unknown) | Err(_) => result.set_unknown("answer lost"),
            }
        }
        Ok(())
    }

    async fn exchange_tokens(
        self: Rc<Self>,
        params: control::ExchangeTokensParams,
        mut results: control::ExchangeTokensResults,
    ) -> Result<(), Error> {
        let control = self.control()?;
        let request = tokens::read_request(params.get()?).map_err(|e| invalid_message(&e))?;
        let response = control.serve_tokens(&request);
        tokens::write_response(&response, results.get());
        Ok(())
    }

    async fn rollout(
        self: Rc<Self>,
        params: control::RolloutParams,
        mut results: control::RolloutResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let stage = match params.has_stage() {
            true => rollout::read_stage(params.get_stage()?).map_err(|e| invalid_message(&e))?,
            false => None,
        };
        let report = self.control()?.on_rollout_stage(stage);
        let report = report.ok_or_else(|| Error::failed("rollouts are not enabled".to_owned()))?;
        rollout::write_report(&report, results.get().init_report());
        Ok(())
    }

    async fn ping(
        self: Rc<Self>,
        _params: control::PingParams,
        _results: control::PingResults,
    ) -> Result<(), Error> {
        Ok(())
    }
}
