//! Entry points of the control plane: as a dedicated thread, or as tasks on the current thread.

use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use super::command::Command;
use super::driver::Control;
use super::{Config, server};
use crate::events::{self, emit};

/// The bound sockets of the control listener.
pub(super) struct Listeners {
    pub tcp: std::net::TcpListener,
    pub udp: std::net::UdpSocket,
}

/// Runs the control plane on a new runtime until it stops.
pub(super) fn run_thread(config: Config, listeners: Listeners, commands: mpsc::Receiver<Command>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(e) => return emit(events::NODE_STOPPED, format_args!("no Tokio runtime: {e}")),
    };
    LocalSet::new().block_on(&runtime, run_task(config, listeners, commands));
}

/// Runs the control plane as local tasks of the current thread until it stops.
pub(super) async fn run_task(
    config: Config,
    listeners: Listeners,
    commands: mpsc::Receiver<Command>,
) {
    let run = async move {
        let control = Rc::new(Control::new(config, listeners.udp)?);
        let accept = server::accept(Rc::clone(&control), TcpListener::from_std(listeners.tcp)?);
        control.tasks.spawn(accept);
        control.run(commands).await;
        std::io::Result::Ok(())
    };
    if let Err(e) = run.await {
        emit(events::NODE_STOPPED, format_args!("control task failed: {e}"));
    }
}
