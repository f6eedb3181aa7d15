//! The traits of a source of accepted versions and of a directory of nodes.

use std::fmt::Debug;
use std::sync::Arc;

use goldcresttally_config::{Digest, Manifest};
use goldcresttally_core::{NodeId, Version};

use crate::BoxFuture;
use crate::document::{Document, Head};
use crate::errors::Result;

/// A source of accepted versions of the configuration document.
pub trait DocumentSource: Send + Sync + Debug {
    /// Returns the newest accepted version.
    ///
    /// A source with a change feed waits until there is a version newer than `known`, or until a
    /// timeout of its own.
    fn head(&self, known: Version) -> BoxFuture<'_, Result<Head>>;

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
    fn head(&self, _known: Version) -> BoxFuture<'_, Result<Head>> {
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
