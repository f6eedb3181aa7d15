//! A server that is joined when it stops.

use std::io;
use std::net::SocketAddr;

use axum::Router;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// A running server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: CancellationToken,
    task: JoinHandle<io::Result<()>>,
}

impl Server {
    /// Serves `router` at `address`.
    pub async fn start(address: SocketAddr, router: Router) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let stopped = stop.clone().cancelled_owned();
        let service = router.into_make_service_with_connect_info::<SocketAddr>();
        let task = tokio::spawn(async move {
            tokio::select! {
                result = axum::serve(listener, service).into_future() => result,
                () = stopped => Ok(()),
            }
        });
        Ok(Self { address, stop, task })
    }

    /// Returns the address that is served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops at once and waits for the end.
    pub async fn stop(self) {
        self.stop.cancel();
        // A task that panicked has already printed why.
        let _ = self.task.await;
    }
}
