//! Counters of the data path, exported as metrics and in the node's status.

use std::sync::atomic::{AtomicU64, Ordering};

/// A counter shared between threads.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the count.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// Counters of one node.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Counter,)*
        }

        impl Counters {
            /// Returns the name and value of each counter.
            pub fn read(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name.get()),)*]
            }
        }
    };
}

counters! {
    /// Calls that entered here.
    calls,
    /// Calls that entered here and received an upstream's response.
    answered,
    /// Calls that failed without having run.
    not_run,
    /// Calls that failed and may have run.
    may_have_run,
    /// Calls that ran but whose response was lost.
    ran_unanswered,
    /// Attempts after the first.
    retries,
    /// Attempts that followed a redirect hint.
    redirects,
    /// Attempts whose outcome was requested from their node after their connection failed.
    settled,
    /// Calls refused by the throttle at the entry.
    throttled,
    /// Calls refused because they had no known key of an account.
    unknown_keys,
    /// Calls refused because they exceed the limit of their account.
    over_limit,
    /// Calls that waited for a token of their account.
    token_waits,
    /// Links that went silent and were replaced.
    silent_links,
    /// Attempts that arrived at this node to run at its upstreams.
    attempts,
    /// Attempts that were sent to an upstream.
    dispatched,
    /// Attempts cancelled while they ran at an upstream.
    cancelled,
    /// Bodies refused because they could not arrive over the link in time.
    link_full,
    /// Attempts refused because a rollout does not let calls through to the upstream.
    rollout_refused,
    /// Endpoints ejected after failures.
    ejections,
    /// Calls refused at the entry because no endpoint could start them in time, by the reports.
    refused_at_once,
    /// Calls and attempts refused because this node was short of processor time.
    processor_refused,
    /// Calls attempted once more after a refusal, where a report told of room.
    attempted_again,
    /// Calls not attempted again after a refusal, because no report told of room.
    not_attempted_again,
}
