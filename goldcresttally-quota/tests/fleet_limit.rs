//! Guards against more calls of an account than its limit allows over all nodes, also when nodes
//! are killed, cut off, paused or restarted and messages are lost.

mod common;

use common::{Fleet, Load, limit, zipf_accounts};

const NODES: usize = 65;
const DOMAINS: usize = 4;
const ACCOUNTS: usize = 74;
const TOTAL_RATE: f64 = 1760.0;
const SECOND_US: u64 = 1_000_000;

fn loads(factor: f64, hot: usize, hot_factor: f64) -> Vec<Load> {
    let accounts = zipf_accounts(ACCOUNTS, TOTAL_RATE);
    let load = |(i, (account, rate, _)): (usize, _)| {
        let factor = if i == hot { hot_factor } else { factor };
        Load { account, rate: rate * factor, nodes: (0..NODES).collect() }
    };
    accounts.into_iter().enumerate().map(load).collect()
}

fn start(seed: u64) -> Fleet {
    let limits: Vec<_> = zipf_accounts(ACCOUNTS, TOTAL_RATE)
        .into_iter()
        .map(|(name, _, limit)| (name, limit))
        .collect();
    Fleet::start(NODES, DOMAINS, &limits, seed)
}

#[test]
fn flood_of_one_account_stays_within_its_limit() {
    for seed in 0..3 {
        let mut fleet = start(seed);
        fleet.run_load(&loads(1.0, usize::MAX, 1.0), 4 * SECOND_US);
        let hot = 3 + 20 * seed as usize;
        fleet.run_load(&loads(1.0, hot, 9.0), 8 * SECOND_US);
        fleet.run_load(&loads(1.0, usize::MAX, 1.0), 3 * SECOND_US);
        fleet.check_all(0);
    }
}

#[test]
fn overload_of_all_accounts_stays_within_their_limits() {
    let mut fleet = start(7);
    fleet.run_load(&loads(4.0, usize::MAX, 1.0), 8 * SECOND_US);
    fleet.run_until(fleet.now_us + 6 * SECOND_US);
    fleet.run_load(&loads(6.0, usize::MAX, 1.0), 3 * SECOND_US);
    fleet.check_all(0);
}

/// Runs a fleet under an overload with a fault every 1.5 s, and checks every window.
fn check_with_faults(seed: u64) {
    let mut fleet = start(100 + seed);
    fleet.loss = 0.02;
    let load = loads(2.5, 5, 9.0);
    fleet.run_load(&load, 3 * SECOND_US);
    for step in 0..14 {
        let n = fleet.rng.usize(..NODES);
        match (seed + step) % 7 {
            0 => fleet.kill(step as usize % 8),
            1 => fleet.pause(n, SECOND_US * 3),
            2 => fleet.cut((0..NODES).filter(|n| n % DOMAINS == 1)),
            3 => {
                let down: Vec<_> = (0..NODES).filter(|n| !fleet.is_up(*n)).collect();
                for n in down {
                    fleet.restart(n);
                }
            }
            4 => fleet.cut((0..NODES).filter(|n| n % 3 == 0)),
            5 => fleet.heal(),
            _ => {
                (0..12).for_each(|i| fleet.pause((n + i) % NODES, 700_000));
            }
        }
        fleet.run_load(&load, SECOND_US * 3 / 2);
    }
    fleet.check_all(0);
}

#[test]
fn faults_do_not_create_tokens() {
    check_with_faults(0);
}

#[test]
fn faults_in_another_order_do_not_create_tokens() {
    check_with_faults(1);
}

#[test]
fn cut_domain_does_not_create_tokens() {
    check_with_faults(2);
}

#[test]
fn restarted_nodes_do_not_create_tokens() {
    check_with_faults(3);
}

#[test]
fn all_nodes_starting_anew_do_not_exceed_the_limits() {
    let mut fleet = start(11);
    let load = loads(4.0, usize::MAX, 1.0);
    fleet.run_load(&load, 6 * SECOND_US);
    for n in 0..NODES {
        fleet.kill(n);
        fleet.restart(n);
    }
    fleet.run_load(&load, 6 * SECOND_US);
    fleet.check_all(0);
}

#[test]
fn lowered_limit_holds_after_one_window() {
    let mut fleet = start(12);
    let load = loads(3.0, usize::MAX, 1.0);
    fleet.run_load(&load, 5 * SECOND_US);
    let lowered: Vec<_> = zipf_accounts(ACCOUNTS, TOTAL_RATE)
        .into_iter()
        .map(|(name, usual, _)| (name, limit(usual * 0.4, usual * 0.4)))
        .collect();
    fleet.set_limits(&lowered);
    let from = fleet.now_us;
    fleet.run_load(&load, 12 * SECOND_US);
    // Calls of the first window are counted too: the stocks are cut at once.
    fleet.check_all(from);
}

#[test]
fn joining_nodes_do_not_raise_the_limit() {
    let mut fleet = start(13);
    let load = loads(3.0, usize::MAX, 1.0);
    fleet.run_load(&load, 4 * SECOND_US);
    for _ in 0..20 {
        fleet.join();
        fleet.run_load(&load, SECOND_US / 4);
    }
    fleet.run_load(&load, 5 * SECOND_US);
    fleet.check_all(0);
    assert_eq!(fleet.accruing(0), Some(NODES + 20));
}
