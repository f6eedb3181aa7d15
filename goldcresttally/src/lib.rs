//! The coordination parts of goldcresttally, for programs that embed them.
//!
//! Each part is a deterministic state machine or a small library that needs none of the others'
//! sockets or clocks: events, time and a seed go in, actions come out. A feature of the same name
//! chooses each; all are on by default. Every part has a runnable example in its own crate.
//!
//! ```
//! use goldcresttally::admission::{Action, Admission, CallId, Event, Options};
//! use goldcresttally::core::{Deadline, MonoTime};
//! use std::time::Duration;
//!
//! let mut admission = Admission::new(Options { max_concurrency: 1, ..Options::default() });
//! let now = MonoTime::from_millis(0);
//! let in_one_second = Deadline::after(now, Duration::from_secs(1));
//! let mut actions = Vec::new();
//! let offer = Event::Offer {
//!     call: CallId(1),
//!     rank: 0,
//!     deadline: in_one_second,
//!     on_time_by: in_one_second,
//!     target: Duration::from_secs(1),
//! };
//! admission.on_event(now, offer, &mut actions);
//! assert_eq!(actions, [Action::Dispatch(CallId(1))]);
//! ```

#[cfg(feature = "admission")]
pub use goldcresttally_admission as admission;
#[cfg(feature = "config")]
pub use goldcresttally_config as config;
pub use goldcresttally_core as core;
#[cfg(feature = "distribution")]
pub use goldcresttally_distribution as distribution;
#[cfg(feature = "ledger")]
pub use goldcresttally_ledger as ledger;
#[cfg(feature = "membership")]
pub use goldcresttally_membership as membership;
#[cfg(feature = "report")]
pub use goldcresttally_report as report;
#[cfg(feature = "routing")]
pub use goldcresttally_routing as routing;
#[cfg(feature = "store")]
pub use goldcresttally_store as store;
