//! Guards against refusals of calls below an account's limit: with demand spread thinly over all
//! nodes, concentrated at one, moving between failure domains, and after a pool was killed.

mod common;

use common::{Fleet, Load, Outcome, limit, name, zipf_accounts};

const NODES: usize = 65;
const DOMAINS: usize = 4;
const SECOND_US: u64 = 1_000_000;

fn outcome(fleet: &mut Fleet, account: &str) -> Outcome {
    fleet.take_outcomes().get(&name(account)).copied().unwrap_or_default()
}

fn everywhere() -> Vec<usize> {
    (0..NODES).collect()
}

fn in_domain(domain: usize) -> Vec<usize> {
    (0..NODES).filter(|n| n % DOMAINS == domain).collect()
}

fn load(account: &str, rate: f64, nodes: Vec<usize>) -> Load {
    Load { account: name(account), rate, nodes }
}

#[test]
fn small_account_spread_over_all_nodes_is_served() {
    for seed in 0..5 {
        let limits = [(name("small"), limit(3.2, 3.2))];
        let mut fleet = Fleet::start(NODES, DOMAINS, &limits, seed);
        let load = [load("small", 2.0, everywhere())];
        fleet.run_load(&load, 8 * SECOND_US);
        fleet.take_outcomes();
        fleet.run_load(&load, 60 * SECOND_US);
        let Outcome { served, refused } = outcome(&mut fleet, "small");
        assert!(refused * 100 <= served, "seed {seed}: served {served}, refused {refused}");
        fleet.check_all(0);
    }
}

#[test]
fn large_account_is_served_everywhere_and_at_one_node() {
    let limits = [(name("large"), limit(640.0, 640.0))];
    for nodes in [everywhere(), in_domain(2), vec![7]] {
        let mut fleet = Fleet::start(NODES, DOMAINS, &limits, 3);
        let load = [load("large", 400.0, nodes.clone())];
        fleet.run_load(&load, 6 * SECOND_US);
        fleet.take_outcomes();
        fleet.run_load(&load, 10 * SECOND_US);
        let Outcome { served, refused } = outcome(&mut fleet, "large");
        assert!(refused * 500 <= served, "{} nodes: {served}, {refused}", nodes.len());
        fleet.check_all(0);
    }
}

#[test]
fn moved_demand_is_served_after_two_seconds() {
    for (rate, seed) in [(2.0, 1), (40.0, 2), (400.0, 3)] {
        let limits = [(name("moving"), limit(rate * 1.6, rate * 1.6))];
        let mut fleet = Fleet::start(NODES, DOMAINS, &limits, seed);
        fleet.run_load(&[load("moving", rate, in_domain(0))], 10 * SECOND_US);
        for domain in [1, 3, 2, 0, 2, 1] {
            let load = [load("moving", rate, in_domain(domain))];
            fleet.run_load(&load, 2 * SECOND_US);
            fleet.take_outcomes();
            fleet.run_load(&load, 6 * SECOND_US);
            let Outcome { served, refused } = outcome(&mut fleet, "moving");
            assert!(refused * 50 <= served, "rate {rate} to {domain}: {served}, {refused}");
        }
        fleet.check_all(0);
    }
}

#[test]
fn killed_pools_are_replaced() {
    let accounts = zipf_accounts(74, 1760.0);
    let limits: Vec<_> = accounts.iter().map(|(name, _, limit)| (name.clone(), *limit)).collect();
    let load: Vec<_> = accounts
        .iter()
        .map(|(account, rate, _)| Load {
            account: account.clone(),
            rate: *rate,
            nodes: everywhere(),
        })
        .collect();
    let mut fleet = Fleet::start(NODES, DOMAINS, &limits, 5);
    fleet.run_load(&load, 6 * SECOND_US);
    // The first node of each domain is its pool.
    (0..DOMAINS).for_each(|n| fleet.kill(n));
    fleet.run_load(&load, 2 * SECOND_US);
    fleet.take_outcomes();
    fleet.run_load(&load, 10 * SECOND_US);
    let outcomes = fleet.take_outcomes();
    let served: u64 = outcomes.values().map(|o| o.served).sum();
    let refused: u64 = outcomes.values().map(|o| o.refused).sum();
    assert!(refused * 50 <= served, "served {served}, refused {refused}");
    fleet.check_all(0);
}

