//! A connection breaks, and the entry node asks for the outcomes of its attempts.
//!
//! Run with `cargo run -p goldcresttally-ledger --example settle`.

use std::time::Duration;

use goldcresttally_core::{AttemptId, Deadline, Generation, MonoTime};
use goldcresttally_ledger::{Ledger, Options};

fn main() {
    let mut ledger = Ledger::new(Options::default());
    let now = MonoTime::from_millis(0);
    let deadline = Deadline::after(now, Duration::from_secs(2));
    let id = |sequence| AttemptId {
        origin: "10.0.0.1:7400".parse().expect("an address"),
        generation: Generation(1),
        sequence,
    };
    // The first attempt runs, the second waits, and the request of the third was lost.
    ledger.begin(now, id(1), deadline, None).expect("room for an attempt");
    ledger.dispatch(id(1)).expect("an attempt that is not fenced");
    ledger.begin(now, id(2), deadline, None).expect("room for an attempt");
    for sequence in 1..=3 {
        println!("attempt {sequence}: {:?}", ledger.settle(now, id(sequence), deadline));
    }
    // An attempt that was settled as not run never runs, even if it arrives later.
    println!("second dispatched: {:?}", ledger.dispatch(id(2)));
    println!("third arrives: {:?}", ledger.begin(now, id(3), deadline, None));
}
