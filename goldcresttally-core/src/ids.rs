//! Newtypes for names, numbers and addresses that are used as identifiers.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::errors::{Error, Result, invalid};

/// Maximum length of a name, in bytes.
pub const NAME_LIMIT_BYTES: usize = 64;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                if is_name(text) {
                    Ok(Self(Arc::from(text)))
                } else {
                    invalid($kind, text, "1 to 64 letters, digits, `.`, `_` or `-`")
                }
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name_type!(
    /// The name of a failure domain.
    DomainId,
    "failure domain"
);
name_type!(
    /// The name of a region, which contains failure domains.
    RegionId,
    "region"
);
name_type!(
    /// The name of a service, which upstreams announce and routes refer to.
    ServiceName,
    "service name"
);
name_type!(
    /// The name of a rank, a priority class of calls.
    RankName,
    "rank name"
);
name_type!(
    /// The name of a section of the configuration document.
    SectionName,
    "section name"
);
name_type!(
    /// The name of a team that owns sections.
    TeamName,
    "team name"
);
name_type!(
    /// The name of a client account.
    AccountName,
    "account name"
);
name_type!(
    /// The release of an upstream's software.
    ReleaseName,
    "release name"
);

name_type!(
    /// Identifies one process of an upstream, for upstreams that distinguish successive processes
    /// at one address.
    InstanceId,
    "instance id"
);

fn is_name(text: &str) -> bool {
    let valid = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    !text.is_empty() && text.len() <= NAME_LIMIT_BYTES && text.bytes().all(valid)
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the number that follows this one; the largest one is its own successor.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                text.parse().map(Self).or_else(|_| invalid($kind, text, "a whole number"))
            }
        }
    };
}

number_type!(
    /// The number of an accepted configuration version; 0 before the first one.
    Version,
    "version"
);
number_type!(
    /// Distinguishes successive processes at one address; grows with each start.
    Generation,
    "generation"
);
number_type!(
    /// Orders the status records of one process within its generation (the incarnation number of
    /// SWIM).
    Incarnation,
    "incarnation"
);

number_type!(
    /// A position in the change feed of a table.
    ///
    /// A store that was restored from an older copy assigns its revisions again. The upper 16 bits
    /// therefore count how often that happened, so that positions of before are lower than those
    /// after it and are not taken for one another.
    FeedPosition,
    "feed position"
);

/// Bits of a feed position that hold the revision; 2^48 revisions last for 8,900 years at 1,000
/// writes per second.
const REVISION_BITS: u32 = 48;

impl FeedPosition {
    /// Returns the position of a revision in an era of the store; numbers that do not fit are cut to
    /// the largest one.
    pub fn new(era: u64, revision: u64) -> Self {
        let revision = revision.min((1 << REVISION_BITS) - 1);
        Self(era.min(u16::MAX.into()) << REVISION_BITS | revision)
    }

    /// Returns how often the store had been restored from a copy.
    pub fn era(self) -> u64 {
        self.0 >> REVISION_BITS
    }

    /// Returns the revision within the era.
    pub fn revision(self) -> u64 {
        self.0 & ((1 << REVISION_BITS) - 1)
    }
}

/// Identifies a node: the address of its control listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NodeId(pub SocketAddr);

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for NodeId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        match text.parse::<SocketAddr>() {
            Ok(address) if address.port() > 0 => Ok(Self(address)),
            _ => invalid("node address", text, "IP:port"),
        }
    }
}

/// Identifies one attempt to run a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The entry node, which received the call and made the attempt.
    pub origin: NodeId,
    /// The generation of the entry node's process.
    pub generation: Generation,
    /// The sequence number of the attempt within that generation.
    pub sequence: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.origin, self.generation, self.sequence)
    }
}

impl FromStr for AttemptId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let malformed = || invalid("attempt id", text, "IP:port/generation/sequence");
        let mut parts = text.split('/');
        let (Some(origin), Some(generation), Some(sequence), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return malformed();
        };
        let Ok(sequence) = sequence.parse() else {
            return malformed();
        };
        Ok(Self { origin: origin.parse()?, generation: generation.parse()?, sequence })
    }
}

/// Identifies one operation on the table, so that its outcome can be found out if the answer is
/// lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct OperationId(pub u128);

impl fmt::Display for OperationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for OperationId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        u128::from_str_radix(text, 16)
            .map(Self)
            .or_else(|_| invalid("operation id", text, "hexadecimal digits"))
    }
}

impl TryFrom<String> for OperationId {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<OperationId> for String {
    fn from(id: OperationId) -> Self {
        id.to_string()
    }
}
