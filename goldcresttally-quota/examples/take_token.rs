//! Measures the time of `take` on one core, among few and among many accounts.
//!
//! `cargo run --release -p goldcresttally-quota --example take_token`

use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcresttally_core::{AccountName, MonoTime, Rate};
use goldcresttally_quota::{Decision, Event, Exchange, Limit, MembersView, Options, Quotas};

const CALLS: usize = 2_000_000;

fn main() {
    measure(74);
    measure(100_000);
}

fn measure(accounts: usize) {
    let name =
        |i: usize| -> AccountName { format!("account-{i}").parse().expect("a valid account name") };
    let names: Vec<AccountName> = (0..accounts).map(name).collect();
    let limit = Limit { rate: Rate(1e9), burst: 1e9 };
    let quotas = Arc::new(Quotas::new(Options::default()));
    let own = "127.0.0.1:1".parse().expect("a valid address");
    let domain: goldcresttally_core::DomainId = "d".parse().expect("a valid name");
    let mut exchange = Exchange::new(Arc::clone(&quotas), own, domain.clone());
    let limits = names.iter().map(|name| (name.clone(), limit)).collect();
    let view =
        MembersView { domains: vec![(domain, vec![own])], joined: true, ..MembersView::default() };
    let mut now = MonoTime::from_millis(1);
    exchange.on_event(now, Event::Limits(limits), &mut Vec::new());
    exchange.on_event(now, Event::Members(view), &mut Vec::new());
    for _ in 0..4 {
        now = now + Duration::from_secs(1);
        exchange.on_event(now, Event::Tick, &mut Vec::new());
    }
    // Calls follow no order that a cache could foresee.
    let calls: Vec<usize> = (0..CALLS).map(|i| i.wrapping_mul(7919) % accounts).collect();
    let started = Instant::now();
    let mut taken = 0;
    for (i, account) in calls.iter().enumerate() {
        let at = now + Duration::from_micros(i as u64);
        taken += usize::from(quotas.take(at, &names[*account]) == Decision::Taken);
    }
    let each = started.elapsed().as_nanos() / CALLS as u128;
    println!("{accounts} accounts: {each} ns each, {taken} of {CALLS} got a token");
}
