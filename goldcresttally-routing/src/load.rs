//! The load of a node's upstreams, which the node reports with each answer.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use goldcresttally_core::errors::invalid;

/// The load that a call of one class meets at the upstreams beside a node.
///
/// Its text form is `free/limit/turn/work/link`, followed by `/1` for nested calls; earlier releases
/// leave out the last parts and ignore them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Free slots for the call's rank. Negative values count the waiting calls of its rank and of
    /// more urgent ones.
    pub free: i32,
    /// Maximum number of calls that run at the same time.
    pub limit: u32,
    /// Average service time of all calls, in milliseconds; 0 while unknown.
    pub turn_ms: u32,
    /// Average service time of calls of this class, in milliseconds; 0 while unknown.
    pub work_ms: u32,
    /// Time after which a large body of the call's rank would begin to arrive over the VM's link, in
    /// milliseconds.
    pub link_ms: u32,
    /// Whether calls of this class are made by runs of other upstreams, which wait for them.
    pub nested: bool,
}

impl LoadReport {
    /// Returns the expected queueing time of a call that arrives while `free` slots are free, with
    /// negative values as in [`free`](Self::free). The number may be an estimate with fractions.
    pub fn expected_wait(&self, free: f64) -> Duration {
        let turns = (1.0 - free).max(0.0) / f64::from(self.limit.max(1));
        Duration::from_secs_f64(turns * f64::from(self.turn_ms) / 1000.0)
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { free, limit, turn_ms, work_ms, link_ms, nested } = self;
        write!(f, "{free}/{limit}/{turn_ms}/{work_ms}/{link_ms}")?;
        if *nested { f.write_str("/1") } else { Ok(()) }
    }
}

impl FromStr for LoadReport {
    type Err = goldcresttally_core::Error;

    fn from_str(text: &str) -> goldcresttally_core::Result<Self> {
        let mut parts = text.split('/');
        let mut number = || parts.next().and_then(|n| n.parse::<i64>().ok());
        let (Some(free), Some(limit), Some(turn), Some(work)) =
            (number(), number(), number(), number())
        else {
            return invalid("load report", text, "free/limit/turn/work/link");
        };
        let link = number().unwrap_or(0);
        let nested = number() == Some(1);
        let positive = |n: i64| n.clamp(0, u32::MAX.into()) as u32;
        Ok(Self {
            free: free.clamp(i32::MIN.into(), i32::MAX.into()) as i32,
            limit: positive(limit),
            turn_ms: positive(turn),
            work_ms: positive(work),
            link_ms: positive(link),
            nested,
        })
    }
}
