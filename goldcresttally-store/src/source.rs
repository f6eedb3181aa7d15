//! The traits of a source of accepted versions and of a directory of nodes.

use std::fmt::Debug;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use goldcresttally_config::{Digest, Manifest};
use goldcresttally_core::{FeedPosition, NodeId, Version};

use crate::BoxFuture;
use crate::document::{Document, Head};
use crate::errors::Result;

/// A request for the newest accepted version.
#[derive(Debug, Clone)]
pub struct HeadRequest {
    /// The version in force at the node.
    pub known: Version,
    /// Time until which a source with a change feed may wait for a newer version.
    pub hold_until: Instant,
    /// A position in the change feed at which the known version was the newest, if there is one. A
    /// source without a later position of its own continues there.
    pub position: Option<FeedPosition>,
    /// Progress of the answer.
    pub progress: Progress,
}

/// The bytes of an answer that have arrived so far, shared with the task that waits for it.
#[derive(Debug, Clone, Default)]
pub struct Progress(Arc<AtomicU64>);

impl Progress {
    /// Adds received bytes.
    pub fn add(&self, bytes: u64) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Returns the number of bytes that have arrived.
    pub fn bytes(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A source of accepted versions of the configuration document.
pub trait DocumentSource: Send + Sync + Debug {
    /// Returns the newest accepted version.
    ///
    /// A source with a change feed waits for a version newer than the known one, at most until
    /// `hold_until`.
    fn head(&self, req: HeadRequest) -> BoxFuture<'_, Result<Head>>;

    /// Returns the position in the change feed that the last answer has reached, if there is a feed.
    fn position(&self) -> Option<FeedPosition> {
        None
    }

    /// Closes open connections, so that the next request uses another one.
    fn reconnect(&self) {}

    /// Reads the manifest with the given digest.
    fn manifest(&self, digest: Digest) -> BoxFuture<'_, Result<Manifest>>;

    /// Reads the section body with the given digest.
    fn section_body(&self, digest: Digest) -> BoxFuture<'_, Result<Arc<str>>>;

    /// Returns whether [`Self::head`] waits for a newer version. If so, it is called again at once
    /// instead of at the poll interval.
    fn has_feed(&self) -> bool {
        false
    }
}

impl DocumentSource for Document {
    fn head(&self, _req: HeadRequest) -> BoxFuture<'_, Result<Head>> {
        Box::pin(Self::head(self))
    }

    fn manifest(&self, digest: Digest) -> BoxFuture<'_, Result<Manifest>> {
        Box::pin(Self::manifest(self, digest))
    }

    fn section_body(&self, digest: Digest) -> BoxFuture<'_, Result<Arc<str>>> {
        Box::pin(Self::section_body(self, digest))
    }
}

/// An external list of nodes, used for discovery by a node that knows no other members.
///
/// The list is only a hint: it may contain nodes that have stopped and lack some that run.
pub trait NodeDirectory: Send + Sync + Debug {
    /// Adds a node to the list.
    fn add(&self, node: NodeId) -> BoxFuture<'_, Result<()>>;

    /// Removes nodes from the list.
    fn remove(&self, nodes: Vec<NodeId>) -> BoxFuture<'_, Result<()>>;

    /// Returns the nodes on the list.
    fn list(&self) -> BoxFuture<'_, Result<Vec<NodeId>>>;
}
