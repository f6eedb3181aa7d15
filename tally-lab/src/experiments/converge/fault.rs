//! Faults that the experiment injects.

use goldcresttally_core::text_enum;

/// Fault that is injected while changes are made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// The platform is unavailable for a few seconds after each accept.
    StoreOutage,
    /// Most answers to writes are lost after the write took effect.
    LostAnswer,
    /// A failure domain is partitioned from the others and from the platform, then reconnected.
    Partition,
    /// Half of the nodes are killed and restarted at once.
    MassRestart,
    /// 10 % of the datagrams are dropped.
    Loss,
    /// All open connections go silent permanently; new ones work.
    Silence,
    /// Two operators edit and accept concurrently.
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
    MassRestart = "herd",
    Loss = "loss",
    Silence = "silence",
    Race = "race",
);
