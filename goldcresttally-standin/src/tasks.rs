//! An HTTP server task that is awaited on shutdown.

use std::io;
use std::net::SocketAddr;

use axum::Router;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// A running HTTP server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: CancellationToken,
    task: JoinHandle<io::Result<()>>,
}

impl Server {
    /// Binds `address` and serves `router` on it; port 0 picks a free port.
    ///
    /// Fails if the address cannot be bound.
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

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cancels the server task at once and waits for it to end.
    pub async fn stop(self) {
        self.stop.cancel();
        // If the task panicked, the panic hook has already printed the message.
        let _ = self.task.await;
    }
}
