//! Notices, by which the nodes that read the table tell others which version is the newest.

use goldcresttally_core::{FeedPosition, Version};

/// Tells that a version was the newest accepted one when the notice was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Notice {
    /// The newest accepted version, which the sender has in force.
    pub version: Version,
    /// A position in the change feed up to which no later version was accepted, if there is a feed.
    pub position: Option<FeedPosition>,
    /// Whether the table told it to the sender itself.
    pub direct: bool,
}
