//! What nodes of a fleet that has just started may do.

mod common;

use common::{Bench, LIMIT, behaviour};
use tally_lab::fleet::Fleet;

/// Fleets that start at the same time, so that nodes learn of each other in any order.
const FLEETS: usize = 8;

async fn all_may_retry() -> bool {
    let bench = Bench::start(3, &[(1, behaviour()), (2, behaviour())]).await;
    let may_retry = |_: &Fleet| (0..3).all(|i| bench.retry_reserve(i) > 0.0);
    let all = bench.fleet.wait(LIMIT, may_retry).await;
    bench.stop().await;
    all
}

#[tokio::test(flavor = "multi_thread")]
async fn members_may_spend_their_part_of_the_retries() {
    let fleets: Vec<_> = (0..FLEETS).map(|_| tokio::spawn(all_may_retry())).collect();
    for fleet in fleets {
        assert!(fleet.await.unwrap(), "a node has no reserve");
    }
}
