//! What goes wrong while changes are made.

use goldcresttally_core::text_enum;

/// What goes wrong while changes are made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// The platform is down for a while after each accept.
    StoreOutage,
    /// The answers to writes are lost after they took effect.
    LostAnswer,
    /// A failure domain is cut off from the others and the platform, then healed.
    Partition,
    /// Half of the nodes are killed at once and started again.
    Herd,
    /// A tenth of the datagrams is lost.
    Loss,
    /// All open connections go silent for good while new ones work.
    Silence,
    /// Two operators edit and accept at once.
    Race,
}

text_enum!(
    Fault,
    "fault",
    "a fault that the help lists",
    None = "none",
    StoreOutage = "store-outage",
    LostAnswer = "lost-answer",
    Partition = "partition",
    Herd = "herd",
    Loss = "loss",
    Silence = "silence",
    Race = "race",
);
