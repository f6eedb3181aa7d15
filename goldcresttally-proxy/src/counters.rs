//! Counters of the data path, read by metrics and status.

use std::sync::atomic::{AtomicU64, Ordering};

/// A counter that threads share.
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
    /// Calls that entered here and got an upstream's answer.
    answered,
    /// Calls refused as not run.
    not_run,
    /// Calls that failed and may have run.
    may_have_run,
    /// Calls that ran but whose answer was lost.
    ran_unanswered,
    /// Attempts after the first.
    retries,
    /// Attempts that followed a redirect hint.
    redirects,
    /// Attempts settled by asking on a new connection.
    settled,
    /// Calls refused early by the throttle.
    throttled,
    /// Connections between nodes that went silent and were replaced.
    silent_links,
    /// Attempts that came to this node to run beside its upstreams.
    attempts,
    /// Attempts that were sent to an upstream.
    dispatched,
    /// Attempts cancelled by their caller.
    cancelled,
    /// Endpoints left out after failures.
    ejections,
}
