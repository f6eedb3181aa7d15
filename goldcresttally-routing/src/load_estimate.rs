//! Estimates the load at endpoints from reports that are old by different times.
//!
//! A report says little about an endpoint once about as much time has passed as a call takes there,
//! and many nodes act on the same reports. If an endpoint that was full some time ago counts as full,
//! and one without a report as empty, all nodes go to the latter. Here a report loses its weight with
//! its age, and what takes its place is the mean of all reports.

use std::time::Duration;

use crate::endpoint::{Endpoint, ReportedRoom};
use crate::picker::PickRequest;

/// Time constant with which a report loses its weight against the mean, in milliseconds.
const REPORT_MEMORY_MS: f64 = 1000.0;

/// Time constant with which a report loses its weight in the mean, in milliseconds.
const MEAN_MEMORY_MS: f64 = 500.0;

/// The mean load that calls of one rank meet at the endpoints of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MeanLoad {
    /// Free share of the slots; negative where calls wait.
    free_share: f64,
}

impl MeanLoad {
    /// Returns the mean of the reports, weighted by their age; `None` if there are none.
    pub fn of(request: &PickRequest, nested: bool, endpoints: &[Endpoint]) -> Option<Self> {
        let reports = endpoints.iter().filter_map(|endpoint| {
            let room = endpoint.stats.reported_room(request.now, request.rank, nested)?;
            let share = (room.free - room.started_since) / f64::from(endpoint.slots.max(1));
            Some((share, weight(room.age, MEAN_MEMORY_MS)))
        });
        let add =
            |(sum, total): (f64, f64), (share, weight)| (sum + weight * share, total + weight);
        let (sum, total) = reports.fold((0.0, 0.0), add);
        (total > 0.0).then(|| Self { free_share: sum / total })
    }

    /// Returns the free slots that a call is expected to find at an endpoint; negative where it would
    /// wait.
    pub fn expected_free(self, request: &PickRequest, nested: bool, endpoint: &Endpoint) -> f64 {
        let mean = self.free_share * f64::from(endpoint.slots);
        match endpoint.stats.reported_room(request.now, request.rank, nested) {
            Some(ReportedRoom { free, started_since, age }) => {
                let weight = weight(age, REPORT_MEMORY_MS);
                weight * free + (1.0 - weight) * mean - started_since
            }
            None => mean - f64::from(endpoint.stats.in_flight(request.rank)),
        }
    }
}

fn weight(age: Duration, memory_ms: f64) -> f64 {
    (-age.as_secs_f64() * 1000.0 / memory_ms).exp()
}
