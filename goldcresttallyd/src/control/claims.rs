//! Claims on idempotency keys: brought to the failure domain's keeper, which groups them.

use std::rc::Rc;
use std::sync::Arc;

use goldcresttally_core::{NodeId, OperationId, rendezvous};
use goldcresttally_ledger::{ClaimWrite as PendingClaim, WriteOutcome};
use goldcresttally_proxy::BoxFuture;
use goldcresttally_proxy::claims::{ClaimRow, ClaimStore, ClaimWriteOutcome};
use goldcresttally_store::{Error, Expected, TableStore, Transaction, Write};
use tokio::sync::{mpsc, oneshot};

use super::command::Command;
use super::connections;
use super::driver::Control;
use crate::events::{self, emit};

type Pending = PendingClaim<oneshot::Sender<ClaimWriteOutcome>>;

/// Lets the request path write claims through the control thread, and read them itself.
#[derive(Debug)]
pub struct ClaimCoordinatorClient {
    commands: mpsc::Sender<Command>,
    table: Arc<dyn TableStore>,
}

impl ClaimCoordinatorClient {
    /// Returns a client that sends its writes to the control thread behind `commands`.
    pub fn new(commands: mpsc::Sender<Command>, table: Arc<dyn TableStore>) -> Self {
        Self { commands, table }
    }
}

impl ClaimStore for ClaimCoordinatorClient {
    fn write(&self, key: String, expected: u64, value: String) -> BoxFuture<'_, ClaimWriteOutcome> {
        Box::pin(async move {
            let (reply, answer) = oneshot::channel();
            let write = PendingClaim { key, expected, value, reply };
            // A full queue means that the claim was never taken up.
            if self.commands.try_send(Command::Claim(write)).is_err() {
                return ClaimWriteOutcome::Unavailable;
            }
            answer.await.unwrap_or(ClaimWriteOutcome::Unknown)
        })
    }

    fn read(&self, key: String) -> BoxFuture<'_, Result<Option<ClaimRow>, ()>> {
        Box::pin(async move {
            let row = self.table.read(&key).await.or(Err(()))?;
            Ok(row.map(|row| ClaimRow { revision: row.revision, value: row.value }))
        })
    }
}

impl Control {
    /// Brings a claim to the keeper of this failure domain.
    pub(super) fn on_claim(self: &Rc<Self>, write: Pending) {
        let (own, keeper) = self.keeper();
        if keeper == own {
            return self.queue_claim(write);
        }
        let control = Rc::clone(self);
        self.tasks.spawn_local(async move {
            let outcome = match control.connections.claim(keeper, &write).await {
                Ok(outcome) => outcome,
                // Nothing was sent: this node writes it itself, which is as correct.
                Err(connections::Error::Connect) => return control.queue_claim(write),
                Err(_) => ClaimWriteOutcome::Unknown,
            };
            let _ = write.reply.send(outcome);
        });
    }

    /// Returns this node and the keeper: which member that is matters to load alone, since every
    /// write is conditional.
    fn keeper(&self) -> (NodeId, NodeId) {
        let machines = self.machines.borrow();
        let own = machines.membership.own();
        let members = machines.membership.members().chain([own]);
        let local = members.filter(|r| r.domain == own.domain && !r.leaving).map(|r| r.id);
        (own.id, rendezvous::choose(local, "claims").unwrap_or(own.id))
    }

    /// Queues a claim for the next transaction of this node.
    pub(super) fn queue_claim(self: &Rc<Self>, write: Pending) {
        let refused = self.machines.borrow_mut().batcher.push(write);
        if let Err(write) = refused {
            let _ = write.reply.send(ClaimWriteOutcome::Unavailable);
        }
        self.write_claims_if_due();
    }

    pub(super) fn write_claims_if_due(self: &Rc<Self>) {
        let batch = self.machines.borrow_mut().batcher.next_batch(self.now());
        if let Some(batch) = batch {
            let control = Rc::clone(self);
            self.tasks.spawn_local(async move { control.write_claims(batch).await });
            return;
        }
        let due = self.machines.borrow().batcher.due();
        // Not left to the next tick: callers wait for this write.
        if let Some(due) = due {
            let control = Rc::clone(self);
            let at = self.peer.state().clock.instant(due);
            self.tasks.spawn_local(async move {
                tokio::time::sleep_until(at).await;
                let batch = control.machines.borrow_mut().batcher.next_batch(control.now());
                if let Some(batch) = batch {
                    control.write_claims(batch).await;
                }
            });
        }
    }

    async fn write_claims(self: Rc<Self>, batch: Vec<Pending>) {
        let writes = batch.iter().map(|claim| {
            let expected = match claim.expected {
                0 => Expected::Absent,
                revision => Expected::Revision(revision),
            };
            Write::put(claim.key.clone(), expected, claim.value.clone())
        });
        let operation = OperationId(fastrand::u128(..));
        let transaction = Transaction { operation, writes: writes.collect() };
        let outcome = match self.table.transact(&transaction).await {
            Ok(revision) => WriteOutcome::Written(revision),
            Err(Error::Conflict { keys }) => WriteOutcome::Conflict(keys),
            Err(e) => {
                emit(events::CLAIM_WRITE_FAILED, format_args!("{} claims: {e}", batch.len()));
                match e {
                    Error::AnswerLost { .. } => WriteOutcome::Unknown,
                    _ => WriteOutcome::Unavailable,
                }
            }
        };
        let ended = self.machines.borrow_mut().batcher.finish(batch, &outcome);
        for (claim, outcome) in ended {
            let answer = match outcome {
                WriteOutcome::Written(revision) => ClaimWriteOutcome::Written(revision),
                WriteOutcome::Conflict(_) => ClaimWriteOutcome::Conflict,
                WriteOutcome::Unavailable => ClaimWriteOutcome::Unavailable,
                WriteOutcome::Unknown => ClaimWriteOutcome::Unknown,
            };
            let _ = claim.reply.send(answer);
        }
        self.write_claims_if_due();
    }
}
