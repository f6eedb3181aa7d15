//! Distribution mode, and its timing and size parameters.

use std::time::Duration;

use goldcresttally_core::text_enum;

/// The way in which versions reach the nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Mode {
    /// Every node polls the table and fetches from the platform.
    Poll,
    /// A few nodes of each domain poll; versions are pushed to random members.
    Gossip,
    /// A few nodes of each domain poll; versions are pushed down a tree in each domain.
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

/// Timing and size parameters of distribution.
#[derive(Debug, Clone)]
pub struct Options {
    /// The way in which versions reach the nodes.
    pub mode: Mode,
    /// Minimum interval at which a poller reads the table.
    pub poll_interval: Duration,
    /// Whether the table supports long polling: a poll returns when there is a change and is
    /// repeated immediately.
    pub long_poll: bool,
    /// Number of members per domain that poll.
    pub pollers: usize,
    /// Number of members to which a member pushes a version.
    pub fanout: usize,
    /// Number of members of each other domain to which the root of a domain pushes versions.
    pub cross_domain_fanout: usize,
    /// Number of rounds in which a version is pushed in [`Mode::Gossip`].
    pub gossip_rounds: u32,
    /// Interval between gossip rounds.
    pub gossip_interval: Duration,
    /// Mean wait for a push before a newer version reported by a peer is fetched.
    pub repair_delay: Duration,
    /// The same wait if the version is reported by a notice.
    pub notice_repair_delay: Duration,
    /// Time after which a fetch counts as failed.
    pub fetch_timeout: Duration,
    /// Expected number of nodes in the deployment.
    pub fleet_size: u32,
    /// Maximum rate at which all nodes together read the table, in reads per second.
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
            notice_repair_delay: Duration::from_millis(200),
            fetch_timeout: Duration::from_millis(2500),
            fleet_size: 100,
            reads_per_second: 150,
        }
    }
}
