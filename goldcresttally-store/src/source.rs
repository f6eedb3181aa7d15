//! Where the accepted versions of the document come from.

use std::fmt::Debug;
use std::sync::Arc;

use goldcresttally_config::{Digest, Manifest};
use goldcresttally_core::{NodeId, Version};

use crate::BoxFuture;
use crate::document::{Document, Head};
use crate::errors::Result;

/// A source of accepted versions.
pub trait DocumentSource: Send + Sync + Debug {
    /// Returns the newest version.
    ///
    /// A source with a feed waits for one that is newer than `known`, up to a limit of its own.
    fn head(&self, known: Version) -> BoxFuture<'_, Result<Head>>;

    /// Reads the manifest named `digest`.
    fn manifest(&self, digest: Digest) -> BoxFuture<'_, Result<Manifest>>;

    /// Reads the section body named `digest`.
    fn section_body(&self, digest: Digest) -> BoxFuture<'_, Result<Arc<str>>>;

    /// Tells whether [`Self::head`] waits for news, so that it is asked again at once.
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

/// A list of nodes outside of them, through which nodes that know nobody find each other.
///
/// It is a hint: it may name nodes that are gone, and lack some that live.
pub trait NodeDirectory: Send + Sync + Debug {
    /// Adds a node.
    fn add(&self, node: NodeId) -> BoxFuture<'_, Result<()>>;

    /// Removes nodes.
    fn remove(&self, nodes: Vec<NodeId>) -> BoxFuture<'_, Result<()>>;

    /// Returns the nodes on the list.
    fn list(&self) -> BoxFuture<'_, Result<Vec<NodeId>>>;
}
