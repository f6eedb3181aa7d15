//! The mode of spreading, and its timing and sizes.

use std::time::Duration;

use goldcresttally_core::text_enum;

/// How versions reach the nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Mode {
    /// Every node polls the table and fetches from the platform.
    Poll,
    /// Few nodes poll; versions spread to random members.
    Gossip,
    /// Few nodes poll; versions run down a tree in each domain.
    #[default]
    Tree,
}

text_enum!(
    Mode,
    "distribution mode",
    "poll, gossip or tree",
    Poll = "poll",
    Gossip = "gossip",
    Tree = "tree",
);

/// Timing and sizes of distribution.
#[derive(Debug, Clone)]
pub struct Options {
    /// How versions reach the nodes.
    pub mode: Mode,
    /// Shortest interval at which a poller reads the table.
    pub poll_interval: Duration,
    /// Whether a poll waits for news, so that it is made again at once.
    pub long_poll: bool,
    /// Members of a domain that poll.
    pub pollers: usize,
    /// Members to which one passes a version on.
    pub fanout: usize,
    /// Members of each other domain to which the first of a domain pass versions on.
    pub cross_domain_fanout: usize,
    /// Rounds for which flat gossip sends one version.
    pub gossip_rounds: u32,
    /// Interval between these rounds.
    pub gossip_interval: Duration,
    /// Time that a push has to arrive before a version that was heard of is fetched.
    pub repair_delay: Duration,
    /// Time within which a fetch must succeed.
    pub fetch_timeout: Duration,
    /// Number of nodes that the deployment is made for.
    pub fleet_size: u32,
    /// Most reads per second that all nodes together make of the table.
    pub reads_per_second: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            mode: Mode::default(),
            poll_interval: Duration::from_secs(1),
            long_poll: false,
            pollers: 2,
            fanout: 4,
            cross_domain_fanout: 1,
            gossip_rounds: 4,
            gossip_interval: Duration::from_millis(200),
            repair_delay: Duration::from_millis(500),
            fetch_timeout: Duration::from_millis(2500),
            fleet_size: 100,
            reads_per_second: 150,
        }
    }
}
