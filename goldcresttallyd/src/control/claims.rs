//! Claims on idempotency keys: forwarded to the claim coordinator of the failure domain, which
//! writes them to the table in batches.

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

type QueuedClaim = PendingClaim<oneshot::Sender<ClaimWriteOutcome>>;

/// A [`ClaimStore`] that writes through the control thread and reads from the table directly.
#[derive(Debug)]
pub struct ClaimCoordinatorClient {
    commands: mpsc::Sender<Command>,
    table: Arc<dyn TableStore>,
}

impl ClaimCoordinatorClient {
    /// Creates a client that writes through `commands` and reads from `table`.
    pub fn new(commands: mpsc::Sender<Command>, table: Arc<dyn TableStore>) -> Self {
        Self { commands, table }
    }
}

impl ClaimStore for ClaimCoordinatorClient {
    fn write(&self, key: String, expected: u64, value: String) -> BoxFuture<'_, ClaimWriteOutcome> {
        Box::pin(async move {
            let (reply, answer) = oneshot::channel();
            let write = PendingClaim { key, expected, value, reply };
            // The command was not queued, so the claim is certainly not written.
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
    /// Forwards a claim to this failure domain's coordinator, or queues it if that is this node.
    pub(super) fn submit_claim(self: &Rc<Self>, write: QueuedClaim) {
        let (own, coordinator) = self.coordinator();
        if coordinator == own {
            return self.queue_claim(write);
        }
        let control = Rc::clone(self);
        self.tasks.spawn(async move {
            let outcome = match control.connections.claim(coordinator, &write).await {
                Ok(outcome) => outcome,
                // Nothing was sent, so this node may write the claim itself.
                Err(connections::Error::Connect) => return control.queue_claim(write),
                Err(_) => ClaimWriteOutcome::Unknown,
            };
            let _ = write.reply.send(outcome);
        });
    }

    /// Returns the ids of this node and of the claim coordinator.
    ///
    /// Nodes may disagree on the coordinator: every write is conditional, so the choice affects the
    /// load on the table only.
    fn coordinator(&self) -> (NodeId, NodeId) {
        let machines = self.machines.borrow();
        let own = machines.membership.own();
        let members = machines.membership.members().chain([own]);
        let local = members.filter(|r| r.domain == own.domain && !r.leaving).map(|r| r.id);
        (own.id, rendezvous::choose(local, "claims").unwrap_or(own.id))
    }

    /// Queues a claim for this node's next transaction.
    ///
    /// Replies `Unavailable` if the queue is full.
    pub(super) fn queue_claim(self: &Rc<Self>, write: QueuedClaim) {
        let refused = self.machines.borrow_mut().claim_batcher.push(write);
        if let Err(write) = refused {
            let _ = write.reply.send(ClaimWriteOutcome::Unavailable);
        }
        self.write_claims_if_due();
    }

    /// Starts the next transaction if it is due, or schedules it for when it will be.
    pub(super) fn write_claims_if_due(self: &Rc<Self>) {
        let batch = self.machines.borrow_mut().claim_batcher.next_batch(self.now());
        if let Some(batch) = batch {
            let control = Rc::clone(self);
            self.tasks.spawn(async move { control.write_claims(batch).await });
            return;
        }
        let due = self.machines.borrow().claim_batcher.due();
        // Scheduled exactly, not left to the next tick, because callers wait for this write.
        if let Some(due) = due {
            let control = Rc::clone(self);
            let at = self.peer.state().clock.instant(due);
            self.tasks.spawn(async move {
                tokio::time::sleep_until(at).await;
                let batch = control.machines.borrow_mut().claim_batcher.next_batch(control.now());
                if let Some(batch) = batch {
                    control.write_claims(batch).await;
                }
            });
        }
    }

    /// Writes a batch of claims in one transaction and replies to each.
    async fn write_claims(self: Rc<Self>, batch: Vec<QueuedClaim>) {
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
        let finished = self.machines.borrow_mut().claim_batcher.finish(batch, &outcome);
        for (claim, outcome) in finished {
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
