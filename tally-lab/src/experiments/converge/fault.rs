//! What goes wrong while changes are made.

use std::fmt;
use std::str::FromStr;

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

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "none" => Ok(Self::None),
            "store-outage" => Ok(Self::StoreOutage),
            "lost-answer" => Ok(Self::LostAnswer),
            "partition" => Ok(Self::Partition),
            "herd" => Ok(Self::Herd),
            "loss" => Ok(Self::Loss),
            "silence" => Ok(Self::Silence),
            "race" => Ok(Self::Race),
            _ => Err(format!("`{text}`: no such fault")),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::None => "none",
            Self::StoreOutage => "store-outage",
            Self::LostAnswer => "lost-answer",
            Self::Partition => "partition",
            Self::Herd => "herd",
            Self::Loss => "loss",
            Self::Silence => "silence",
            Self::Race => "race",
        })
    }
}
