//! All nodes together keep within the budget of retries, over restarts and partial views.

use std::time::Duration;

use goldcresttally_core::MonoTime;
use goldcresttally_routing::{BudgetOptions, RetryAllowance, RetryBudget};

const WINDOW_MS: u64 = 10_000;

/// The share that nodes spend on the users' platform.
const SPEND: f64 = 0.42;

/// Starts of one node in one window, besides its first: it takes a second to start, and a third one
/// in 10 s means that it does not come up.
const RESTARTS: usize = 2;

/// One node: its process and what that knows.
#[derive(Default)]
struct Node {
    budget: RetryBudget,
    started_ms: u64,
    /// The most members it has seen; 0 while it knows none.
    members: usize,
    restarts_ms: Vec<u64>,
}

impl Node {
    /// Ends the process and starts another one, unless there were too many of late.
    fn restart(&mut self, at_ms: u64) {
        self.restarts_ms.retain(|t| at_ms - t < WINDOW_MS);
        if self.restarts_ms.len() < RESTARTS {
            self.restarts_ms.push(at_ms);
            let restarts_ms = std::mem::take(&mut self.restarts_ms);
            *self = Self { started_ms: at_ms, restarts_ms, ..Self::default() };
        }
    }
}

#[test]
fn no_window_of_all_has_more() {
    arbtest::arbtest(|u| {
        let count = u.int_in_range(1..=12_usize)?;
        let total = BudgetOptions {
            share: 0.2,
            reserve: f64::from(u.int_in_range(0..=120)?),
            window: Duration::from_millis(WINDOW_MS),
        };
        let allowance = RetryAllowance { total, spend: SPEND };
        let mut nodes: Vec<Node> = (0..count).map(|_| Node::default()).collect();
        let (mut calls, mut retries): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
        let mut at_ms = 0;
        for _ in 0..u.int_in_range(1..=600)? {
            at_ms += u.int_in_range(0..=300)?;
            let now = MonoTime::from_millis(at_ms);
            let node = u.choose_index(count)?;
            match u.int_in_range(0..=9)? {
                0 => nodes[node].restart(at_ms),
                // A node learns of the others from a member or a list, which name them all.
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
fn a_part_of_the_reserve() {
    let allowance = RetryAllowance::default();
    let young = allowance.node_budget(10, Duration::from_secs(1));
    assert!((young.reserve - 1.0).abs() < f64::EPSILON);
    let alone = allowance.node_budget(0, Duration::from_mins(1));
    assert!(alone.reserve.abs() < f64::EPSILON);
    let settled = allowance.node_budget(10, Duration::from_mins(1));
    assert!((settled.reserve - 2.0).abs() < f64::EPSILON);
}
