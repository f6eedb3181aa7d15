//! What the processes of upstreams have said about themselves in their answers, kept by the nodes that
//! passed these answers on.
//!
//! The node beside an upstream decides by its answers. It forgets them when it restarts; the other
//! nodes then tell it with their next attempts.

use std::fmt;
use std::str::FromStr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use goldcresttally_core::errors::invalid;
use goldcresttally_core::{Deadline, Generation, InstanceId, Map, MonoTime, NodeId, Rate};

/// Time for which a notice is kept after the last answer with it, in seconds.
const VALIDITY_S: u64 = 60;

/// Text that marks a process as leaving.
const LEAVING: &str = "leaving";

/// Text in place of a rate.
const UNLIMITED: &str = "-";

/// What a process of an upstream has said in its answers.
///
/// Its text form is `instance generation rate` and, if it is leaving, `leaving`; the rate is `-` if
/// there is no limit.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamNotice {
    /// The process.
    pub instance: InstanceId,
    /// The generation of the process.
    pub generation: Generation,
    /// Maximum rate of calls that it takes from all nodes together, if it limits them.
    pub rate: Option<Rate>,
    /// Whether it is leaving and takes no new calls.
    pub leaving: bool,
}

impl fmt::Display for UpstreamNotice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} ", self.instance, self.generation)?;
        match self.rate {
            Some(rate) => write!(f, "{rate}")?,
            None => f.write_str(UNLIMITED)?,
        }
        match self.leaving {
            true => write!(f, " {LEAVING}"),
            false => Ok(()),
        }
    }
}

impl FromStr for UpstreamNotice {
    type Err = goldcresttally_core::Error;

    fn from_str(text: &str) -> goldcresttally_core::Result<Self> {
        let mut words = text.split(' ');
        let (Some(instance), Some(generation), Some(rate)) =
            (words.next(), words.next(), words.next())
        else {
            return invalid("upstream notice", text, "an instance, a generation and a rate");
        };
        Ok(Self {
            instance: instance.parse()?,
            generation: generation.parse()?,
            rate: if rate == UNLIMITED { None } else { Some(rate.parse()?) },
            leaving: words.next() == Some(LEAVING),
        })
    }
}

/// The latest notice from the upstream beside each node.
#[derive(Debug, Default)]
pub struct Notices {
    latest: Mutex<Map<NodeId, (UpstreamNotice, Deadline)>>,
}

impl Notices {
    /// Records a notice that came with an answer through `node`.
    pub fn record(&self, now: MonoTime, node: NodeId, notice: UpstreamNotice) {
        let valid_until = Deadline::after(now, Duration::from_secs(VALIDITY_S));
        let mut latest = self.lock();
        latest.retain(|_, (_, until)| !until.is_past(now));
        latest.insert(node, (notice, valid_until));
    }

    /// Returns the notice from the upstream beside `node`.
    pub fn get(&self, now: MonoTime, node: NodeId) -> Option<UpstreamNotice> {
        let latest = self.lock();
        let (notice, _) = latest.get(&node).filter(|(_, until)| !until.is_past(now))?;
        Some(notice.clone())
    }

    fn lock(&self) -> MutexGuard<'_, Map<NodeId, (UpstreamNotice, Deadline)>> {
        self.latest.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
