//! Service-level burn: how fast each service and rank uses up its error budget.
//!
//! * [`recorder`]: latencies and outcomes of the calls that entered at one node.
//! * [`summary`]: what one node saw, in a form that merges with others.
//! * [`burn`]: burn rates over several windows and the budget that is left.
//! * [`render`]: the report as text and as an HTML page with plots.

pub mod burn;
pub mod recorder;
pub mod render;
pub mod summary;

pub use burn::{BurnReport, BurnRow};
pub use recorder::Recorder;
pub use summary::{Series, Summary};
