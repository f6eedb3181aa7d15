//! Feeds events to the state machine that moves tokens of accounts, and performs its actions.

use std::rc::Rc;

use goldcresttally_config::Snapshot;
use goldcresttally_core::Rate;
use goldcresttally_distribution as distribution;
use goldcresttally_distribution::topology::Topology;
use goldcresttally_membership::Status;
use goldcresttally_quota::{Action, Event, Limit, Member, MembersView, Request, Response};

use super::driver::Control;
use crate::events::{self, emit};

impl Control {
    /// Passes an event to the exchange of tokens, if limits of accounts are enforced, and performs
    /// the resulting actions.
    pub(super) fn on_exchange(self: &Rc<Self>, event: Event) {
        let Some(exchange) = &self.exchange else { return };
        let mut actions = Vec::new();
        exchange.borrow_mut().on_event(self.now(), event, &mut actions);
        self.perform_exchange(actions);
    }

    /// Serves a request of another node.
    pub(super) fn serve_tokens(self: &Rc<Self>, request: &Request) -> Response {
        let Some(exchange) = &self.exchange else { return Response::default() };
        let mut actions = Vec::new();
        let response = exchange.borrow_mut().serve(self.now(), request, &mut actions);
        self.perform_exchange(actions);
        response
    }

    fn perform_exchange(self: &Rc<Self>, actions: Vec<Action>) {
        let due = self.exchange.as_ref().and_then(|exchange| exchange.borrow().due());
        if due != self.exchange_due.replace(due) && due.is_some() {
            self.exchange_due_changed.notify_one();
        }
        for action in actions {
            match action {
                Action::Send { id, to, request } => {
                    let control = Rc::clone(self);
                    self.tasks.spawn(async move {
                        let event = match control.connections.exchange_tokens(to, &request).await {
                            Ok(response) => Event::Responded(id, response),
                            // The tokens that were sent are lost, and the pool is skipped, which
                            // is logged.
                            Err(_) => Event::Failed(id),
                        };
                        control.on_exchange(event);
                    });
                }
                Action::Granted => {
                    if let Some(limits) = self.peer.state().account_limits() {
                        limits.granted.notify_waiters();
                    }
                }
                Action::Skipped(pool) => emit(events::POOL_SKIPPED, format_args!("{pool}")),
                Action::Accruing(nodes) => {
                    emit(events::TOKENS_ACCRUING, format_args!("one part in {nodes}"));
                }
            }
        }
    }

    /// Exchanges tokens as soon as a call waits for one or the exchange is due, until the node stops.
    pub(super) async fn exchange_when_wanted(self: Rc<Self>) {
        let Some(limits) = self.peer.state().account_limits() else { return };
        loop {
            let due = self.exchange_due.get().map(|due| self.peer.state().clock.instant(due));
            let until_due = async {
                match due {
                    Some(due) => tokio::time::sleep_until(due).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = limits.wanted.notified() => self.on_exchange(Event::Tick),
                () = until_due => self.on_exchange(Event::Tick),
                () = self.exchange_due_changed.notified() => {}
                () = self.stop.cancelled() => return,
            }
        }
    }

    /// Publishes the limits of a version's accounts, unless a later version is in force.
    pub(super) fn publish_limits(self: &Rc<Self>, snapshot: &Snapshot) {
        let in_force = self.peer.state().active_config().snapshot.version();
        if self.exchange.is_none() || snapshot.version() <= in_force {
            return;
        }
        let limits = snapshot.accounts().iter().filter_map(|account| {
            let rate = account.rate.filter(|rate| *rate > Rate(0.0))?;
            Some((account.name.clone(), Limit { rate, burst: account.burst }))
        });
        self.on_exchange(Event::Limits(limits.collect()));
    }

    /// Publishes the members to the exchange of tokens; `others` are the other live members.
    pub(super) fn publish_to_exchange(self: &Rc<Self>, others: &[distribution::Peer]) {
        if self.exchange.is_none() {
            return;
        }
        let view = {
            let machines = self.machines.borrow();
            let membership = &machines.membership;
            let own = membership.own();
            let own = distribution::Peer {
                link: own.link,
                stays: !own.leaving,
                ..distribution::Peer::new(own.id, own.domain.clone())
            };
            let with_status =
                |status| membership.records().filter(move |record| record.status == status);
            let dead = with_status(Status::Dead);
            let dead = dead.map(|r| Member { id: r.id, domain: r.domain.clone() });
            MembersView {
                domains: Topology::new(&own, others).domains(),
                dead: dead.collect(),
                left: with_status(Status::Left).map(|record| record.id).collect(),
                listed: self.directory_nodes.borrow().len(),
                joined: self.joined.get(),
            }
        };
        self.on_exchange(Event::Members(view));
    }
}
