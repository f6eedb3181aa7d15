//! Measures the lookup of an account by its key among 100,000 accounts, on one core.
//!
//! `cargo run --release -p goldcresttally-config --example account_lookup`

use std::fmt::Write as _;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use goldcresttally_config::{KeyDigest, Snapshot};
use goldcresttally_core::Version;

/// Number of accounts, each with one key.
const ACCOUNTS: usize = 100_000;

/// Number of accounts in one section; a section may have 256 KiB.
const ACCOUNTS_PER_SECTION: usize = 2000;

/// Number of lookups in one batch.
const LOOKUPS: usize = 1_000_000;

/// Number of batches; the median is printed.
const BATCHES: usize = 9;

fn main() {
    let key = |n: usize| format!("key-{n:032x}");
    let numbers: Vec<_> = (0..ACCOUNTS).collect();
    let mut sections = Vec::new();
    for (n, part) in numbers.chunks(ACCOUNTS_PER_SECTION).enumerate() {
        let mut text = "accounts:\n".to_owned();
        for n in part {
            let digest = String::from(KeyDigest::of(key(*n).as_bytes()));
            writeln!(text, "  a{n}: {{key_sha256: [\"{digest}\"]}}")
                .expect("a string takes all text");
        }
        sections.push((format!("accounts-{n}").parse().expect("a name"), Arc::from(text)));
    }
    let started = Instant::now();
    let snapshot = Snapshot::build(Version(1), &sections).expect("a valid document");
    println!("accounts {ACCOUNTS}, document parsed and linked in {:?}", started.elapsed());

    let accounts = snapshot.accounts();
    let mut random = fastrand::Rng::with_seed(1);
    let mut draw = || key(random.usize(..2 * ACCOUNTS));
    // Half of the keys are unknown.
    let keys: Vec<_> = (0..LOOKUPS).map(|_| draw()).collect();
    let digests: Vec<_> = keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect();
    let found = digests.iter().filter(|digest| accounts.find(digest).is_some()).count();
    println!("keys {LOOKUPS}, known {found}");

    report("lookup", || {
        for digest in &digests {
            black_box(accounts.find(black_box(digest)));
        }
    });
    report("digest of the key and lookup", || {
        for key in &keys {
            black_box(accounts.find(&KeyDigest::of(black_box(key.as_bytes()))));
        }
    });
}

/// Prints the median time of one lookup over all batches, and the shortest and longest.
fn report(title: &str, batch: impl Fn()) {
    let time = || {
        let started = Instant::now();
        batch();
        started.elapsed()
    };
    let mut times: Vec<Duration> = (0..BATCHES).map(|_| time()).collect();
    times.sort_unstable();
    let ns = |time: Duration| time.as_nanos() / LOOKUPS as u128;
    let (least, median, most) = (times[0], times[BATCHES / 2], times[BATCHES - 1]);
    println!("{title}: {} ns ({} to {})", ns(median), ns(least), ns(most));
}