#[test]
fn usual_load_of_all_accounts_is_served_while_one_floods() {
    let accounts = zipf_accounts(74, 1760.0);
    let limits: Vec<_> = accounts.iter().map(|(name, _, limit)| (name.clone(), *limit)).collect();
    let load = |hot_factor: f64| -> Vec<_> {
        let account = |(i, (account, rate, _)): (usize, &(_, f64, _))| {
            let factor = if i == 10 { hot_factor } else { 1.0 };
            let account: &goldcresttally_core::AccountName = account;
            Load { account: account.clone(), rate: rate * factor, nodes: everywhere() }
        };
        accounts.iter().enumerate().map(account).collect()
    };
    let mut fleet = Fleet::start(NODES, DOMAINS, &limits, 6);
    fleet.run_load(&load(1.0), 6 * SECOND_US);
    fleet.take_outcomes();
    fleet.messages = 0;
    fleet.run_load(&load(9.0), 8 * SECOND_US);
    let outcomes = fleet.take_outcomes();
    for (i, (account, rate, limit)) in accounts.iter().enumerate() {
        let Outcome { served, refused } = outcomes.get(account).copied().unwrap_or_default();
        if i == 10 {
            // A flood gets what its limit allows, not less.
            assert!(served as f64 >= limit.rate.0 * 8.0 * 0.8, "{account}: {served}, {refused}");
        } else {
            assert!(refused * 50 <= served + 50, "{account} {rate}: {served}, {refused}");
        }
    }
    let per_node = fleet.messages as f64 / 8.0 / NODES as f64;
    println!("{per_node:.1} messages a second and node");
    let mut waits = std::mem::take(&mut fleet.waits_us);
    waits.sort_unstable();
    println!(
        "{} waits, median {} us, p99 {} us",
        waits.len(),
        waits[waits.len() / 2],
        waits[waits.len() * 99 / 100]
    );
}

#[test]
fn accounts_without_demand_cost_no_messages() {
    let accounts = zipf_accounts(74, 1760.0);
    let limits: Vec<_> = accounts.iter().map(|(name, _, limit)| (name.clone(), *limit)).collect();
    let mut fleet = Fleet::start(NODES, DOMAINS, &limits, 8);
    fleet.run_until(fleet.now_us + 5 * SECOND_US);
    fleet.messages = 0;
    fleet.run_until(fleet.now_us + 20 * SECOND_US);
    assert_eq!(fleet.messages, 0);
    let load: Vec<_> = accounts
        .iter()
        .map(|(a, rate, _)| Load { account: a.clone(), rate: *rate, nodes: everywhere() })
        .collect();
    fleet.run_load(&load, 5 * SECOND_US);
    assert!(fleet.messages > 0);
    // Demand ends: so do the messages, after the window in which deposits are sought.
    fleet.run_until(fleet.now_us + 10 * SECOND_US);
    fleet.messages = 0;
    fleet.run_until(fleet.now_us + 20 * SECOND_US);
    assert_eq!(fleet.messages, 0);
}

#[test]
fn nothing_is_sent_without_limits() {
    let mut fleet = Fleet::start(NODES, DOMAINS, &[], 9);
    fleet.run_load(&[load("unknown", 50.0, everywhere())], 5 * SECOND_US);
    let Outcome { served, refused } = outcome(&mut fleet, "unknown");
    assert!(served > 0 && refused == 0);
    assert_eq!(fleet.messages, 0);
}
