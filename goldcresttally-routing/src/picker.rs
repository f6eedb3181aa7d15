//! Power of two choices on own observations, own failure domain first, with spill.
//!
//! Two endpoints are drawn at random and the less loaded one is taken (Mitzenmacher, "The Power
//! of Two Choices in Randomized Load Balancing", 2001).

use std::time::Duration;

use goldcresttally_core::{MonoTime, NodeId};

use crate::endpoint::{Endpoint, Locality};

/// Load, in thousandths of the limit, from which calls spill over to the next locality.
const SPILL_LOAD: u32 = 1000;

/// Options of the choice.
#[derive(Debug, Clone)]
pub struct Picker {
    /// Time over which a fresh endpoint's share grows to the full one.
    pub slow_start: Duration,
}

impl Default for Picker {
    fn default() -> Self {
        Self { slow_start: Duration::from_secs(5) }
    }
}

impl Picker {
    /// Chooses an endpoint for a call of `rank` that is not in `tried`; `random(n)` returns a number below `n`.
    ///
    /// Returns `None` only when all endpoints were tried. Ejected and starting endpoints are
    /// used when there are no others.
    pub fn pick<'a>(
        &self,
        now: MonoTime,
        rank: usize,
        endpoints: &'a [Endpoint],
        tried: &[NodeId],
        mut random: impl FnMut(usize) -> usize,
    ) -> Option<&'a Endpoint> {
        let fresh = |e: &&Endpoint| !tried.contains(&e.node);
        let healthy = |e: &&Endpoint| fresh(e) && e.ready && !e.observed.is_ejected(now);
        let mut best: Option<&Endpoint> = None;
        for locality in [Locality::Domain, Locality::Region, Locality::Remote] {
            let tier = endpoints.iter().filter(|e| healthy(e) && e.locality == locality);
            let Some(found) = self.better_of_two(now, rank, &tier, &mut random) else {
                continue;
            };
            if load(now, rank, found) < SPILL_LOAD {
                return Some(found);
            }
            // All that is nearer is full: take the least loaded of what the tiers offered.
            best = match best {
                Some(nearer) if load(now, rank, nearer) <= load(now, rank, found) => Some(nearer),
                _ => Some(found),
            };
        }
        best.or_else(|| self.better_of_two(now, rank, &endpoints.iter().filter(fresh), &mut random))
    }

    fn better_of_two<'a>(
        &self,
        now: MonoTime,
        rank: usize,
        tier: &(impl Iterator<Item = &'a Endpoint> + Clone),
        random: &mut impl FnMut(usize) -> usize,
    ) -> Option<&'a Endpoint> {
        let count = tier.clone().count();
        if count == 0 {
            return None;
        }
        let first = random(count);
        let one = tier.clone().nth(first)?;
        if count == 1 {
            return Some(one);
        }
        let second = (first + 1 + random(count - 1)) % count;
        let other = tier.clone().nth(second)?;
        Some(if self.cost(now, rank, other) < self.cost(now, rank, one) { other } else { one })
    }

    /// Returns the cost of one more call: work in flight times latency, over the warm-up share.
    fn cost(&self, now: MonoTime, rank: usize, endpoint: &Endpoint) -> f64 {
        let observed = &endpoint.observed;
        let per_slot = f64::from(observed.in_flight(rank) + 1) / f64::from(endpoint.slots.max(1));
        let reported = f64::from(observed.reported_load(now, rank)) / 1000.0;
        let age = now.since(endpoint.since).as_secs_f64() / self.slow_start.as_secs_f64();
        let warm = age.clamp(0.1, 1.0);
        (per_slot + reported) * observed.latency_us() as f64 / warm
    }
}

/// Returns the load of an endpoint in thousandths of its limit, by own and reported numbers.
fn load(now: MonoTime, rank: usize, endpoint: &Endpoint) -> u32 {
    let own = endpoint.observed.in_flight(rank) * 1000 / endpoint.slots.max(1);
    own.max(endpoint.observed.reported_load(now, rank))
}
