//! Retry budgets of nodes that started recently.

mod common;

use common::{Harness, WAIT_LIMIT, fast_behaviour};
use tally_lab::fleet::Fleet;

/// Fleets started concurrently, so that nodes discover each other in varying orders.
const FLEETS: usize = 8;

async fn all_may_retry() -> bool {
    let harness = Harness::start(3, &[(1, fast_behaviour()), (2, fast_behaviour())]).await;
    let may_retry = |_: &Fleet| (0..3).all(|i| harness.retry_reserve(i) > 0.0);
    let all = harness.fleet.wait(WAIT_LIMIT, may_retry).await;
    harness.stop().await;
    all
}

#[tokio::test(flavor = "multi_thread")]
async fn recently_started_node_gets_its_retry_reserve() {
    let fleets: Vec<_> = (0..FLEETS).map(|_| tokio::spawn(all_may_retry())).collect();
    for fleet in fleets {
        assert!(fleet.await.unwrap(), "a node got no retry reserve");
    }
}
