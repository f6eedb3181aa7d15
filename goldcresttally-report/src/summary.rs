//! What one node saw, in a form that merges with others and travels as JSON.

use goldcresttally_core::{RankName, ServiceName};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Minutes that are remembered; the longest window of a burn rate.
pub const RETENTION_MINUTES: usize = 360;

/// One service and rank.
#[derive(Debug, Clone)]
pub struct Series {
    /// The service.
    pub service: ServiceName,
    /// The rank.
    pub rank: RankName,
    /// Latencies, in microseconds.
    pub latency_us: Histogram<u64>,
    /// Calls by age in minutes, the current minute first.
    pub calls: Vec<u64>,
    /// Calls answered well and in time, by age in minutes.
    pub good: Vec<u64>,
}

/// What one node saw, or several together.
#[derive(Debug, Clone, Default)]
pub struct Summary {
    series: Vec<Series>,
}

impl Summary {
    /// Returns all series, ordered by service and rank.
    pub fn series(&self) -> &[Series] {
        &self.series
    }

    /// Adds one series to the one of the same service and rank.
    pub fn add(&mut self, other: &Series) {
        let key = (&other.service, &other.rank);
        match self.series.binary_search_by(|s| (&s.service, &s.rank).cmp(&key)) {
            Ok(at) => self.series[at].merge(other),
            Err(at) => self.series.insert(at, other.clone()),
        }
    }

    /// Adds what another node saw.
    pub fn merge(&mut self, other: &Self) {
        other.series.iter().for_each(|s| self.add(s));
    }
}

impl Series {
    fn merge(&mut self, other: &Self) {
        // Histograms of equal bounds always merge.
        let _ = self.latency_us.add(&other.latency_us);
        add(&mut self.calls, &other.calls);
        add(&mut self.good, &other.good);
    }
}

fn add(to: &mut Vec<u64>, from: &[u64]) {
    to.resize(to.len().max(from.len()), 0);
    for (to, from) in to.iter_mut().zip(from) {
        *to += from;
    }
}

/// The form in which a series travels: bucket counts rather than a histogram.
#[derive(Serialize, Deserialize)]
struct PlainSeries {
    service: ServiceName,
    rank: RankName,
    /// Latency in microseconds and count.
    latency_us: Vec<(u64, u64)>,
    calls: Vec<u64>,
    good: Vec<u64>,
}

impl Serialize for Summary {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let plain = |s: &Series| PlainSeries {
            service: s.service.clone(),
            rank: s.rank.clone(),
            latency_us: s
                .latency_us
                .iter_recorded()
                .map(|v| (v.value_iterated_to(), v.count_at_value()))
                .collect(),
            calls: trimmed(&s.calls),
            good: trimmed(&s.good),
        };
        serializer.collect_seq(self.series.iter().map(plain))
    }
}

impl<'de> Deserialize<'de> for Summary {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let mut summary = Self::default();
        for plain in Vec::<PlainSeries>::deserialize(deserializer)? {
            let mut latency_us =
                Histogram::new_with_bounds(1, 600_000_000, 2).map_err(serde::de::Error::custom)?;
            for (value, count) in plain.latency_us {
                latency_us.saturating_record_n(value, count);
            }
            let PlainSeries { service, rank, calls, good, .. } = plain;
            summary.add(&Series { service, rank, latency_us, calls, good });
        }
        Ok(summary)
    }
}

/// Drops the zeros at the end.
fn trimmed(counts: &[u64]) -> Vec<u64> {
    let end = counts.iter().rposition(|c| *c > 0).map_or(0, |at| at + 1);
    counts[..end].to_vec()
}
