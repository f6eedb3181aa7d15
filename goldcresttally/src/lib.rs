//! The coordination parts of goldcresttally, for programs that embed them.
//!
//! Each part is a deterministic state machine or a small library; none needs the others' sockets
//! or clocks. The features choose what is re-exported.

pub use goldcresttally_admission as admission;
pub use goldcresttally_config as config;
pub use goldcresttally_core as core;
pub use goldcresttally_distribution as distribution;
pub use goldcresttally_ledger as ledger;
pub use goldcresttally_membership as membership;
pub use goldcresttally_platform as platform;
pub use goldcresttally_report as report;
pub use goldcresttally_routing as routing;
