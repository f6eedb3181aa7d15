//! Service-level burn rates: how fast each service and rank uses up its error budget.
//!
//! * [`recorder`]: records latencies and outcomes of the calls received by one node.
//! * [`summary`]: the records of one node, which can be merged with those of others.
//! * [`burn`]: burn rates over several windows and the remaining error budget.
//! * [`render`]: formats the report as text and as an HTML page with plots.

pub mod burn;
pub mod recorder;
pub mod render;
pub mod summary;

pub use burn::{BurnReport, BurnRow};
pub use recorder::Recorder;
pub use summary::{Series, Summary};
