//! A summary of recorded calls that can be merged across nodes and serialized to JSON.

use goldcresttally_core::{RankName, ServiceName};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Number of minutes for which counts are kept: the longest burn rate window.
pub const RETENTION_MINUTES: usize = 360;

/// The recorded calls of one service and rank.
#[derive(Debug, Clone)]
pub struct Series {
    /// The service.
    pub service: ServiceName,
    /// The rank.
    pub rank: RankName,
    /// Histogram of latencies, in microseconds.
    pub latency_us: Histogram<u64>,
    /// Number of calls by age in minutes, current minute first.
    pub calls: Vec<u64>,
    /// Number of calls answered successfully and on time, by age in minutes.
    pub good: Vec<u64>,
}

/// The recorded calls of one or more nodes.
#[derive(Debug, Clone, Default)]
pub struct Summary {
    series: Vec<Series>,
}

impl Summary {
    /// Returns all series, ordered by service and rank.
    pub fn series(&self) -> &[Series] {
        &self.series
    }

    /// Merges `other` into the series of the same service and rank, or adds it as a new series.
    pub fn add(&mut self, other: &Series) {
        let key = (&other.service, &other.rank);
        match self.series.binary_search_by(|s| (&s.service, &s.rank).cmp(&key)) {
            Ok(index) => self.series[index].merge(other),
            Err(index) => self.series.insert(index, other.clone()),
        }
    }

    /// Merges the summary of another node.
    pub fn merge(&mut self, other: &Self) {
        other.series.iter().for_each(|s| self.add(s));
    }
}

impl Series {
    fn merge(&mut self, other: &Self) {
        // Adding fails only if the bounds differ, and all histograms have the same bounds.
        let _ = self.latency_us.add(&other.latency_us);
        add_counts(&mut self.calls, &other.calls);
        add_counts(&mut self.good, &other.good);
    }
}

fn add_counts(to: &mut Vec<u64>, from: &[u64]) {
    to.resize(to.len().max(from.len()), 0);
    for (to, from) in to.iter_mut().zip(from) {
        *to += from;
    }
}

/// The serialized form of a series, with bucket counts in place of the histogram.
#[derive(Serialize, Deserialize)]
struct SerializedSeries {
    service: ServiceName,
    rank: RankName,
    /// Pairs of latency in microseconds and count.
    latency_us: Vec<(u64, u64)>,
    calls: Vec<u64>,
    good: Vec<u64>,
}

impl Serialize for Summary {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let convert = |s: &Series| SerializedSeries {
            service: s.service.clone(),
            rank: s.rank.clone(),
            latency_us: s
                .latency_us
                .iter_recorded()
                .map(|v| (v.value_iterated_to(), v.count_at_value()))
                .collect(),
            calls: trim_trailing_zeros(&s.calls),
            good: trim_trailing_zeros(&s.good),
        };
        serializer.collect_seq(self.series.iter().map(convert))
    }
}

impl<'de> Deserialize<'de> for Summary {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let mut summary = Self::default();
        for serialized in Vec::<SerializedSeries>::deserialize(deserializer)? {
            let mut latency_us =
                Histogram::new_with_bounds(1, 600_000_000, 2).map_err(serde::de::Error::custom)?;
            for (value, count) in serialized.latency_us {
                latency_us.saturating_record_n(value, count);
            }
            let SerializedSeries { service, rank, calls, good, .. } = serialized;
            summary.add(&Series { service, rank, latency_us, calls, good });
        }
        Ok(summary)
    }
}

/// Returns `counts` without trailing zeros.
fn trim_trailing_zeros(counts: &[u64]) -> Vec<u64> {
    let end = counts.iter().rposition(|c| *c > 0).map_or(0, |last| last + 1);
    counts[..end].to_vec()
}
