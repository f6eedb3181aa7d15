//! Limits of accounts over several nodes.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::{Harness, WAIT_LIMIT, fast_behaviour};
use goldcresttally_config::Digest;
use goldcresttally_distribution::{Peer, topology::Topology};
use tally_lab::documents;
use tally_lab::fleet::FleetOptions;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const NODES: usize = 6;
const DOMAINS: usize = 2;
const KEY: &str = "acme-key";

/// Limit of the account in calls a second, and its burst.
const RATE: f64 = 30.0;
const BURST: f64 = 30.0;

/// Interval between two calls of a demand below the limit, at one node: more than that node accrues.
const PACE: Duration = Duration::from_millis(50);

/// Calls in succession that must be served below the limit.
const SERVED_IN_SUCCESSION: usize = 40;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    Served,
    OverLimit,
    Other,
}

async fn start() -> Harness {
    let options = FleetOptions { quotas: true, ..FleetOptions::default() };
    let account = format!(
        "accounts:\n  acme: {{key_sha256: [{}], rate_per_s: {RATE}, burst: {BURST}}}\n",
        Digest::of(KEY.as_bytes())
    );
    let section = documents::service_section("booking", 4000, 64) + &account;
    let upstreams: Vec<_> = (0..NODES).map(|i| (i, fast_behaviour())).collect();
    Harness::start_fleet(options, NODES, &upstreams, &section).await
}

/// Makes a call of the account; a refusal for its limit must promise that the call did not run, and
/// tell when to try again.
async fn call(entry: SocketAddr) -> Answer {
    let Ok(mut stream) = TcpStream::connect(entry).await else { return Answer::Other };
    let request = format!(
        "GET /booking/urgent/read HTTP/1.1\r\nhost: h\r\nauthorization: Bearer {KEY}\r\n\
         connection: close\r\n\r\n"
    );
    let mut text = String::new();
    let sent = stream.write_all(request.as_bytes()).await;
    if sent.is_err() || stream.read_to_string(&mut text).await.is_err() {
        return Answer::Other;
    }
    let head = text.split("\r\n\r\n").next().unwrap_or_default().to_lowercase();
    if head.starts_with("http/1.1 200") {
        return Answer::Served;
    }
    if !head.starts_with("http/1.1 429") {
        return Answer::Other;
    }
    assert!(head.contains("\r\nretry-after: "), "{head}");
    assert!(head.contains("tally-verdict: not-run"), "{head}");
    assert!(head.contains("over-limit"), "{head}");
    Answer::OverLimit
}

/// Calls one entry at a demand below the limit until a number of calls in succession are served.
async fn wait_until_served(harness: &Harness, entry: usize) {
    let give_up = Instant::now() + WAIT_LIMIT;
    let mut served = 0;
    while served < SERVED_IN_SUCCESSION {
        assert!(Instant::now() < give_up, "calls below the limit are refused");
        served = if call(harness.entry(entry)).await == Answer::Served { served + 1 } else { 0 };
        tokio::time::sleep(PACE).await;
    }
}

/// Guards against a limit that each node applies by itself, so that all together exceed it.
#[tokio::test(flavor = "multi_thread")]
async fn calls_through_all_nodes_stay_within_one_limit() {
    let harness = start().await;
    wait_until_served(&harness, 0).await;
    let before = Instant::now();
    let (mut served, mut refused) = (0_u32, 0);
    while before.elapsed() < Duration::from_secs(5) {
        let calls = (0..NODES).map(|i| tokio::spawn(call(harness.entry(i))));
        for call in calls.collect::<Vec<_>>() {
            match call.await.unwrap() {
                Answer::Served => served += 1,
                Answer::OverLimit => refused += 1,
                Answer::Other => {}
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let max = (RATE * before.elapsed().as_secs_f64() + BURST) * 1.1;
    assert!(f64::from(served) <= max, "{served} served, at most {max} allowed");
    assert!(refused > 0);
    assert!(f64::from(served) >= RATE * 2.5, "{served} served and {refused} refused");
    harness.stop().await;
}

/// Guards against calls that are refused for good because the pool of their domain is gone.
#[tokio::test(flavor = "multi_thread")]
async fn killed_pool_is_replaced() {
    let mut harness = start().await;
    let peer = |i: usize| {
        let location = &harness.fleet.vms[i].location;
        let control = location.control().to_string().parse().unwrap();
        Peer::new(control, format!("d{}", i % DOMAINS).parse().unwrap())
    };
    let peers: Vec<_> = (0..NODES).map(peer).collect();
    let topology = Topology::new(&peers[0], &peers[1..]);
    let pools: Vec<usize> = topology
        .domains()
        .iter()
        .map(|(_, members)| peers.iter().position(|peer| peer.id == members[0]).unwrap())
        .collect();
    let entry = (0..NODES).find(|i| !pools.contains(i)).unwrap();
    wait_until_served(&harness, entry).await;
    for pool in pools {
        harness.fleet.kill_node(pool).await;
    }
    wait_until_served(&harness, entry).await;
    harness.stop().await;
}

/// Guards against work and messages of a fleet without limits.
#[tokio::test(flavor = "multi_thread")]
async fn accounts_without_enforced_limits_are_not_limited() {
    let account = format!(
        "accounts:\n  acme: {{key_sha256: [{}], rate_per_s: 1, burst: 1}}\n",
        Digest::of(KEY.as_bytes())
    );
    let section = documents::service_section("booking", 4000, 64) + &account;
    let harness = Harness::start_with(2, &[(1, fast_behaviour())], &section).await;
    for _ in 0..20 {
        assert_eq!(call(harness.entry(0)).await, Answer::Served);
    }
    assert_eq!(harness.counter(0, "over_limit"), 0);
    harness.stop().await;
}
