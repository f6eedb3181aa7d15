//! Guards against nodes that together exceed the retry budget, which could come about through
//! restarts or through nodes that know only some of the members.

use std::time::Duration;

use goldcresttally_core::MonoTime;
use goldcresttally_routing::{BudgetOptions, RetryAllowance, RetryBudget};

const WINDOW_MS: u64 = 10_000;

/// `RetryAllowance::spend` on the users' platform.
const SPEND_SHARE: f64 = 0.42;

/// Maximum restarts of one node in one window. A start takes a second; a node that restarts a third
/// time within 10 s does not come up at all.
const MAX_RESTARTS_PER_WINDOW: usize = 2;

/// One node: the state of its current process, and its recent restarts.
#[derive(Default)]
struct Node {
    budget: RetryBudget,
    started_ms: u64,
    /// Highest member count observed; 0 while the membership is unknown.
    members: usize,
    restarts_ms: Vec<u64>,
}

impl Node {
    /// Replaces the process, unless the node has restarted too often within the window.
    fn restart(&mut self, at_ms: u64) {
        self.restarts_ms.retain(|t| at_ms - t < WINDOW_MS);
        if self.restarts_ms.len() < MAX_RESTARTS_PER_WINDOW {
            self.restarts_ms.push(at_ms);
            let restarts_ms = std::mem::take(&mut self.restarts_ms);
            *self = Self { started_ms: at_ms, restarts_ms, ..Self::default() };
        }
    }
}

#[test]
fn nodes_together_keep_the_budget() {
    arbtest::arbtest(|u| {
        let count = u.int_in_range(1..=12_usize)?;
        let total = BudgetOptions {
            share: 0.2,
            reserve: f64::from(u.int_in_range(0..=120)?),
            window: Duration::from_millis(WINDOW_MS),
        };
        let allowance = RetryAllowance { total, spend: SPEND_SHARE };
        let mut nodes: Vec<Node> = (0..count).map(|_| Node::default()).collect();
        let (mut calls, mut retries): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
        let mut at_ms = 0;
        for _ in 0..u.int_in_range(1..=600)? {
            at_ms += u.int_in_range(0..=300)?;
            let now = MonoTime::from_millis(at_ms);
            let node = u.choose_index(count)?;
            match u.int_in_range(0..=9)? {
                0 => nodes[node].restart(at_ms),
                // A node learns the full membership at once, from a member or a list.
                1 => nodes[node].members = count,
                2..=4 => {
                    let node = &nodes[node];
                    let age = Duration::from_millis(at_ms - node.started_ms);
                    node.budget.on_call(now, &allowance.node_budget(node.members, age));
                    calls.push(at_ms);
                }
                _ => {
                    let node = &nodes[node];
                    let age = Duration::from_millis(at_ms - node.started_ms);
                    if node.budget.try_take(now, &allowance.node_budget(node.members, age)) {
                        retries.push(at_ms);
                    }
                }
            }
            let recent = |list: &[u64]| {
                list.iter().filter(|t| at_ms.saturating_sub(**t) < WINDOW_MS).count() as f64
            };
            let allowed = total.share * recent(&calls) + total.reserve;
            assert!(recent(&retries) <= allowed, "at {at_ms} ms: {} retries", recent(&retries));
        }
        Ok(())
    });
}

#[test]
fn reserve_is_divided_among_nodes() {
    let allowance = RetryAllowance::default();
    let recently_started = allowance.node_budget(10, Duration::from_secs(1));
    assert!((recently_started.reserve - 1.0).abs() < f64::EPSILON);
    let without_members = allowance.node_budget(0, Duration::from_mins(1));
    assert!(without_members.reserve.abs() < f64::EPSILON);
    let steady = allowance.node_budget(10, Duration::from_mins(1));
    assert!((steady.reserve - 2.0).abs() < f64::EPSILON);
}
