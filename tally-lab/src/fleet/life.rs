//! One life of a node, in a runtime of its own, so that it can end as suddenly as a process.

use std::io;
use std::ops::Deref;
use std::time::Duration;

use goldcresttallyd::{Deps, Node, Settings};
use tokio::runtime::{Builder, Runtime};

/// Name of the threads that serve a node's calls.
pub const NODE_THREAD: &str = "node";

/// Time that a runtime's threads have to end, in seconds.
const SHUTDOWN_LIMIT_S: u64 = 2;

/// A node that runs.
#[derive(Debug)]
pub struct Life {
    node: Option<Node>,
    runtime: Option<Runtime>,
}

impl Life {
    /// Starts a node.
    pub async fn start(settings: Settings, deps: Deps) -> io::Result<Self> {
        let threads = settings.node.threads;
        let runtime = Builder::new_multi_thread()
            .worker_threads(threads)
            .thread_name(NODE_THREAD)
            .enable_all()
            .build()?;
        let started = runtime.spawn(Node::start(settings, deps)).await;
        let mut life = Self { node: None, runtime: Some(runtime) };
        life.node = Some(started.map_err(io::Error::other)??);
        Ok(life)
    }

    /// Stops the node as planned; returns whether all in flight ended.
    pub async fn stop(mut self) -> bool {
        let (Some(node), Some(runtime)) = (self.node.take(), self.runtime.take()) else {
            return true;
        };
        let stopped = runtime.spawn(node.stop()).await.unwrap_or(false);
        runtime.shutdown_background();
        stopped
    }

    /// Ends the node at once: it tells nobody, and its connections break.
    pub async fn kill(mut self) {
        let (node, runtime) = (self.node.take(), self.runtime.take());
        let limit = Duration::from_secs(SHUTDOWN_LIMIT_S);
        let end = move || runtime.map(|runtime| runtime.shutdown_timeout(limit));
        // A thread that panics here has printed why.
        let _ = tokio::task::spawn_blocking(end).await;
        if let Some(node) = node {
            node.kill().await;
        }
    }
}

impl Deref for Life {
    type Target = Node;

    fn deref(&self) -> &Node {
        self.node.as_ref().unwrap_or_else(|| unreachable!("a life holds its node until it ends"))
    }
}

impl Drop for Life {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
